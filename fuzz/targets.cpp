#include "targets.hpp"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "admin/calls.hpp"
#include "config/config.hpp"
#include "core/retune.hpp"
#include "front/http/clients.hpp"
#include "http/http.hpp"
#include "leaf/frame/frame.hpp"

namespace cometdeal::fuzz {
namespace {

using namespace net;

void must(bool good, const char* what) {
  if (good) return;
  std::fprintf(stderr, "broken: %s\n", what);
  std::abort();
}

// All messages of a stream, as text, then how it ended.
std::vector<std::string> messages(HttpParser::Kind kind, std::string_view bytes, std::size_t piece) {
  std::vector<std::string> out;
  HttpParser parser(kind);
  while (!bytes.empty()) {
    std::string_view in = bytes.substr(0, piece);
    bytes.remove_prefix(in.size());
    while (!in.empty()) {
      const std::size_t before = in.size();
      const HttpParser::State state = parser.feed(in);
      must(in.size() <= before, "a parser gives back more than it got");
      if (state == HttpParser::State::bad) {
        out.push_back("bad " + std::to_string(parser.errorStatus()));
        must(parser.errorStatus() >= 400 && parser.errorStatus() < 600, "an error without a status");
        return out;
      }
      if (state == HttpParser::State::more) {
        must(in.empty(), "a parser wants more and leaves some");
        break;
      }
      const HttpMessage m = parser.take();
      must(m.body.size() <= 64UL * 1024, "a body over the bound");
      out.push_back(m.method + " " + m.target + " " + std::to_string(m.status) + " " + m.body);
    }
  }
  return out;
}

std::vector<std::string> frames(std::string_view bytes, std::size_t piece) {
  std::vector<std::string> out;
  FrameReader reader;
  while (!bytes.empty()) {
    reader.append(bytes.substr(0, piece));
    bytes.remove_prefix(std::min(piece, bytes.size()));
    for (;;) {
      Frame f;
      const FrameReader::State state = reader.next(f);
      if (state == FrameReader::State::more) break;
      if (state == FrameReader::State::bad) {
        out.emplace_back("bad");
        return out;
      }
      out.push_back(f.letter + f.rest);
      if (const auto answer = readAnswer(f)) {
        must(!answer->id.empty(), "an answer without an id");
        must(answer->value.size() < f.rest.size(), "a value longer than its frame");
      }
    }
    must(reader.held().size() <= 65UL * 1024 + 4, "more is held than a frame can have");
  }
  return out;
}

}  // namespace

void http(std::string_view bytes) {
  for (const auto kind : {HttpParser::Kind::request, HttpParser::Kind::response}) {
    const auto whole = messages(kind, bytes, bytes.size() + 1);
    must(whole == messages(kind, bytes, 1) && whole == messages(kind, bytes, 7), "pieces make a difference");
  }
}

void frame(std::string_view bytes) {
  const auto whole = frames(bytes, bytes.size() + 1);
  must(whole == frames(bytes, 3), "pieces make a difference");
}

void list(std::string_view bytes) {
  const auto body = nlohmann::json::parse(bytes, nullptr, false);
  if (!body.is_object()) return;
  try {
    for (const LeafEntry& entry : readList(body, {"a", "b"}).entries) {
      must(!entry.name.empty(), "a leaf server without a name");
      must(entry.state == ServerState::gone || entry.address.port != 0, "a leaf server without an address");
      must(entry.zone >= 0 && entry.zone <= 2, "a zone out of range");
    }
  } catch (const BadConfig&) {  // the one way to say no
  }
}

// A call at the second address: in pieces or at once, it has the same reply, and always one.
void call(std::string_view bytes) {
  const auto read = [&](std::size_t piece) -> std::optional<std::string> {
    CallReader reader;
    for (std::string_view left = bytes; !left.empty(); left.remove_prefix(std::min(piece, left.size())))
      if (const auto whole = reader.feed(left.substr(0, piece))) return whole;
    must(reader.held().size() <= kCallMost + 1, "an unbounded call");
    return std::nullopt;
  };
  const auto whole = read(bytes.size());
  must(read(1) == whole && read(7) == whole, "a call depends on its pieces");
  if (!whole) return;
  Counters counters;
  const std::string reply = answerCall(*whole, {}, counters);
  must(reply.ends_with('\n') && (reply[0] == '{' || reply.starts_with("-ERR ") || reply.starts_with("+OK ")),
       "a reply out of form");
  must(reply.size() < 1000, "a reply that echoes without bound");
}

// A configuration: an error or one that a mixer can serve by, as it starts and as it is read again.
void config(std::string_view bytes) {
  const auto body = nlohmann::json::parse(bytes, nullptr, false);
  if (!body.is_object()) return;
  Config read;
  try {
    read = readConfig(body);
  } catch (const BadConfig&) {
    return;
  }
  must(!read.settings.classes.empty() && read.host.shards > 0, "nothing to serve");
  must(read.host.classNames.size() == read.settings.classes.size(), "classes without a name");
  for (const ClassSettings& cls : read.settings.classes)
    must(cls.aim > 0 && cls.deadline > 0, "a deadline that is none");
  must(!read.settings.maxAttempts || *read.settings.maxAttempts >= 1, "no attempt allowed");
  // Changed to and fro with a query under way in each place: every class is found by its name.
  Settings set = read.settings;
  HostSettings host = read.host;
  for (int k = 0; k < 3; ++k) {
    Settings next = read.settings;
    next.classes[0].aim += k % 2;
    const Retune out = retune(
        set, host, next, read.host, [k](int) { return k == 1; }, 1000 + k);
    set = out.settings, host = out.host;
    must(out.from.size() == set.classes.size() && host.classNames.size() == set.classes.size(),
         "places differ");
    for (std::size_t c = 0; c < next.classes.size(); ++c) {
      const int place = host.classOf(read.host.classNames[c], 1000 + k);
      must(place >= 0 && set.classes[std::size_t(place)] == next.classes[c], "a class that is not as told");
    }
  }
}

void query(std::string_view bytes) {
  HostSettings host;
  host.classNames = {"plain", "keyed"};
  host.classKeyed = {false, true};
  host.shards = 8;
  HttpMessage m;
  m.method = "POST";
  m.target = "/api/user";
  m.headers = {{"x-request-id", "r"}, {"x-priority-class", "plain"}, {"x-timeout", "1.5"}};
  m.body = bytes;
  const ReadQuery read = readQuery(m, host, 0);
  if (read.status != 0) return must(read.status >= 400 && read.status < 500, "an error that is no client's");
  must(!read.query.parts.empty() && read.query.parts.size() <= 8, "parts out of range");
  std::set<int> seen;
  double sum = 0;
  for (const QueryPart& part : read.query.parts) {
    must(part.shard >= 0 && part.shard < 8 && seen.insert(part.shard).second,
         "a shard that is none, or twice");
    must(part.weight > 0, "a weight that is none");
    sum += part.weight;
  }
  must(sum > 0.98 && sum < 1.02, "weights that do not add up");
}

Target target(std::string_view name) {
  return name == "http"     ? http
         : name == "frame"  ? frame
         : name == "list"   ? list
         : name == "query"  ? query
         : name == "call"   ? call
         : name == "config" ? config
                            : nullptr;
}

}  // namespace cometdeal::fuzz
