// The read loop of a connection, for every front and the leaf sides.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <memory>
#include <utility>

#include "stream_socket.hpp"
#include "work_queue.hpp"

namespace cometdeal::net {

// Runs a step at once.
struct ImmediateWork {
  template <typename Connection, typename Continuation>
  void operator()(Connection&, const Continuation& next) const {
    Continuation copy(next);
    copy();
  }
};
// Runs a step when it is the turn of the connection, whose member `share` is a pointer to a WorkQueue::Share.
struct QueuedWork {
  WorkQueue* queue;
  template <typename Connection, typename Continuation>
  void operator()(Connection& c, const Continuation& next) const {
    queue->add(c.share, next);
  }
};

// `Connection` has the members `socket` (a pointer to a StreamSocket) and `closed`. `Step` reads and handles
// a bounded amount of what has come; it returns the status of the last read, and `ended` or `broken` if there
// is nothing more to read.
template <typename Connection, typename Step, typename Work>
struct ReadLoop : boost::asio::coroutine {
  std::shared_ptr<Connection> c;
  Step step;
  Work work;
  IoStatus status = IoStatus::done;
  ReadLoop(std::shared_ptr<Connection> connection, Step onReadable, Work when)
      : c(std::move(connection)), step(std::move(onReadable)), work(when) {}
  void operator()() {
    if (c->closed) return;
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        BOOST_ASIO_CORO_YIELD work(*c, *this);
        status = step(*c);
        if (c->closed || status == IoStatus::ended || status == IoStatus::broken) return;
        BOOST_ASIO_CORO_YIELD c->socket->resumeReading(status, *this);
      }
    }
  }
};

template <typename Connection, typename Step, typename Work = ImmediateWork>
void startReading(std::shared_ptr<Connection> connection, Step step, Work work = {}) {
  ReadLoop<Connection, Step, Work>(std::move(connection), std::move(step), work)();
}

}  // namespace cometdeal::net
