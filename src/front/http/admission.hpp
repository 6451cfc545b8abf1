// Decides which client connection gives way at the limit on connections: who asks nothing, or not to the end,
// gives way after its grace to those who ask. Costs do not grow with the number of connections. No I/O.
#pragma once

#include <array>
#include <cometdeal/aggregator.hpp>
#include <vector>

#include "core/slot_table.hpp"
#include "core/time_order.hpp"

namespace cometdeal::net {

class Admission {
 public:
  // At the limit, a connection with an incomplete request gives way once the request is older than this.
  static constexpr Micros kPartialRequestGrace = 300'000;
  // A new connection does not give way within this time: otherwise each new connection would cause the
  // previous one to be closed before its request is read.
  static constexpr Micros kNewConnectionGrace = 250'000;

  // While clients wait at the limit the graces shrink, to 1/kMaxShortening over kShorteningTime, so that who
  // waits behind a crowd does not wait for as many graces as the crowd is larger than the limit.
  static constexpr Micros kShorteningTime = 1'000'000;
  static constexpr int kMaxShortening = 3;

  // In the order in which connections give way.
  enum class Standing {
    closing,         // its last response has been queued
    idle,            // has asked, but nothing except /up
    fresh,           // has not asked yet
    partial,         // a request has begun, the first one or after nothing but /up
    partialQueried,  // a request has begun, after a query
    idleQueried,     // idle after a query
    busy,            // owed an answer: does not give way
  };
  // Where a connection stands, and since when. Kept by its owner, changed by update() and remove() only.
  struct Place {
    Standing standing = Standing::busy;
    Micros since = 0;
  };

  explicit Admission(int maxConnections) : maxConnections_(maxConnections) {}

  void update(Handle connection, Place& place, Standing standing, Micros since);
  void remove(Handle connection, Place& place) { update(connection, place, Standing::busy, 0); }

  // Connections that may give way now, in order; a few of each kind, for those that turn out not to be
  // closable.
  std::vector<Handle> candidates(Micros now) const;
  // For how long a connection that stands so does not give way.
  Micros graceOf(Standing standing, Micros now) const;
  // To be called when a new client is looked at. `connections`: their number before it; `accepted`: there is
  // room for it.
  void onNewClient(int connections, bool accepted, Micros now);
  std::size_t idleAfterQuery() const { return order(Standing::idleQueried).size(); }
  std::optional<Handle> longestIdleAfterQuery() const;

 private:
  const TimeOrder& order(Standing standing) const { return orders_[std::size_t(standing)]; }
  // Whether clients that have sent a query are kept for now, because many new connections may turn out to ask
  // nothing.
  bool manyFresh(Micros now) const;

  int maxConnections_;
  std::optional<Micros>
      crowdedSince_;  // a client has waited, and the connections have been near the limit since
  std::array<TimeOrder, std::size_t(Standing::busy)> orders_;
};

}  // namespace cometdeal::net
