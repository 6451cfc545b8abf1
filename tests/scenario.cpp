// Runs one scenario file: starts the mixer with scripted peers on loopback and executes the commands line by
// line. Lines that start with # are comments. NAME: a listener. C: a connection. TEXT may contain \r \n
// \\ and $NAME (the address of a listener; $SCENARIOS is the folder of the scenarios). PATTERN is text in
// which * matches any characters; it must match the entire text. Only `wait` depends on time; `expect` waits
// up to 20 s. At the end of a scenario that has not awaited the exit, the mixer gets SIGTERM, must report no
// backstops and no defects, and must exit with status 0.
//
//   leaf NAME CELL             opens a listener for a ready leaf server of the last known list (`known`)
//   absent NAME CELL           the same, but connections to its address are refused
//   listen NAME                opens a listener; the listener D, for discovery, is open from the start
//   start [PATH=JSON ...]      starts the mixer with changed settings
//   configure [PATH=JSON ...]  changes further settings and writes the configuration file again
//   connect C                  connects to the mixer as a client
//   accept C NAME              accepts a connection at the listener
//   send C raw TEXT | fill BYTES | http STATUS BODY | frame LETTER TEXT | query ID CLASS SECONDS SHARDS
//   expect C status CODE PATTERN    a response; PATTERN matches `NAME: VALUE; ` of each header, then the body
//   expect C request PATTERN        a request; PATTERN matches `METHOD TARGET`
//   expect C frame LETTER PATTERN   a frame
//   expect C end                    the end of the connection
//   expect log PATTERN | exit CODE  a line of the mixer's log (lines before it are skipped); its exit status
//   close C | reset C | wait MS | signal TERM | signal HUP | signal USR1
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http/http.hpp"
#include "leaf/frame/frame.hpp"

using namespace cometdeal::net;
using Json = nlohmann::json;

#ifdef NDEBUG
#error "scenarios need assert(): build without NDEBUG"
#endif

