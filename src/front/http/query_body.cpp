#include "query_body.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace cometdeal::net {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kNotAnObject = "the body is not a JSON object";
// Values that a body may have: kValuesPerPart for each shard, which includes what a client adds to a part,
// and kOtherValues.
constexpr int kValuesPerPart = 16, kOtherValues = 1024;
constexpr double kMaxWeight = 1.001;  // clients round the weights
constexpr double kMaxHintMicros = 1e12;
constexpr std::size_t kTagDigits = 16;

// One value that is neither an object nor an array.
struct Scalar {
  enum class Kind { integer, fraction, text, other };
  Kind kind = Kind::other;
  double number = 0;
  std::string* text = nullptr;
  bool isNumber() const { return kind == Kind::integer || kind == Kind::fraction; }
};

bool isTag(const Scalar& value) {
  return value.kind == Scalar::Kind::text && value.text->size() == kTagDigits &&
         std::ranges::all_of(*value.text, [](unsigned char c) { return std::isxdigit(c); });
}

// Takes the values as the parser meets them. Of a key that stands twice the last value counts.
class BodyHandler : public nlohmann::json_sax<Json> {
 public:
  explicit BodyHandler(int shards) : shards_(shards), valuesLeft_(kOtherValues + kValuesPerPart * shards) {}

  QueryBodyResult result() {
    if (!error_ && !textSeen_) fail("expr is missing or not text");
    if (!error_ && body_.parts.empty()) fail("parts are missing");
    return {std::move(body_), std::move(error_)};
  }

  bool null() override { return scalar({}); }
  bool boolean(bool) override { return scalar({}); }
  bool number_integer(number_integer_t value) override {
    return scalar({Scalar::Kind::integer, double(value), nullptr});
  }
  bool number_unsigned(number_unsigned_t value) override {
    return scalar({Scalar::Kind::integer, double(value), nullptr});
  }
  bool number_float(number_float_t value, const string_t&) override {
    return scalar({Scalar::Kind::fraction, value, nullptr});
  }
  bool string(string_t& value) override { return scalar({Scalar::Kind::text, 0, &value}); }
  bool binary(binary_t&) override { return scalar({}); }

  bool start_object(std::size_t) override {
    if (!beginValue()) return false;
    if (depth_ == kInParts) part_ = Part();
    return isPartField() ? partField({}) && descend() : descend();
  }
  bool start_array(std::size_t) override {
    if (depth_ == 0) return fail(kNotAnObject);
    if (!beginValue()) return false;
    if (inParts_ && depth_ == kInParts) return fail("a part is not an object");
    if (depth_ == kInRoot && rootKey_ == RootKey::parts) inParts_ = true;
    return isPartField() ? partField({}) && descend() : descend();
  }
  bool key(string_t& name) override {
    if (depth_ == kInRoot) {
      rootKey_ = name == "expr" ? RootKey::text : name == "parts" ? RootKey::parts : RootKey::other;
      body_.hasPlan = body_.hasPlan || name == "phases";
    }
    if (inParts_ && depth_ == kInPart)
      partKey_ = name == "id"     ? PartKey::shard
                 : name == "w"    ? PartKey::weight
                 : name == "hint" ? PartKey::hint
                 : name == "tag"  ? PartKey::tag
                                  : PartKey::other;
    return true;
  }
  bool end_object() override {
    --depth_;
    return !(inParts_ && depth_ == kInParts) || endPart();
  }
  bool end_array() override {
    --depth_;
    if (depth_ == kInRoot) inParts_ = false;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return fail(kNotAnObject);
  }

 private:
  enum class RootKey { text, parts, other };
  enum class PartKey { shard, weight, hint, tag, other };
  struct Part {
    std::optional<double> shard, weight;
  };
  // Depths: the values of the body, the parts, the values of a part.
  static constexpr int kInRoot = 1, kInParts = 2, kInPart = 3;

  bool fail(std::string_view what) {
    if (!error_) error_ = what;
    return false;
  }
  bool descend() {
    if (++depth_ <= kMaxBodyDepth) return true;
    return fail("the body is over " + std::to_string(kMaxBodyDepth) + " levels deep");
  }

  // A value of any kind begins.
  bool beginValue() {
    if (--valuesLeft_ < 0)
      return fail("the body has too many values for a query to " + std::to_string(shards_) + " shards");
    if (depth_ == kInRoot && rootKey_ == RootKey::text) textSeen_ = false;
    if (depth_ == kInRoot && rootKey_ == RootKey::parts) {
      body_.parts.clear();
      shardSeen_.assign(std::size_t(shards_), false);
    }
    return true;
  }
  bool isPartField() const { return inParts_ && depth_ == kInPart; }

  bool scalar(const Scalar& value) {
    if (depth_ == 0) return fail(kNotAnObject);
    if (!beginValue()) return false;
    if (depth_ == kInRoot && rootKey_ == RootKey::text && value.kind == Scalar::Kind::text) {
      body_.text = std::move(*value.text);
      return textSeen_ = true;
    }
    if (inParts_ && depth_ == kInParts) return fail("a part is not an object");
    return !isPartField() || partField(value);
  }
  // A field of a part; an object or array is passed as a value of kind `other`.
  bool partField(const Scalar& value);
  bool endPart();

  int shards_;
  int valuesLeft_;
  int depth_ = 0;
  RootKey rootKey_ = RootKey::other;
  PartKey partKey_ = PartKey::other;
  bool inParts_ = false, textSeen_ = false;
  Part part_;
  std::vector<bool> shardSeen_;
  QueryBody body_;
  std::optional<std::string> error_;
};

bool BodyHandler::partField(const Scalar& value) {
  switch (partKey_) {
    case PartKey::shard:
      if (value.kind != Scalar::Kind::integer) return fail("a part has no shard");
      if (!(value.number >= 0 && value.number < shards_)) return fail("no such shard");
      part_.shard = value.number;
      return true;
    case PartKey::weight:
      if (!value.isNumber()) return fail("a part has no weight");
      if (!(value.number > 0 && value.number <= kMaxWeight)) return fail("a part's weight is no share");
      part_.weight = value.number;
      return true;
    case PartKey::hint:
      if (!value.isNumber() || !(value.number >= 0 && value.number <= kMaxHintMicros))
        return fail("a part's hint is no time");
      return true;
    case PartKey::tag:
      return isTag(value) || fail("a part's tag is not 16 hex digits");
    case PartKey::other:
      return true;
  }
  return true;
}

bool BodyHandler::endPart() {
  if (!part_.shard) return fail("a part has no shard");
  if (!part_.weight) return fail("a part has no weight");
  const auto shard = std::size_t(*part_.shard);
  if (shardSeen_[shard]) return fail("a part is named twice");
  shardSeen_[shard] = true;
  body_.parts.push_back({int(shard), *part_.weight});
  return true;
}

}  // namespace

QueryBodyResult readQueryBody(std::string_view bytes, int shards) {
  BodyHandler handler(shards);
  Json::sax_parse(bytes.begin(), bytes.end(), &handler);
  return handler.result();
}

}  // namespace cometdeal::net
