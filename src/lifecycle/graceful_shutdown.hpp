// What a node that was told to leave does when: from the notice (SIGTERM) to the end of the process.
//
// Free of I/O; the caller hands in the time. Not thread-safe: owned by the reactor's thread.
#pragma once

#include <chrono>
#include <optional>

#include "config/limits.hpp"

namespace marblewharf::lifecycle {

class graceful_shutdown {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock

  // How far the connections of all fronts are.
  struct progress {
    bool empty = false;  // none stands, and nothing that was begun for them goes on
    bool ended = false;  // each that stands was ended: nothing that comes on it is taken any more
  };

  // `noticed` at that time; with a successor the clients are asked to go at once, else as late as may be.
  graceful_shutdown(time_point noticed, bool successor_takes_clients, const limits& bounds);

  // From now on nobody is let in, and callers are asked to close their connections.
  bool asks_callers_to_go(time_point now) const;
  // From now on the node itself ends what stands, each connection once nothing is owed on it.
  bool ends_connections(time_point now);
  // The process ends. Only once every connection is ended or the time is up: what the reactor's last round
  // read of a connection that was not ended would get no answer.
  bool is_over(time_point now, progress connections) const;

 private:
  const limits& bounds_;
  time_point stops_at_;  // the kill comes then
  bool successor_takes_clients_;
  std::optional<time_point> ending_since_;
};

}  // namespace marblewharf::lifecycle