namespace {

std::string currentLine;  // file and line of the current command, for failures
void check(bool good, const std::string& what) {
  if (!good) std::fprintf(stderr, "%s: %s\n", currentLine.c_str(), what.c_str());
  assert(good);
}

struct Peer {
  int fd = -1;
  std::string in;
  HttpParser requests{HttpParser::Kind::request}, responses{HttpParser::Kind::response};
  // The letters of the frames that the mixer sends to leaf servers.
  FrameReader frames{"DKIU"};
};
std::map<std::string, Peer> peers;
std::map<std::string, std::string> addresses;  // of listeners
Json endpoints = Json::array();
Json config;
std::string mixerAddress, configFile;
pid_t mixerPid = -1;
int exitStatus = -1;
Peer logPipe;

bool matches(const char* pattern, const char* text) {
  if (!*pattern) return !*text;
  if (*pattern == '*') return matches(pattern + 1, text) || (*text && matches(pattern, text + 1));
  return *pattern == *text && matches(pattern + 1, text + 1);
}
std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t k = 0; k < text.size(); ++k) {
    if (text[k] == '\\' && k + 1 < text.size()) {
      const char c = text[++k];
      out += c == 'n' ? '\n' : c == 'r' ? '\r' : c;
    } else if (text[k] == '$') {
      std::string name;
      while (k + 1 < text.size() && std::isalnum(static_cast<unsigned char>(text[k + 1]))) name += text[++k];
      check(addresses.contains(name), "no listener " + name);
      out += addresses[name];
    } else {
      out += text[k];
    }
  }
  return out;
}
sockaddr_in socketAddress(const std::string& text) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::size_t colon = text.find(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(std::uint16_t(std::stoi(text.substr(colon + 1))));
  return out;
}
// Binds to a loopback address that depends on the process id, so that scenarios can run in parallel.
std::string openListener(const std::string& name, bool listening) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int pid = getpid();
  sockaddr_in at = socketAddress("127." + std::to_string(64 + (pid >> 16) % 64) + "." +
                                 std::to_string((pid >> 8) % 256) + "." + std::to_string(pid % 256) + ":0");
  check(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0, "bind");
  if (listening) check(listen(fd, 64) == 0, "listen");
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  char host[32];
  inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  addresses[name] = std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
  peers[name].fd = fd;
  return addresses[name];
}
Peer& peer(const std::string& name) {
  check(peers.contains(name), "no connection " + name);
  return peers[name];
}
// Appends received bytes to p.in; returns false at the end of the stream.
bool readMore(Peer& p) {
  pollfd one{p.fd, POLLIN, 0};
  check(poll(&one, 1, 20'000) == 1, "nothing received within 20 s");
  char buffer[8192];
  const ssize_t n = read(p.fd, buffer, sizeof buffer);
  if (n <= 0) return false;
  p.in.append(buffer, std::size_t(n));
  return true;
}
HttpMessage readHttp(Peer& p, HttpParser& parser) {
  for (;;) {
    std::string_view in = p.in;
    const HttpParser::State state = parser.feed(in);
    p.in.erase(0, p.in.size() - in.size());
    check(state != HttpParser::State::malformed, "malformed HTTP");
    if (state == HttpParser::State::done) return parser.take();
    check(readMore(p), "the connection ended before a complete message");
  }
}
Frame readFrame(Peer& p) {
  Frame frame;
  for (;;) {
    p.frames.append(p.in);
    p.in.clear();
    const FrameReader::State state = p.frames.next(frame);
    check(state != FrameReader::State::malformed, "malformed frame");
    if (state == FrameReader::State::frame) return frame;
    check(readMore(p), "the connection ended before a complete frame");
  }
}

void configure(std::istringstream& words) {
  std::string change;
  while (words >> change) {
    const std::size_t equals = change.find('=');
    std::string path = "/" + change.substr(0, equals);
    std::replace(path.begin(), path.end(), '.', '/');
    config[Json::json_pointer(path)] = Json::parse(unescape(change.substr(equals + 1)));
  }
  std::ofstream(configFile) << config.dump();
}
void start(std::istringstream& words) {
  config = Json::parse(R"({"name":"n0","seed":"8c1f30d27a5be964","limits":{"sockets":1024},"settings":{
    "balancers":1,"discovery":"pushed","tick":5.0,"zones":["a","b"],"az":0,
    "categories":[{"name":"plain","aim":5000.0,"hardLimit":20000.0,"lateShare":0.5,"effect":"safe"},
      {"name":"keyed","aim":5000.0,"hardLimit":20000.0,"lateShare":0.5,"effect":"keyed","dedupWindow":5000.0},
      {"name":"plan","aim":5000.0,"hardLimit":20000.0,"lateShare":0.5,"effect":"safe"}],
    "familyInfo":{"positions":1,"ranges":8,"reach":1,"bundleMax":1,"needByClass":[1.0,1.0,1.0],
      "classFloor":[1.0,1.0,1.0],"followUp":[0,0,2]},
    "limits":{"cancel":true,"secondCopies":true,"maxAttempts":3,"maxOpen":100,"maxRetryAfter":500.0,
      "retryAfter":true,"connIdle":15000.0,"connectTimeout":5000.0,"maxStreams":100},
    "safety":{"drainGrace":1000.0}}})");
  config["known"] = {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}};
  openListener("M", false);
  mixerAddress = addresses["M"];
  close(peers["M"].fd);
  config["listen"] = mixerAddress;
  config["discovery"] = addresses["D"];
  configFile = "/tmp/scenario-" + std::to_string(getpid()) + ".json";
  configure(words);
  int pipes[2];
  check(pipe2(pipes, O_CLOEXEC) == 0, "pipe");
  mixerPid = fork();
  if (mixerPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the mixer ends when a failed scenario ends
    dup2(pipes[1], 2);
    setenv("BALANCER_CONFIG", configFile.c_str(), 1);
    execl(SCENARIO_PROGRAM, SCENARIO_PROGRAM, nullptr);
    _exit(127);
  }
  close(pipes[1]);
  logPipe.fd = pipes[0];
}
void connectClient(const std::string& name) {
  const sockaddr_in to = socketAddress(mixerAddress);
  for (int tries = 0; tries < 1000; ++tries) {  // until the mixer listens
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
      peers[name] = Peer{};
      peers[name].fd = fd;
      return;
    }
    close(fd);
    usleep(20'000);
  }
  check(false, "the mixer does not listen");
}
void sendText(Peer& p, const std::string& text) {
  check(send(p.fd, text.data(), text.size(), MSG_NOSIGNAL) == ssize_t(text.size()), "send");
}
// The arguments ID CLASS SECONDS SHARDS as a query; SHARDS is a list such as `0,3`. A query of the class
// `keyed` has the idempotency key K-ID.
std::string queryText(std::istringstream& words) {
  std::string id, cls, seconds, shards, one;
  words >> id >> cls >> seconds >> shards;
  Json parts = Json::array();
  const double n = double(std::count(shards.begin(), shards.end(), ',') + 1);
  for (std::istringstream list(shards); std::getline(list, one, ',');)
    parts.push_back({{"id", std::stoi(one)}, {"w", 1.0 / n}});
  const std::string body = Json{{"parts", parts}, {"expr", "text-" + id}}.dump();
  std::string out = "POST /api/user7 HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                    "\r\nX-Priority-Class: " + cls + "\r\nX-Timeout: " + seconds + "\r\n";
  if (cls == "keyed") out += "Idempotency-Key: K-" + id + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string restOfLine(std::istringstream& words) {
  std::string out;
  std::getline(words >> std::ws, out);
  return unescape(out);
}
void expectLog(const std::string& pattern) {
  for (;;) {
    std::size_t end;
    while ((end = logPipe.in.find('\n')) == std::string::npos)
      check(readMore(logPipe), "not in the log: " + pattern);
    const std::string line = logPipe.in.substr(0, end);
    logPipe.in.erase(0, end + 1);
    if (matches(pattern.c_str(), line.c_str())) return;
  }
}
void expectExit(int status) {
  for (int tries = 0; tries < 1000 && mixerPid > 0; ++tries) {
    int waitStatus = 0;
    if (waitpid(mixerPid, &waitStatus, WNOHANG) == mixerPid) {
      mixerPid = -1;
      exitStatus = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : 128 + WTERMSIG(waitStatus);
    }
    usleep(20'000);
  }
  check(exitStatus == status, "unexpected exit status " + std::to_string(exitStatus));
}

void runCommand(const std::string& line) {
  std::istringstream words(line);
  std::string command, name, what;
  if (!(words >> command) || command[0] == '#') return;
  if (command == "start") return start(words);
  if (command == "configure") return configure(words);
  words >> name;
  if (command == "wait") {
    usleep(useconds_t(std::stoi(name)) * 1000);
  } else if (command == "listen") {
    openListener(name, true);
  } else if (command == "leaf" || command == "absent") {
    int cell = 0;
    words >> cell;
    const std::string at = openListener(name, command == "leaf");
    endpoints.push_back({{"name", name},
                         {"address", at},
                         {"zone", "a"},
                         {"group", cell},
                         {"status", "Ready"},
                         {"since_ms", 0}});
  } else if (command == "connect") {
    connectClient(name);
  } else if (command == "accept") {
    words >> what;
    pollfd one{peer(what).fd, POLLIN, 0};
    check(poll(&one, 1, 20'000) == 1, "nobody connected to " + what);
    const int fd = accept4(peer(what).fd, nullptr, nullptr, SOCK_CLOEXEC);
    peers[name] = Peer{};
    peers[name].fd = fd;
  } else if (command == "signal") {
    kill(mixerPid, name == "TERM" ? SIGTERM : name == "HUP" ? SIGHUP : SIGUSR1);
  } else if (command == "close" || command == "reset") {
    const linger abortive{1, 0};  // close() resets the connection
    if (command == "reset") setsockopt(peer(name).fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    close(peer(name).fd);
    peers.erase(name);
  } else if (command == "send") {
    words >> what;
    std::string statusOrLetter;  // or the number of bytes
    if (what == "raw") return sendText(peer(name), restOfLine(words));
    if (what == "query") return sendText(peer(name), queryText(words));
    words >> statusOrLetter;
    if (what == "fill") return sendText(peer(name), std::string(std::stoul(statusOrLetter), 'x'));
    if (what == "frame") return sendText(peer(name), writeFrame(statusOrLetter[0], restOfLine(words)));
    check(what == "http", "unknown command: " + line);
    sendText(peer(name), writeResponse(std::stoi(statusOrLetter), "", restOfLine(words), false));
  } else if (command == "expect" && name == "log") {
    expectLog(restOfLine(words));
  } else if (command == "expect" && name == "exit") {
    expectExit(std::stoi(restOfLine(words)));
  } else {
    check(command == "expect", "unknown command: " + line);
    Peer& p = peer(name);
    std::string statusOrLetter, got;
    words >> what;
    if (what == "end") {
      check(p.in.empty() && !readMore(p), "expected the connection to end, received: " + p.in);
      return;
    }
    if (what != "request") words >> statusOrLetter;
    if (what == "frame") {
      const Frame frame = readFrame(p);
      got = frame.letter + std::string(" ") + frame.content;
    } else if (what == "request") {
      const HttpMessage m = readHttp(p, p.requests);
      got = m.method + " " + m.target;
    } else {
      check(what == "status", "unknown command: " + line);
      const HttpMessage m = readHttp(p, p.responses);
      got = std::to_string(m.status) + " ";
      for (const auto& [header, value] : m.headers) got += header + ": " + value + "; ";
      got += m.body;
    }
    const std::string pattern = (statusOrLetter.empty() ? "" : statusOrLetter + " ") + restOfLine(words);
    check(matches(pattern.c_str(), got.c_str()), "expected " + pattern + "\n  got " + got);
  }
}

}  // namespace

int main(int count, char** arguments) {
  assert(count == 2);
  std::signal(SIGPIPE, SIG_IGN);
  std::ifstream file(arguments[1]);
  std::string line;
  int lineNumber = 0;
  openListener("D", true);
  const std::string path = arguments[1];
  addresses["SCENARIOS"] = path.substr(0, path.rfind('/'));
  while (std::getline(file, line)) {
    currentLine = std::string(arguments[1]) + ":" + std::to_string(++lineNumber);
    runCommand(line);
  }
  check(lineNumber > 0, "the scenario file is missing or empty");
  if (mixerPid > 0) {  // the mixer must exit cleanly, without backstops or defects
    kill(mixerPid, SIGTERM);
    expectLog("counter backstops 0");
    expectLog("counter defects 0");
    expectExit(0);
  }
  unlink(configFile.c_str());
}
