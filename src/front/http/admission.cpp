#include "admission.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

using Standing = Admission::Standing;

// A connection that has sent a query does not give way while more than 1/kFreshDivisor of the connections,
// and more than kMinFresh, are within the grace of new ones.
constexpr int kFreshDivisor = 8, kMinFresh = 2;
constexpr int kCandidatesOfAKind = 4;

// The crowd is over when fewer than all but 1/kFreeDivisor of the connections are left.
constexpr int kFreeDivisor = 8;

}  // namespace

void Admission::update(Handle connection, Place& place, Standing standing, Micros since) {
  if (place.standing == standing && place.since == since) return;
  if (place.standing != Standing::busy) orders_[std::size_t(place.standing)].remove(place.since, connection);
  place = {standing, since};
  if (standing != Standing::busy) orders_[std::size_t(standing)].add(since, connection);
}

Micros Admission::graceOf(Standing standing, Micros now) const {
  Micros grace = 0;
  if (standing == Standing::fresh) grace = kNewConnectionGrace;
  if (standing == Standing::partial || standing == Standing::partialQueried) grace = kPartialRequestGrace;
  if (!crowdedSince_) return grace;
  const Micros shrinking = std::min(now - *crowdedSince_, kShorteningTime);
  return grace - (grace - grace / kMaxShortening) * shrinking / kShorteningTime;
}

void Admission::onNewClient(int connections, bool accepted, Micros now) {
  if (!accepted && !crowdedSince_) crowdedSince_ = now;
  if (connections < maxConnections_ - maxConnections_ / kFreeDivisor) crowdedSince_.reset();
}

bool Admission::manyFresh(Micros now) const {
  const int bound = std::max(kMinFresh, maxConnections_ / kFreshDivisor);
  const TimeOrder& fresh = order(Standing::fresh);
  int count = 0;
  for (auto newest = fresh.end(); newest != fresh.begin() && count <= bound; ++count)
    if (now - (--newest)->at >= graceOf(Standing::fresh, now)) break;
  return count > bound;
}

std::vector<Handle> Admission::candidates(Micros now) const {
  std::vector<Handle> out;
  const bool keepQueried = manyFresh(now);
  for (std::size_t kind = 0; kind < orders_.size(); ++kind) {
    const auto standing = Standing(kind);
    if (keepQueried && (standing == Standing::partialQueried || standing == Standing::idleQueried)) continue;
    int count = 0;
    for (const TimeOrder::Entry& entry : orders_[kind]) {
      if (now - entry.at < graceOf(standing, now) || count++ == kCandidatesOfAKind) break;
      out.push_back(entry.handle);
    }
  }
  return out;
}

std::optional<Handle> Admission::longestIdleAfterQuery() const {
  const auto oldest = order(Standing::idleQueried).oldest();
  return oldest ? std::optional(oldest->handle) : std::nullopt;
}

}  // namespace cometdeal::net
