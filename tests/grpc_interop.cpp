// The mixer between peers of another implementation: libgrpc++ as the client and as the leaf servers. The
// cases are those of gRPC's interoperability tests, with plain bytes in place of their protobuf messages.
#undef NDEBUG
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <cassert>
#include <chrono>
#include <cstdio>
#include <thread>

#include "front/grpc/server.hpp"
#include "leaf/grpc/channels.hpp"
#include "leaf/sockets.hpp"

using namespace std::chrono_literals;
namespace net = cometdeal::net;

namespace {

constexpr const char* kSpecialStatusMessage =
    "\t\ntest with whitespace\r\nand Unicode BMP \xe2\x98\xba and non-BMP \xf0\x9f\x98\x88\t\n";

grpc::ByteBuffer pack(const std::string& text) {
  const grpc::Slice slice(text);
  return grpc::ByteBuffer(&slice, 1);
}
std::string unpack(const grpc::ByteBuffer& buffer) {
  std::vector<grpc::Slice> slices;
  assert(buffer.Dump(&slices).ok());
  std::string out;
  for (const grpc::Slice& slice : slices)
    out.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  return out;
}

// ---- The leaf server: one reactor for each call; the method's name selects its behaviour ----
class LeafReactor : public grpc::ServerGenericBidiReactor {
 public:
  explicit LeafReactor(grpc::GenericCallbackServerContext* context)
      : context_(context), method_(context->method()) {
    const auto& metadata = context->client_metadata();
    if (const auto at = metadata.find("x-grpc-test-echo-initial"); at != metadata.end())
      context->AddInitialMetadata("x-grpc-test-echo-initial",
                                  std::string(at->second.data(), at->second.size()));
    if (const auto at = metadata.find("x-grpc-test-echo-trailing-bin"); at != metadata.end())
      context->AddTrailingMetadata("x-grpc-test-echo-trailing-bin",
                                   std::string(at->second.data(), at->second.size()));
    if (is("Sleep")) return;  // never answers; it ends when it is cancelled
    StartRead(&in_);
  }
  void OnReadDone(bool ok) override {
    if (is("Sleep")) return;
    if (!ok) return requestEnded();
    const std::string text = unpack(in_);
    if (is("ClientStreaming")) {
      total_ += text.size();
      return StartRead(&in_);
    }
    if (is("Status")) return Finish(grpc::Status(grpc::StatusCode(2), text));
    if (is("PingPong")) return write(std::string(std::stoul(text), 'p'));
    if (is("ServerStreaming")) {
      for (std::size_t at = 0; at < text.size();
           at = text.find(',', at) == std::string::npos ? text.size() : text.find(',', at) + 1)
        sizes_.push_back(std::stoul(text.substr(at)));
      return sendNext();
    }
    write(is("LargeUnary") ? std::string(314159, 'l') : text);
  }
  void OnWriteDone(bool ok) override {
    if (!ok) return Finish(grpc::Status(grpc::StatusCode::CANCELLED, "write"));
    if (is("ServerStreaming")) return sendNext();
    if (is("PingPong")) return StartRead(&in_);
    Finish(grpc::Status::OK);
  }
  void OnCancel() override {
    if (is("Sleep")) Finish(grpc::Status(grpc::StatusCode::CANCELLED, "asleep"));
  }
  void OnDone() override { delete this; }

 private:
  bool is(const char* name) const { return method_ == std::string("/interop.Test/") + name; }
  void write(const std::string& text) {
    out_ = pack(text);
    StartWrite(&out_);
  }
  void sendNext() {
    if (sizes_.empty()) return Finish(grpc::Status::OK);
    const std::size_t size = sizes_.front();
    sizes_.erase(sizes_.begin());
    write(std::string(size, 's'));
  }
  void requestEnded() {
    if (is("ClientStreaming")) return write(std::to_string(total_));
    Finish(grpc::Status::OK);
  }

