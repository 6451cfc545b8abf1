// A mixer that is replaced while it serves, and the operators' second address: real processes of the program
// on a listener that they inherit, scripted leaf servers, clients and operators around them.
// `upgrade_test NAME` plays one test.
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admin/calls.hpp"
#include "standin/frame_leaf.hpp"
#include "standin/http_client.hpp"

using namespace cometdeal;
using namespace cometdeal::net;
using standin::FrameLeaf;
using standin::HttpClient;
using standin::HttpQuery;
using Json = nlohmann::json;

#ifdef NDEBUG
#error "a test without asserts can't fail"
#endif

namespace {

constexpr Micros kMs = 1000;
const std::filesystem::path kFolder = "/tmp/upgrade-test-" + std::to_string(getpid());

void check(bool good, const std::string& what) {
  if (!good) std::fprintf(stderr, "%s\n", what.c_str());
  assert(good);
}
std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}
// A socket on loopback, on a port that is free.
int bound(bool listening, std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  check(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0, "bind");
  if (listening) check(listen(fd, 256) == 0, "listen");
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}
std::uint16_t freePort() {
  std::uint16_t port = 0;
  close(bound(false, port));
  return port;
}
std::string local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// One process of the program.
struct Process {
  pid_t pid = -1;
  std::uint16_t admin = 0;
  std::filesystem::path log;
  int status = -1;  // once it has ended; 128 + N: by signal N

  bool ended() {
    int how = 0;
    if (pid > 0 && waitpid(pid, &how, WNOHANG) == pid) {
      status = WIFEXITED(how) ? WEXITSTATUS(how) : 128 + WTERMSIG(how);
      pid = -1;
    }
    return pid < 0;
  }
  // Of its last report: printed at its end.
  std::uint64_t counter(const std::string& name) const {
    const std::string text = readFile(log), line = "counter " + name + " ";
    const std::size_t at = text.rfind(line);
    check(at != std::string::npos, "no counter " + name + " in\n" + text);
    return std::stoull(text.substr(at + line.size()));
  }
};

