// When a node does what between its shutdown notice (SIGTERM) and the end of the process.
//
// Free of I/O; the caller passes the time in and acts on what is due. Not thread-safe: owned by the reactor's
// thread. The process is killed `limits::stop` after the notice; each phase begins at a time before the kill:
//
//   phase     begins                                          what happens
//   serving   at the notice                                   as before it
//   draining  `leave_early` before the kill, or at the        no connection is accepted, callers are asked to
//             notice where a successor takes the clients      close theirs
//   closing   `end_early` before the kill                     the node closes what stands
//   complete  while draining or closing, once every           the process ends
//             connection is closed; while closing, from
//             `exit_early` before the kill on, once every
//             connection is ended, or `last_rounds` later
#pragma once

#include <chrono>
#include <optional>

#include "config/limits.hpp"

namespace marblewharf::lifecycle {

// How far the connections of all fronts are.
struct connection_progress {
  bool all_closed = false;  // none is open, and nothing that was begun for one goes on
  bool all_ended = false;   // the node has ended each open one: nothing that comes on it is read any more
};

class graceful_shutdown {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock

  // `noticed`: when the notice came. `bounds` outlives this object.
  graceful_shutdown(time_point noticed, bool successor_takes_clients, const limits& bounds);

  // Whether no connection is accepted and callers are asked to close theirs.
  bool drains_connections(time_point now) const;
  // Whether the node itself ends each connection once nothing is owed on it. Notes when that began.
  bool closes_connections(time_point now);
  // Whether the process ends. A request that the reactor's last round read from a connection that was not
  // ended would get no answer, hence the wait for every connection.
  bool is_complete(time_point now, connection_progress progress) const;

 private:
  const limits& bounds_;
  time_point kill_at_;
  bool successor_takes_clients_;
  std::optional<time_point> closing_since_;
};

}  // namespace marblewharf::lifecycle