  grpc::GenericCallbackServerContext* context_;
  std::string method_;
  grpc::ByteBuffer in_, out_;
  std::size_t total_ = 0;
  std::vector<std::size_t> sizes_;
};
class LeafService : public grpc::CallbackGenericService {
  grpc::ServerGenericBidiReactor* CreateReactor(grpc::GenericCallbackServerContext* context) override {
    return new LeafReactor(context);
  }
};

// ---- The client: one call, a step at a time ----
class Call {
 public:
  Call(grpc::GenericStub& stub, const std::string& method, std::chrono::milliseconds deadline = 10s) {
    context.set_deadline(std::chrono::system_clock::now() + deadline);
    stream_ = stub.PrepareCall(&context, "/interop.Test/" + method, &queue_);
  }
  Call& begin() {
    stream_->StartCall(&queue_);
    wait();
    return *this;
  }
  bool write(const std::string& text) {
    stream_->Write(pack(text), &queue_);
    return wait();
  }
  void finishRequest() {
    stream_->WritesDone(&queue_);
    wait();
  }
  std::optional<std::string> read() {
    grpc::ByteBuffer in;
    stream_->Read(&in, &queue_);
    if (!wait()) return std::nullopt;
    return unpack(in);
  }
  grpc::Status finish() {
    grpc::Status status;
    stream_->Finish(&status, &queue_);
    wait();
    return status;
  }
  grpc::Status unary(const std::string& text, std::string* answer = nullptr) {
    begin();
    write(text);
    finishRequest();
    if (const auto got = read(); got && answer) *answer = *got;
    return finish();
  }
  grpc::ClientContext context;