int connectTo(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
  close(fd);
  return -1;
}
std::string readAll(int fd) {
  std::string out;
  for (char buffer[4096];;) {
    pollfd one{fd, POLLIN, 0};
    check(poll(&one, 1, 20'000) == 1, "no reply in time");
    const ssize_t n = read(fd, buffer, sizeof buffer);
    if (n <= 0) break;
    out.append(buffer, std::size_t(n));
  }
  close(fd);
  return out;
}
// What comes back for a call. Empty: nobody listens.
std::string call(std::uint16_t port, const std::string& bytes) {
  const int fd = connectTo(port);
  if (fd < 0) return "";
  check(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()), "send");
  return readAll(fd);
}
Json vars(std::uint16_t port) {
  const std::string text = call(port, "vars\n");
  check(text.ends_with("\n.\n"), "vars: " + text);
  return Json::parse(text.substr(0, text.size() - 3));
}

// Two leaf servers, and the platform's side: the listener, the configuration, the starts.
struct World {
  Loop loop;
  std::vector<std::unique_ptr<FrameLeaf>> leaves;
  std::uint16_t port = 0;
  int listener = -1, starts = 0;
  Json config, environment = Json::object();
  std::vector<std::unique_ptr<Process>> processes;

  World() {
    std::filesystem::create_directories(kFolder / "tmp");
    // A part whose text says so is never served.
    const auto script = [](const FrameLeaf::Part& p) {
      FrameLeaf::Reply out;
      out.after = p.text == "slow" ? 400 * kMs : 2 * kMs;
      if (p.text == "broken") out.end = 500;
      return out;
    };
    for (int k = 0; k < 2; ++k) leaves.push_back(std::make_unique<FrameLeaf>(loop, script));
    listener = bound(true, port);
    config = Json::parse(R"({"name":"n0","seed":"8c1f30d27a5be964","limits":{"sockets":1024},"settings":{
      "balancers":1,"discovery":"pushed","tick":5.0,"zones":["a"],"az":0,
      "categories":[{"name":"plain","aim":1000.0,"hardLimit":2000.0,"lateShare":0.5,"effect":"safe"},
        {"name":"once","aim":1000.0,"hardLimit":2000.0,"lateShare":0.5,"effect":"unsafe"}],
      "familyInfo":{"positions":1,"ranges":8,"reach":1,"bundleMax":1,"needByClass":[1.0,1.0],
        "classFloor":[1.0,1.0],"followUp":[0,0]},
      "limits":{"cancel":true,"secondCopies":true,"maxAttempts":3,"maxOpen":500,"maxRetryAfter":500.0,
        "retryAfter":true,"connIdle":15000.0,"connectTimeout":1000.0,"maxStreams":100},
      "safety":{"drainGrace":1000.0}}})");
    config["listen"] = local(port);
    config["discovery"] = local(freePort());
    Json endpoints = Json::array();
    for (const auto& leaf : leaves)
      endpoints.push_back({{"name", "s" + std::to_string(endpoints.size())},
                           {"address", local(leaf->port())},
                           {"zone", "a"},
                           {"group", 0},
                           {"status", "Ready"},
                           {"since_ms", 0}});
    config["known"] = {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}};
    environment = {{"BALANCER_FD", "3"}, {"TMPDIR", (kFolder / "tmp").string()}};
  }
  ~World() {
    for (const auto& p : processes)
      if (!p->ended()) kill(p->pid, SIGKILL), waitpid(p->pid, nullptr, 0);
    std::filesystem::remove_all(kFolder);
  }
  // `third`: what the process finds as descriptor 3; below 0: nothing.
  Process& start(int third) {
    Process& p = *processes.emplace_back(std::make_unique<Process>());
    p.admin = freePort();
    const std::string number = std::to_string(++starts);
    const std::filesystem::path file = kFolder / ("config" + number);
    p.log = kFolder / ("log" + number);
    if (!config.contains("admin") || config["admin"].is_null()) config["admin"] = local(p.admin);
    std::ofstream(file) << config.dump();
    config.erase("admin");
    const int log = open(p.log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    p.pid = fork();
    if (p.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed test leaves nothing running
      dup2(log, 2);
      if (third >= 0) dup2(third, 3);
      if (third < 0) closefrom(3);
      for (const auto& [name, value] : environment.items())
        setenv(name.c_str(), value.get<std::string>().c_str(), 1);
      setenv("BALANCER_CONFIG", file.c_str(), 1);
      execl(MIXER_PROGRAM, MIXER_PROGRAM, nullptr);
      _exit(127);
    }
    close(log);
    return p;
  }
  Process& start() { return start(listener); }
  void run(Micros span) {
    loop.io.restart();
    loop.io.run_for(std::chrono::microseconds(span));
  }
  void until(const std::function<bool()>& done, const std::string& what) {
    for (const Micros end = loop.now() + 30'000 * kMs; !done();) {
      check(loop.now() < end, "never: " + what);
      run(2 * kMs);
    }
  }
  void ready(const Process& p) {
    until([&] { return call(p.admin, "check\r\n").starts_with("+OK"); }, "ready: " + readFile(p.log));
  }
  void gone(Process& p, int status) {
    until([&] { return p.ended(); }, "the end of the process");
    check(p.status == status, "status " + std::to_string(p.status) + "\n" + readFile(p.log));
  }
  std::uint64_t asked() const {
    std::uint64_t out = 0;
    for (const auto& leaf : leaves) out += leaf->asked;
    return out;
  }
};

// Clients that ask again as soon as they have an answer, on connections that they keep while they may.
struct Load {
  World& world;
  struct Client {
    std::unique_ptr<HttpClient> connection;
    bool waiting = false;
  };
  std::vector<Client> clients;
  std::map<std::string, std::map<int, int>> answers;  // by class and status; 0: the connection ended first
  int asked = 0, told = 0;
  bool on = true, anew = false;  // anew: each request on a connection of its own

