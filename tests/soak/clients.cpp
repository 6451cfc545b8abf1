#include "clients.hpp"

namespace cometdeal::soak {
namespace {

constexpr double kGiveUpAfter = 1.5;   // seconds after the query's time
constexpr double kCrossedKill = 0.15;  // seconds before a kill in which a request may cross it
constexpr int kPieces = 4;
constexpr int kHeadFields = 3000, kBodyBytes = 60'000;  // of a client of the crowd

}  // namespace

struct Clients::Client {
  std::mt19937 random;
  standin::ClientConnection connection;
  int mixer = 0;
  bool used = false;    // the connection has carried an answer
  double openedAt = 0;  // just before the connection was opened
  bool open(std::uint16_t port) {
    used = false;
    openedAt = standin::now();
    return connection.open(port);
  }
  bool chance(double share) { return double(random() % 10'000) < share * 10'000; }
};

Clients::Clients(Judge& judge, std::vector<std::unique_ptr<MixerSlot>>& mixers, ClientHabits habits,
                 unsigned seed)
    : judge_(judge), mixers_(mixers), habits_(habits), seed_(seed) {}

void Clients::start(int count) {
  for (int k = 0; k < count; ++k) threads_.emplace_back([this, k] { run(seed_ * 1000 + unsigned(k)); });
}

void Clients::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Clients::run(unsigned seed) {
  Client client;
  client.random.seed(seed);
  while (!stopping_) {
    query(client);
    standin::sleepFor(habits_.pauseSeconds * 2 * double(client.random() % 1000) / 1000);
  }
}

void Clients::query(Client& client) {
  if (client.connection.fd >= 0 && client.chance(habits_.freshShare)) client.connection.end();
  if (client.connection.fd < 0) {
    client.mixer = int(client.random() % mixers_.size());
    if (!client.open(mixers_[std::size_t(client.mixer)]->port())) {
      standin::sleepFor(0.02);
      return;
    }
  }
  static constexpr const char* classes[] = {"route-plan", "slot-search", "confirm-trip"};
  static constexpr Effect effects[] = {Effect::safe, Effect::unsafe, Effect::keyed};
  const std::size_t kind = client.random() % std::size(classes);
  standin::Query query{.id = standin::newId(), .cls = classes[kind]};
  query.shards = standin::neighbours(int(client.random() % 24), 1 + int(client.random() % 4));
  query.timeout =
      habits_.timeoutSeconds > 0 ? habits_.timeoutSeconds : 0.7 + double(client.random() % 500) / 1000;
  if (effects[kind] == Effect::keyed) query.idempotencyKey = standin::valueOf("key" + query.id);
  QueryRecord record;
  record.id = query.id;
  record.effect = effects[kind];
  record.mixer = client.mixer;
  record.timeout = query.timeout;
  record.shards = query.shards;
  record.freshConnection = !client.used;
  if (!exchange(client, record, query.text())) {
    client.connection.end();
    const bool mayRetry = !record.freshConnection && !record.leftAt && !judge_.forwarded(record.id);
    if (mayRetry && client.open(mixers_[std::size_t(client.mixer)]->port())) {
      // The close may have crossed the request: it is sent once more on a new connection.
      record.freshConnection = true;
      record.endedAt.reset();
      if (!exchange(client, record, query.text())) client.connection.end();
    }
  }
  if (!record.answerAt && !record.leftAt) excuseKilled(record);
  judge_.add(std::move(record));
}

void Clients::write(Client& client, const std::string& text) {
  if (!client.chance(habits_.slowShare)) {
    standin::sendAll(client.connection.fd, text);
    return;
  }
  for (int k = 0; k < kPieces; ++k) {
    const std::size_t from = text.size() * std::size_t(k) / kPieces,
                      to = text.size() * std::size_t(k + 1) / kPieces;
    if (!standin::sendAll(client.connection.fd, text.substr(from, to - from))) return;
    if (k + 1 < kPieces) standin::sleepFor(double(client.random() % 60) / 1000);
  }
}

bool Clients::exchange(Client& client, QueryRecord& record, const std::string& text) {
  const bool leaves = client.chance(habits_.leaveShare);
  record.beganAt = record.freshConnection ? client.openedAt : standin::now();
  write(client, text);
  record.sentAt = standin::now();
  const double until = leaves ? record.sentAt + double(client.random() % 40) / 1000
                              : record.sentAt + record.timeout + kGiveUpAfter;
  const standin::Response response = client.connection.read(until);
  if (response.status != 0) {
    record.answerAt = response.at;
    record.status = response.status;
    record.body = response.body;
    client.used = true;
    if (response.close) client.connection.end();
    return true;
  }
  if (response.ended) {
    record.endedAt = response.at;
    record.endedByReset = response.reset;
    return false;
  }
  client.connection.end();
  if (leaves) record.leftAt = standin::now();
  return false;
}

// A mixer that is killed without a warning owes nothing. At a planned kill only a request that was sent in
// the last moment is excused.
void Clients::excuseKilled(QueryRecord& record) {
  for (const Kill& kill : mixers_[std::size_t(record.mixer)]->kills()) {
    const bool before = record.beganAt <= kill.endedAt;
    const bool waiting = !record.endedAt || *record.endedAt >= kill.at;
    if (!before || !waiting || record.sentAt < kill.at - record.timeout - kGiveUpAfter) continue;
    if (!kill.planned || record.sentAt > kill.at - kCrossedKill) record.excused = true;
  }
}

void Crowd::join(std::uint16_t port, int count) {
  std::string head = "POST /api/x HTTP/1.1\r\nHost: o\r\n";
  for (int k = 0; k < kHeadFields; ++k) head += "a:\r\n";
  const std::string body =
      "POST /api/x HTTP/1.1\r\nHost: o\r\nContent-Length: " + std::to_string(kBodyBytes + 1) + "\r\n\r\n" +
      std::string(kBodyBytes, ' ');
  for (int k = 0; k < count; ++k) {
    auto connection = std::make_unique<standin::ClientConnection>();
    if (!connection->open(port)) return;
    const std::string& text = k % 2 == 0 ? head : body;
    send(connection->fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    connections_.push_back(std::move(connection));
  }
}

void Crowd::leave() { connections_.clear(); }

}  // namespace cometdeal::soak