 private:
  bool wait() {
    void* tag = nullptr;
    bool ok = false;
    assert(queue_.Next(&tag, &ok));
    return ok;
  }
  grpc::CompletionQueue queue_;
  std::unique_ptr<grpc::GenericClientAsyncReaderWriter> stream_;
};

const char* kRoutes = R"(
listen: 127.0.0.1:1
routes:
  - {method: /interop.Test/ClientStreaming, class: safe, kind: client_streaming}
  - {method: /interop.Test/ServerStreaming, class: safe, kind: server_streaming}
  - {method: /interop.Test/PingPong, class: safe, kind: bidi_streaming}
  - {method: /interop.Test/*, class: safe, kind: unary}
)";

}  // namespace

int main() {
  // Two leaf servers.
  std::vector<std::unique_ptr<LeafService>> services;
  std::vector<std::unique_ptr<grpc::Server>> servers;
  std::vector<int> ports(2, 0);
  for (int& port : ports) {
    services.push_back(std::make_unique<LeafService>());
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterCallbackGenericService(services.back().get());
    servers.push_back(builder.BuildAndStart());
    assert(servers.back() && port > 0);
  }

  // The mixer, on its own thread.
  net::Loop loop;
  net::Counters counters;
  cometdeal::Settings settings;
  cometdeal::ClassSettings cls;
  cls.aim = 5'000'000;
  cls.deadline = 10'000'000;
  settings.classes = {cls};
  settings.tick = 5'000;
  settings.mayCancel = settings.mayHedge = true;
  settings.maxAttempts = 3;
  net::HostSettings host;
  host.zones = {"a"};
  host.classNames = {"safe"};
  host.classKeyed = {false};
  host.shards = 1;
  host.connectTimeout = 2'000'000;
  cometdeal::grpc::Config config =
      cometdeal::grpc::readConfig(kRoutes, "routes", host.classNames, settings.classes);
  config.listen.port = 0;
  net::ChannelLimits limits;
  limits.connectTimeout = host.connectTimeout;
  auto protocol = std::make_unique<net::Channels>(limits, &counters);
  const net::Channels& channels = *protocol;
  net::LeafSockets leafSide(loop, std::move(protocol));
  net::Mixer mixer(loop, counters, leafSide, settings, host, 7);
  net::LeafList list;
  list.fullSnapshot = true;
  for (std::size_t k = 0; k < ports.size(); ++k) {
    net::LeafEntry entry;
    entry.name = "s" + std::to_string(k);
    entry.address = {"127.0.0.1", std::uint16_t(ports[k])};
    list.entries.push_back(entry);
  }
  mixer.updateLeafList(list, cometdeal::ListKind::complete);
  net::GrpcServer server(loop, counters, mixer, config, host.classKeyed, host.shards);
  server.listen();
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  std::thread mixerThread([&] { loop.io.run(); });

  grpc::GenericStub stub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
  const auto passed = [](const char* name) {
    std::printf("%s\n", name);
    std::fflush(stdout);
  };
  std::string answer = "?";
  {
    assert(Call(stub, "EmptyUnary").unary("", &answer).ok() && answer.empty());
    passed("empty_unary");
  }
  {
    assert(Call(stub, "LargeUnary").unary(std::string(271828, 'r'), &answer).ok() &&
           answer == std::string(314159, 'l'));
    passed("large_unary");
  }
  {
    Call call(stub, "ClientStreaming");
    call.begin();
    for (const std::size_t size : {27182, 8, 1828, 45904}) assert(call.write(std::string(size, 'c')));
    call.finishRequest();
    assert(call.read() == "74922" && call.finish().ok());
    passed("client_streaming");
  }
  {
    Call call(stub, "ServerStreaming");
    call.begin();
    call.write("31415,9,2653,58979");
    call.finishRequest();
    for (const std::size_t size : {31415, 9, 2653, 58979}) assert(call.read()->size() == size);
    assert(!call.read() && call.finish().ok());
    passed("server_streaming");
  }
  {
    Call call(stub, "PingPong");
    call.begin();
    for (const std::size_t size : {31415, 9, 2653, 58979}) {
      assert(call.write(std::to_string(size)));
      assert(call.read()->size() == size);
    }
    call.finishRequest();
    assert(!call.read() && call.finish().ok());
    passed("ping_pong");
  }
  {
    Call call(stub, "PingPong");
    call.begin();
    call.finishRequest();
    assert(!call.read() && call.finish().ok());
    passed("empty_stream");
  }
  for (const char* method : {"EmptyUnary", "PingPong"}) {
    Call call(stub, method);
    call.context.AddMetadata("x-grpc-test-echo-initial", "test_initial_metadata_value");
    call.context.AddMetadata("x-grpc-test-echo-trailing-bin", std::string("\xab\xab\xab", 3));
    call.begin();
    call.write("3");
    call.finishRequest();
    assert(call.read());
    assert(!call.read() && call.finish().ok());
    const auto& initial = call.context.GetServerInitialMetadata();
    const auto& trailing = call.context.GetServerTrailingMetadata();
    const auto first = initial.find("x-grpc-test-echo-initial");
    const auto last = trailing.find("x-grpc-test-echo-trailing-bin");
    assert(first != initial.end() && first->second == "test_initial_metadata_value");
    assert(last != trailing.end() && last->second == std::string("\xab\xab\xab", 3));
  }
  passed("custom_metadata");
  for (const std::string& text : {std::string("test status message"), std::string(kSpecialStatusMessage)}) {
    const grpc::Status status = Call(stub, "Status").unary(text);
    assert(status.error_code() == 2 && status.error_message() == text);
  }
  passed("status_code_and_message, special_status_message");
  {
    grpc::ClientContext context;
    Call call(stub, "x");
    grpc::GenericStub other(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    grpc::CompletionQueue queue;
    auto stream = other.PrepareCall(&context, "/interop.Unknown/Method", &queue);
    void* tag = nullptr;
    bool ok = false;
    grpc::Status status;
    stream->StartCall(&queue);
    assert(queue.Next(&tag, &ok));
    stream->Finish(&status, &queue);
    assert(queue.Next(&tag, &ok) && status.error_code() == grpc::StatusCode::UNIMPLEMENTED);
    passed("unimplemented_method");
  }
  {
    Call call(stub, "ClientStreaming");
    call.begin();
    call.context.TryCancel();
    assert(call.finish().error_code() == grpc::StatusCode::CANCELLED);
    passed("cancel_after_begin");
  }
  {
    Call call(stub, "PingPong");
    call.begin();
    assert(call.write("31415") && call.read()->size() == 31415);
    call.context.TryCancel();
    assert(call.finish().error_code() == grpc::StatusCode::CANCELLED);
    passed("cancel_after_first_response");
  }
  {
    for (const auto time : {1ms, 800ms}) {
      Call call(stub, "Sleep", time);
      assert(call.unary("x").error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
    }
    passed("timeout_on_sleeping_server");
  }
  // Wait until no call, query, stream or attempt is left in the mixer.
  for (int k = 0; k < 1000; ++k) {
    bool busy = true;
    std::atomic<bool> checked = false;
    boost::asio::post(loop.strand, [&] {
      busy = server.openCalls() > 0 || mixer.openQueries() > 0 || channels.streamCount() > 0 ||
             channels.attemptCount() > 0;
      checked = true;
    });
    while (!checked) std::this_thread::sleep_for(1ms);
    if (!busy) break;
    assert(k < 999);
    std::this_thread::sleep_for(10ms);
  }
  loop.io.stop();
  mixerThread.join();
  for (const auto& one : servers) one->Shutdown(std::chrono::system_clock::now() + 100ms);
  assert(counters.value(net::Counter::defects) == 0);
  return 0;
}