  Load(World& w, int number) : world(w), clients(std::size_t(number)) {}
  void step() {
    for (Client& c : clients)
      if (on && !c.waiting) ask(c);
  }
  void ask(Client& c) {
    if (!c.connection || anew || c.connection->ended())
      c.connection = std::make_unique<HttpClient>(world.loop, world.port);
    HttpQuery q;
    q.id = "q" + std::to_string(++asked);
    q.cls = asked % 3 == 0 ? "once" : "plain";
    q.seconds = 2;
    q.text = asked % 50 == 7 || asked % 50 == 9 ? "broken" : "t";
    q.shards = {asked % 8, (asked + 1) % 8};
    if (asked % 70 == 11) q.shards = {99};  // no such shard: turned away
    c.waiting = true;
    c.connection->ask(q.request(), [this, &c, cls = q.cls](const HttpMessage& reply) {
      ++answers[cls][reply.status];
      ++told;
      c.waiting = false;
    });
  }
  void runUntil(const std::function<bool()>& done, const std::string& what) {
    world.until([&] { return step(), done(); }, what);
  }
  void atLeast(int more) {
    const int target = told + more;
    runUntil([&] { return told >= target; }, "more answers");
  }
  void finish() {
    on = false;
    world.until([&] { return told == asked; }, "the last answers");
  }
  int of(const std::string& cls, std::initializer_list<int> statuses) {
    int out = 0;
    for (const int s : statuses) out += answers[cls].contains(s) ? answers[cls][s] : 0;
    return out;
  }
};

// ---- Tests -----------------------------------------------------------------------------------------------

// A start that fails says why in one line, with what was expected, and the process that serves goes on.
void bad() {
  World w;
  Process& serving = w.start();
  w.ready(serving);
  std::uint16_t port = 0;
  const int other = bound(true, port), silent = bound(false, port);
  const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const int file = open("/dev/null", O_RDONLY | O_CLOEXEC);
  const std::string taken = local(serving.admin);
  struct Case {
    int third;
    Json environment, admin;
    const char* said;
  };
  const std::string listenAt = "expected a TCP socket that listens on " + local(w.port);
  for (const Case& c : std::vector<Case>{
           {w.listener, {{"BALANCER_FD", "three"}}, nullptr, "'three' is no descriptor"},
           {w.listener, {{"BALANCER_FD", "3x"}}, nullptr, "'3x' is no descriptor"},
           {w.listener, {{"BALANCER_FD", "-1"}}, nullptr, "'-1' is no descriptor"},
           {w.listener, {{"BALANCER_FD", ""}}, nullptr, "'' is no descriptor"},
           {w.listener, {{"BALANCER_FD", "99999999999"}}, nullptr, "is no descriptor"},
           {w.listener, {{"BALANCER_FD", "97"}}, nullptr, "descriptor 97 is not open, expected"},
           {-1, {{"BALANCER_FD", "3"}}, nullptr, "descriptor 3 is not open, expected"},
           {file, {{"BALANCER_FD", "3"}}, nullptr, "descriptor 3 is no socket, expected"},
           {datagrams, {{"BALANCER_FD", "3"}}, nullptr, "descriptor 3 is another kind of socket, expected"},
           {silent, {{"BALANCER_FD", "3"}}, nullptr, "descriptor 3 does not listen, expected"},
           {other, {{"BALANCER_FD", "3"}}, nullptr, listenAt.c_str()},
           {w.listener, Json::object(), "nowhere", "'nowhere' is not an address and a port"},
           {w.listener, Json::object(), 7, "type must be string"},
           {w.listener, Json::object(), taken, "cannot listen on"},
           {w.listener,
            {{"BALANCER_ADMIN", "127.0.0.1:1"}},
            nullptr,
            "expected 'admin' of the configuration"},
           {w.listener, {{"BALANCER_ADMIN", "here"}}, nullptr, "'here' is not an address and a port"},
       }) {
    const Json before = w.environment;
    w.environment.update(c.environment);
    w.config["admin"] = c.admin;
    Process& p = w.start(c.third);
    w.environment = before;
    w.gone(p, 2);
    const std::string log = readFile(p.log);
    check(log.starts_with("cometdeal: ") && log.find(c.said) != std::string::npos &&
              std::count(log.begin(), log.end(), '\n') == 1,
          std::string("wanted ") + c.said + "\n  got " + log);
  }
  // Without the descriptor the address is bound as before, and is in use.
  w.environment.erase("BALANCER_FD");
  Process& p = w.start(-1);
  w.gone(p, 2);
  check(readFile(p.log).find("cannot listen on " + local(w.port) + ": ") != std::string::npos, "in use");
  for (const int fd : {other, silent, datagrams, file}) close(fd);
  check(call(serving.admin, "check\n").starts_with("+OK"), "the serving process");
  Load load(w, 4);
  load.atLeast(50);
  load.finish();
  check(load.of("plain", {0}) + load.of("once", {0}) == 0, "requests were lost");
}

