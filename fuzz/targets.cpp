#include "targets.hpp"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "admin/calls.hpp"
#include "config/config.hpp"
#include "core/settings_change.hpp"
#include "front/http/query.hpp"
#include "http/http.hpp"
#include "leaf/frame/frame.hpp"

namespace cometdeal::fuzz {
namespace {

using namespace net;

// Aborts with the text `violation` if `holds` is false.
void require(bool holds, const char* violation) {
  if (holds) return;
  std::fprintf(stderr, "invariant violated: %s\n", violation);
  std::abort();
}

// Feeds `bytes` in pieces of `pieceSize`. Returns the messages as text, and the error if there was one.
std::vector<std::string> messages(HttpParser::Kind kind, std::string_view bytes, std::size_t pieceSize) {
  std::vector<std::string> out;
  HttpParser parser(kind);
  while (!bytes.empty()) {
    std::string_view in = bytes.substr(0, pieceSize);
    bytes.remove_prefix(in.size());
    while (!in.empty()) {
      const std::size_t before = in.size();
      const HttpParser::State state = parser.feed(in);
      require(in.size() <= before, "the HTTP parser returns more bytes than it was given");
      if (state == HttpParser::State::malformed) {
        out.push_back("bad " + std::to_string(parser.errorStatus()));
        require(parser.errorStatus() >= 400 && parser.errorStatus() < 600,
                "an HTTP error without an error status");
        return out;
      }
      if (state == HttpParser::State::needMore) {
        require(in.empty(), "the HTTP parser needs more bytes but did not use all");
        break;
      }
      const HttpMessage m = parser.take();
      require(m.body.size() <= 64UL * 1024, "an HTTP body over 64 KiB");
      out.push_back(m.method + " " + m.target + " " + std::to_string(m.status) + " " + m.body);
    }
  }
  return out;
}

// Feeds `bytes` to a FrameReader in pieces of `pieceSize`. Returns the frames as text, and "bad" at an error.
std::vector<std::string> frames(std::string_view bytes, std::size_t pieceSize) {
  std::vector<std::string> out;
  FrameReader reader;
  while (!bytes.empty()) {
    reader.append(bytes.substr(0, pieceSize));
    bytes.remove_prefix(std::min(pieceSize, bytes.size()));
    for (;;) {
      Frame f;
      const FrameReader::State state = reader.next(f);
      if (state == FrameReader::State::needMore) break;
      if (state == FrameReader::State::malformed) {
        out.emplace_back("bad");
        return out;
      }
      out.push_back(f.letter + f.content);
      if (const auto answer = readAnswer(f)) {
        require(!answer->id.empty(), "an answer without an id");
        require(answer->value.size() < f.content.size(), "a value longer than its frame");
      }
    }
    require(reader.unread().size() <= 65UL * 1024 + 4,
            "the frame reader buffers more than a frame's maximum size");
  }
  return out;
}

}  // namespace

void http(std::string_view bytes) {
  for (const auto kind : {HttpParser::Kind::request, HttpParser::Kind::response}) {
    const auto unsplit = messages(kind, bytes, bytes.size() + 1);
    require(unsplit == messages(kind, bytes, 1) && unsplit == messages(kind, bytes, 7),
            "the messages depend on how the bytes are split");
  }
}

void frame(std::string_view bytes) {
  const auto unsplit = frames(bytes, bytes.size() + 1);
  require(unsplit == frames(bytes, 3), "the frames depend on how the bytes are split");
}

void list(std::string_view bytes) {
  const auto body = nlohmann::json::parse(bytes, nullptr, false);
  if (!body.is_object()) return;
  try {
    for (const LeafEntry& entry : readList(body, {"a", "b"}).entries) {
      require(!entry.name.empty(), "a leaf server without a name");
      require(entry.state == ServerState::gone || entry.address.port != 0,
              "a leaf server without an address");
      require(entry.zone >= 0 && entry.zone <= 2, "a zone out of range");
    }
  } catch (const ConfigError&) {  // the only way to reject a list
  }
}

void call(std::string_view bytes) {
  const auto read = [&](std::size_t pieceSize) -> std::optional<std::string> {
    CommandReader reader;
    for (std::string_view left = bytes; !left.empty(); left.remove_prefix(std::min(pieceSize, left.size())))
      if (const auto complete = reader.feed(left.substr(0, pieceSize))) return complete;
    require(reader.partial().size() <= kMaxCommandBytes + 1,
            "the command reader buffers more than a command's maximum size");
    return std::nullopt;
  };
  const auto unsplit = read(bytes.size());
  require(read(1) == unsplit && read(7) == unsplit, "the command depends on how the bytes are split");
  if (!unsplit) return;
  Counters counters;
  const std::string reply = answerCommand(*unsplit, {}, counters);
  require(
      reply.ends_with('\n') && (reply[0] == '{' || reply.starts_with("-ERR ") || reply.starts_with("+OK ")),
      "a malformed reply");
  require(reply.size() < 1000, "a reply of 1000 bytes or more");
}

void config(std::string_view bytes) {
  const auto body = nlohmann::json::parse(bytes, nullptr, false);
  if (!body.is_object()) return;
  Config read;
  try {
    read = readConfig(body);
  } catch (const ConfigError&) {
    return;
  }
  require(!read.settings.classes.empty() && read.host.shards > 0,
          "a configuration without classes or shards");
  require(read.host.classNames.size() == read.settings.classes.size(), "a class without a name");
  for (const ClassSettings& cls : read.settings.classes)
    require(cls.aim > 0 && cls.deadline > 0, "an aim or a deadline that is not positive");
  require(!read.settings.maxAttempts || *read.settings.maxAttempts >= 1, "no attempt allowed");
  // Apply alternating settings while class index 1 has open queries: every class must be found by its name
  // and must have its new settings.
  Settings set = read.settings;
  HostSettings host = read.host;
  for (int k = 0; k < 3; ++k) {
    Settings next = read.settings;
    next.classes[0].aim += k % 2;
    const SettingsChange out = planSettingsChange(
        set, host, next, read.host, [k](int) { return k == 1; }, 1000 + k);
    set = out.settings, host = out.host;
    require(out.inheritFrom.size() == set.classes.size() && host.classNames.size() == set.classes.size(),
            "the lists of classes differ in size");
    for (std::size_t c = 0; c < next.classes.size(); ++c) {
      const int index = host.classIndex(read.host.classNames[c], 1000 + k);
      require(index >= 0 && set.classes[std::size_t(index)] == next.classes[c],
              "a class without its new settings");
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
  const ParsedQuery read = parseQuery(m, host, 0);
  if (read.status != 0)
    return require(read.status >= 400 && read.status < 500, "a status other than 4xx for a bad request");
  require(!read.query.parts.empty() && read.query.parts.size() <= 8, "a query with no part or more than 8");
  std::set<int> seen;
  double sum = 0;
  for (const QueryPart& part : read.query.parts) {
    require(part.shard >= 0 && part.shard < 8 && seen.insert(part.shard).second,
            "a shard out of range or listed twice");
    require(part.weight > 0, "a weight that is not positive");
    sum += part.weight;
  }
  require(sum > 0.98 && sum < 1.02, "weights that do not add up to 1");
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