// The second address: every call has its reply, whatever else is connected there.
void admin() {
  World w;
  w.config["limits"]["sockets"] = 256;
  const Json known = w.config["known"];
  w.config["known"] = nullptr;
  Process& listless = w.start();
  w.until([&] { return call(listless.admin, "check\n").starts_with("-ERR not ready: "); }, "a reply");
  check(vars(listless.admin)["discovered"] == 0, "a list out of nothing");
  kill(listless.pid, SIGKILL);
  w.gone(listless, 128 + SIGKILL);

  w.config["known"] = known;
  Process& p = w.start();
  w.ready(p);
  const Json first = vars(p.admin);
  for (const char* name : {"succeeded", "declined", "aborted"})
    check(first[name] == Json({{"plain", 0}, {"once", 0}}), "at the start: " + first.dump());
  check(first["discovered"] == 2 && first["ejected"] == 0 && first["outstanding"] == 0 &&
            first["forwards"] == 0 && first["sighup_applied"] == 0 && first["sighup_rejected"] == 0,
        "at the start: " + first.dump());
  const std::string overlong(200, 'v');
  for (const auto& [said, reply] : std::vector<std::pair<std::string, std::string>>{
           {"check\n", "+OK"},
           {"check\r\n", "+OK"},
           {"check\nvars\n", "+OK"},
           {"\n", "-ERR empty call"},
           {"\r\n", "-ERR empty call"},
           {"var\n", "-ERR unknown call 'var'"},
           {"CHECK\n", "-ERR unknown call"},
           {"check it\n", "-ERR unknown call"},
           {overlong, "-ERR call over 64 bytes"},
           {overlong + "\n", "-ERR call over 64 bytes"},
           {std::string("\0\x01\xff\n", 4), "-ERR call is not text"},
           {"GET / HTTP/1.1\r\n\r\n", "-ERR unknown call"}})
    check(call(p.admin, said).starts_with(reply), said + " -> " + call(p.admin, said));
  // A byte at a time, an end in place of the line's end, and one that leaves in the middle.
  const int slow = connectTo(p.admin);
  for (const char c : std::string("check\n")) {
    check(send(slow, &c, 1, MSG_NOSIGNAL) == 1, "send");
    usleep(2000);
  }
  check(readAll(slow).starts_with("+OK"), "a byte at a time");
  const int half = connectTo(p.admin);
  check(send(half, "check", 5, MSG_NOSIGNAL) == 5 && shutdown(half, SHUT_WR) == 0, "send");
  check(readAll(half).starts_with("+OK"), "ended by an end");
  for (int k = 0; k < 20; ++k) {
    const int leaving = connectTo(p.admin);
    const linger now{1, 0};
    setsockopt(leaving, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    check(send(leaving, "vars\n", 5, MSG_NOSIGNAL) == 5, "send");
    close(leaving);
  }
  // A thousand that hold a half call: replies go on, and clients are served.
  std::vector<int> holders;
  Load load(w, 4);
  for (int k = 0; k < 1000; ++k) {
    holders.push_back(connectTo(p.admin));
    check(holders.back() >= 0, "the second address does not listen");
    send(holders.back(), "va", 2, MSG_NOSIGNAL);
    if (k % 100 != 99) continue;
    const Micros asked = w.loop.now();
    check(vars(p.admin).contains("forwards"), "vars");
    check(w.loop.now() - asked < 10'000 * kMs, "late");  // owed in 1 s; this machine may be busy
    load.atLeast(10);
  }
  for (const int fd : holders) close(fd);
  load.finish();
  check(load.of("plain", {0}) + load.of("once", {0}) == 0, "requests were lost");
  kill(p.pid, SIGTERM);
  w.until([&] { return !call(p.admin, "check\n").starts_with("+OK"); }, "no more ready");
  w.gone(p, 0);
  check(p.counter("defects") == 0, "defects");
}

// Replaces `old` while clients ask and operators look on.
void replace(Load& load, Process& old, const Process& next) {
  load.runUntil([&] { return call(next.admin, "check\n").starts_with("+OK"); }, "ready");
  load.atLeast(20);
  kill(old.pid, SIGTERM);
  load.runUntil(
      [&] {
        check(vars(next.admin).contains("succeeded"), "vars");
        return old.ended();
      },
      "the end of the old one");
  check(old.status == 0, "status " + std::to_string(old.status) + "\n" + readFile(old.log));
  check(old.counter("defects") == 0 && old.counter("backstops") == 0, "defects");
  load.atLeast(20);
  check(load.of("plain", {0}) + load.of("once", {0}) == 0, "a request met a closed connection");
}

// Whether the process still waits for what comes to the socket: a closed descriptor stays in the set for as
// long as another process holds the socket.
bool watches(const Process& p, int socket) {
  struct stat held {};
  check(fstat(socket, &held) == 0, "fstat");
  std::ostringstream wanted;
  wanted << "ino:" << std::hex << held.st_ino << ' ';
  for (const auto& one : std::filesystem::directory_iterator("/proc/" + std::to_string(p.pid) + "/fdinfo"))
    if (readFile(one.path()).find(wanted.str()) != std::string::npos) return true;
  return false;
}

// Under load, amid idle connections, one that has just connected and a slow writer: each request has one
// answer, and what both processes count is what clients and leaf servers saw.
void load() {
  World w;
  Process& old = w.start();
  w.ready(old);
  Load load(w, 8);
  load.atLeast(300);
  // Idle after a query; and one that will ask only after the end of the old process began.
  std::vector<std::unique_ptr<HttpClient>> idle;
  HttpQuery q;
  q.cls = "plain", q.seconds = 2;
  int answered = 0;
  for (int k = 0; k < 5; ++k) {
    q.id = "i" + std::to_string(k);
    idle.push_back(std::make_unique<HttpClient>(w.loop, w.port));
    idle.back()->ask(q.request(), [&](const HttpMessage& m) { answered += m.status == 200; });
  }
  load.runUntil([&] { return answered == 5; }, "idle ones' answers");
  const int writer = connectTo(w.port), fresh = connectTo(w.port);
  q.id = "w0", q.text = "slow";
  const std::string slowText = q.request();
  check(send(writer, slowText.data(), 40, MSG_NOSIGNAL) == 40, "send");
  load.atLeast(20);
  Process& next = w.start();
  load.runUntil([&] { return call(next.admin, "check\n").starts_with("+OK"); }, "ready");
  load.atLeast(50);
  check(watches(old, w.listener) && watches(next, w.listener), "the listener is not watched");
  kill(old.pid, SIGTERM);
  load.runUntil([&] { return call(old.admin, "check\n").starts_with("-ERR"); }, "stopping");
  check(!watches(old, w.listener), "the old one still waits at the listener");
  q.id = "f0", q.text = "t";
  const std::string freshText = q.request();
  check(send(fresh, freshText.data(), freshText.size(), MSG_NOSIGNAL) == ssize_t(freshText.size()), "send");
  check(send(writer, slowText.data() + 40, slowText.size() - 40, MSG_NOSIGNAL) > 0, "send");
  load.runUntil([&] { return old.ended(); }, "the end of the old one");
  check(old.status == 0, "status " + std::to_string(old.status));
  for (const int fd : {writer, fresh}) check(readAll(fd).starts_with("HTTP/1.1 200"), "an answer");
  for (const auto& c : idle) check(c->ended(), "an idle connection stays");
  load.atLeast(50);
  load.finish();
  const Json now = vars(next.admin);
  kill(next.pid, SIGTERM);
  w.gone(next, 0);
  for (const std::string cls : {"plain", "once"}) {
    const auto both = [&](const std::string& name) {
      check(now[name][cls] == next.counter(name + "." + cls), name + ": " + now.dump());
      return int(old.counter(name + "." + cls) + next.counter(name + "." + cls));
    };
    const int more = cls == "plain" ? 7 : 0;  // idle ones, writer, fresh
    check(both("succeeded") == load.of(cls, {200}) + more, "succeeded " + cls);
    check(both("declined") == load.of(cls, {429, 503}), "declined " + cls);
    check(both("aborted") == load.of(cls, {400, 504}), "aborted " + cls);
    check(load.of(cls, {200}) > 0 && load.of(cls, {400}) > 0, "no such ends of " + cls);
    check(load.of(cls, {0}) == 0, "a request met a closed connection");
  }
  check(load.of("plain", {503}) > 0 && load.of("once", {504}) > 0, "no such ends");
  check(old.counter("forwards") + next.counter("forwards") == w.asked(), "forwards");
  check(old.counter("succeeded.plain") > 0 && next.counter("succeeded.plain") > 0, "one served all");
  check(std::filesystem::is_empty(kFolder / "tmp"), "something was left behind");
}

// A new process that never has a list to serve by takes no connection, whether it is killed or goes on.
void killed() {
  World w;
  Process& old = w.start();
  w.ready(old);
  Load load(w, 8);
  load.atLeast(50);
  const Json known = w.config["known"];
  w.config["known"] = nullptr;
  Process& listless = w.start();
  load.runUntil([&] { return call(listless.admin, "check\n").starts_with("-ERR not ready"); }, "its no");
  load.anew = true;  // both could take them
  load.atLeast(400);
  kill(listless.pid, SIGKILL);
  load.runUntil([&] { return listless.ended(); }, "its end");
  load.atLeast(200);
  load.finish();
  check(load.of("plain", {0}) + load.of("once", {0}) == 0, "requests were lost");
  w.config["known"] = known;
  load.on = true;
  replace(load, old, w.start());
  load.finish();
}

// One after the other: nothing is left behind, nothing is passed on.
void twenty() {
  World w;
  Process* now = &w.start();
  w.ready(*now);
  Load load(w, 4);
  const auto descriptors = [](const Process& p) {
    const std::filesystem::path fds = "/proc/" + std::to_string(p.pid) + "/fd";
    return std::distance(std::filesystem::directory_iterator(fds), {});
  };
  std::ptrdiff_t first = 0;
  for (int k = 0; k < 20; ++k) {
    Process& next = w.start();
    replace(load, *now, next);
    now = &next;
    if (k == 0) first = descriptors(next);
    check(descriptors(next) <= first + 8, "descriptors add up");  // clients come and go
  }
  load.finish();
  check(std::filesystem::is_empty(kFolder / "tmp"), "something was left behind");
}

// Files at SIGHUP that are turned down whole, with the key named, and what was in force stays so.
void reload() {
  World w;
  Process& p = w.start();
  w.ready(p);
  const std::filesystem::path file = kFolder / "config1";
  const std::string good = readFile(file);
  struct Case {
    const char *path, *value;  // nothing: the key is taken away
    const char* said;
  };
  std::vector<Case> cases = {
      {"/settings", "", "'settings' is missing"},
      {"/listen", "", "'listen' is missing"},
      {"/discovery", "", "'discovery' is missing"},
      {"/seed", "", "'seed' is missing"},
      {"/name", "", "'name' is missing"},
      {"/limits", "", "'limits' is missing"},
      {"/limits/sockets", "", "'limits.sockets' is missing"},
      {"/settings/categories", "", "'categories' is missing"},
      {"/settings/familyInfo", "", "'familyInfo' is missing"},
      {"/settings/familyInfo/ranges", "", "'ranges' is missing"},
      {"/settings/limits", "", "'settings.limits' is missing"},
      {"/settings/limits/maxAttempts", "", "'settings.limits.maxAttempts' is missing"},
      {"/settings/safety/drainGrace", "", "'settings.safety.drainGrace' is missing"},
      {"/settings/tick", "", "'settings.tick' is missing"},
      {"/settings/categories/0/name", "", "'name' is missing"},
      {"/settings/categories/1/aim", "", "categories[1].aim' is missing"},
      {"/settings/categories/0/hardLimit", "", "categories[0].hardLimit' is missing"},
      {"/settings/categories/0/effect", "", "categories[0].effect' is missing"},
      {"/settings/categories/0/aim", "0", "categories[0].aim' is 0, expected a number above 0"},
      {"/settings/categories/0/hardLimit", "0", "categories[0].hardLimit' is 0"},
      {"/settings/categories/1/hardLimit", "-5.5", "categories[1].hardLimit' is -5.5"},
      {"/settings/categories/0/hardLimit", "\"2000\"", "hardLimit' is \"2000\""},
      {"/settings/categories/0/hardLimit", "null", "hardLimit' is null"},
      {"/settings/categories/0/hardLimit", "[2000]", "hardLimit' is [2000]"},
      {"/settings/categories/0/hardLimit", "true", "hardLimit' is true"},
      {"/settings/categories/0/hardLimit", "1e300", "hardLimit' is 1e+300"},
      {"/settings/limits/maxAttempts", "0", "maxAttempts' is 0, expected a number above 0"},
      {"/settings/limits/maxAttempts", "-1", "maxAttempts' is -1"},
      {"/settings/limits/maxAttempts", "\"3\"", "maxAttempts' is \"3\""},
      {"/settings/limits/maxAttempts", "null", "maxAttempts' is null"},
      {"/settings/limits/maxAttempts", "0.5", "maxAttempts' is 0.5, expected 1 or more"},
      {"/settings/categories", "[]", "names no class"},
      {"/settings/categories/1/name", "\"plain\"", "is 'plain' for the second time"},
      {"/settings/categories/1/name", "\"\"", "name' is empty"},
      {"/settings/categories/1/effect", "\"maybe\"", "unknown effect 'maybe'"},
      {"/settings/familyInfo/ranges", "0", "'ranges' is not a number of shards"},
      {"/settings/limits/connIdle", "\"long\"", "connIdle"},
      {"/discovery", "\"nowhere\"", "'nowhere' is not an address"},
      {"/settings", "[]", "settings"}};
  std::vector<std::pair<std::string, std::string>> files = {
      {"", "is not a JSON object"},
      {"\n", "is not a JSON object"},
      {"[]", "is not a JSON object"},
      {good.substr(0, good.size() / 2), "is not a JSON object"},
      {good.substr(0, good.size() - 1), "is not a JSON object"},
      {good + good, "is not a JSON object"},
      {R"({"settings":1e999})", "is not a JSON object"}};
  for (const Case& c : cases) {
    Json body = Json::parse(good);
    const Json::json_pointer at(c.path);
    if (*c.value)
      body[at] = Json::parse(c.value);
    else
      body[at.parent_pointer()].erase(at.back());
    files.emplace_back(body.dump(), c.said);
  }
  int turnedDown = 0;
  for (const auto& [text, said] : files) {
    std::ofstream(file) << text;
    kill(p.pid, SIGHUP);
    ++turnedDown;
    w.until([&] { return vars(p.admin)["sighup_rejected"] == turnedDown; }, "turned down: " + text);
    const std::string log = readFile(p.log), line = log.substr(log.rfind("not reloaded: "));
    check(line.find(said) != std::string::npos, "wanted " + said + "\n  got " + line);
  }
  std::filesystem::remove(file);
  kill(p.pid, SIGHUP);
  w.until([&] { return vars(p.admin)["sighup_rejected"] == turnedDown + 1; }, "no file");
  check(vars(p.admin)["sighup_applied"] == 0, "a bad file was taken");
  Load load(w, 4);
  load.atLeast(100);
  load.finish();
  check(load.of("plain", {200}) > 0 && load.of("once", {200}) > 0, "what was in force");
}

// Classes that come, go and change under requests, and fewer attempts.
void retune() {
  World w;
  Process& p = w.start();
  w.ready(p);
  const std::filesystem::path file = kFolder / "config1";
  const Json begun = Json::parse(readFile(file));
  int taken = 0;
  const auto put = [&](const Json& body) {
    std::ofstream(file) << body.dump();
    kill(p.pid, SIGHUP);
    ++taken;
    w.until([&] { return vars(p.admin)["sighup_applied"] == taken; }, "taken: " + readFile(p.log));
  };
  std::map<std::string, int> status;
  std::vector<std::unique_ptr<HttpClient>> clients;
  const auto ask = [&](const std::string& id, const std::string& name, const std::string& text,
                       const std::string& key = "") {
    HttpQuery q;
    q.id = id, q.cls = name, q.text = text, q.seconds = 2, q.idempotencyKey = key;
    clients.push_back(std::make_unique<HttpClient>(w.loop, w.port));
    clients.back()->ask(q.request(), [&status, id](const HttpMessage& m) { status[id] = m.status; });
  };
  const auto answered = [&](const std::string& id, int wanted) {
    w.until([&] { return status.contains(id); }, "an answer to " + id);
    check(status[id] == wanted, id + ": status " + std::to_string(status[id]));
  };
  const auto seen = [&](const std::string& id) {
    int out = 0;
    for (const auto& leaf : w.leaves)
      for (const auto& part : leaf->seen()) out += part.id.starts_with(id + ".");
    return out;
  };
  // `once` goes and its place shifts, `plain` stays, `fresh` comes ahead of it, twice in a row, while
  // requests of the old ones are under way.
  ask("a", "once", "slow");
  ask("b", "plain", "slow");
  w.until([&] { return seen("a") + seen("b") == 2; }, "under way");
  Json next = begun;
  Json fresh = begun["settings"]["categories"][0];
  fresh["name"] = "fresh";
  next["settings"]["categories"] = {fresh, begun["settings"]["categories"][0]};
  put(next);
  put(next);
  answered("a", 200);
  answered("b", 200);
  ask("c", "fresh", "t");
  answered("c", 200);
  ask("d", "plain", "t");
  answered("d", 200);
  // Who was told before asks for it still, for a while; then it is unknown.
  ask("e", "once", "t");
  answered("e", 200);
  int k = 0;
  w.until(
      [&] {
        const std::string id = "f" + std::to_string(++k);
        ask(id, "once", "t");
        w.until([&] { return status.contains(id); }, id);
        return status[id] == 400;
      },
      "the end of a class");
  // A stricter effect: `plain` may no longer be sent again, with what asks from now on.
  const int tries = [&] {
    ask("g", "plain", "broken");
    answered("g", 503);
    return seen("g");
  }();
  check(tries > 1, "a safe part is sent again");
  next["settings"]["categories"][1]["effect"] = "unsafe";
  ask("h", "plain", "slow");
  w.until([&] { return seen("h") == 1; }, "under way");
  put(next);
  ask("i", "plain", "broken");
  answered("i", 504);
  check(seen("i") == 1, "an unsafe part was sent again");
  answered("h", 200);
  // Keyed from now on: a client that was not told yet sends no key, and nothing of it is repeated.
  next["settings"]["categories"][1]["effect"] = "keyed";
  next["settings"]["categories"][1]["dedupWindow"] = 5000.0;
  put(next);
  ask("j", "plain", "broken");
  w.until([&] { return status.contains("j"); }, "j");
  check(seen("j") == 1, "without a key a part was sent again");
  ask("k", "plain", "broken", "K");
  w.until([&] { return status.contains("k"); }, "k");
  check(seen("k") > 1, "with a key it is sent again");
  // Fewer attempts.
  next["settings"]["limits"]["maxAttempts"] = 1;
  put(next);
  ask("l", "fresh", "broken");
  answered("l", 503);
  check(seen("l") == 1, "an attempt too many");
  kill(p.pid, SIGTERM);
  w.gone(p, 0);
  check(p.counter("defects") == 0 && p.counter("backstops") == 0, "defects");
  check(p.counter("succeeded.fresh") == 1 && p.counter("succeeded.once") >= 2, "figures of classes");
}

// Signals from before the configuration is read: none is lost, none ends the process in the system's way.
void early() {
  World w;
  const std::filesystem::path file = kFolder / "fifo";
  check(mkfifo(file.c_str(), 0600) == 0, "mkfifo");
  const int pipe = open(file.c_str(), O_RDWR | O_CLOEXEC);
  const std::string told = [&] {
    w.config["admin"] = local(freePort());
    return w.config.dump();
  }();
  Process p;
  p.log = kFolder / "log";
  const int log = open(p.log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  p.pid = fork();
  if (p.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, 2);
    dup2(w.listener, 3);
    setenv("BALANCER_FD", "3", 1);
    setenv("BALANCER_CONFIG", file.c_str(), 1);
    execl(MIXER_PROGRAM, MIXER_PROGRAM, nullptr);
    _exit(127);
  }
  close(log);
  const auto caught = [&](int signal) {
    std::istringstream status(readFile("/proc/" + std::to_string(p.pid) + "/status"));
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("SigCgt:")) return (std::stoull(line.substr(7), nullptr, 16) >> (signal - 1)) & 1;
    return 0ULL;
  };
  w.until([&] { return caught(SIGHUP) && caught(SIGUSR1) && caught(SIGTERM); }, "signals are caught");
  for (const int signal : {SIGUSR1, SIGTERM, SIGTERM}) kill(p.pid, signal);
  check(write(pipe, told.data(), told.size()) == ssize_t(told.size()), "write");
  close(pipe);
  w.gone(p, 0);
  check(readFile(p.log).find("n0: stopping") != std::string::npos, "an orderly end");
}

}  // namespace

int main(int count, char** names) {
  const std::map<std::string, void (*)()> tests = {{"bad", bad},       {"admin", admin},   {"load", load},
                                                   {"killed", killed}, {"twenty", twenty}, {"early", early},
                                                   {"reload", reload}, {"retune", retune}};
  assert(count == 2 && tests.contains(names[1]));
  std::signal(SIGPIPE, SIG_IGN);
  tests.at(names[1])();
}
