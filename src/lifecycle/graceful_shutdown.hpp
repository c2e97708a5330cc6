// Schedule of the shutdown phases from the shutdown notice (SIGTERM) to the end of the process.
//
// Performs no I/O; the caller passes the current time and carries out the phases. Not thread-safe: owned by
// the reactor's thread. The process is killed `limits::shutdown_duration` after the notice. The other times
// are counted back from the kill:
//
//   phase     begins                                          what happens
//   serving   at the notice                                   the node serves as before the notice
//   draining  `ask_to_close_before_kill` before the kill, or  the node accepts no connections and asks
//             at the notice if a successor accepts            callers to close theirs
//             connections
//   closing   `close_before_kill` before the kill             the node ends connections that are still open
//   complete  in phase draining or closing, when every        the process ends
//             connection is closed; in phase closing, from
//             `exit_before_kill` before the kill on, also
//             when every connection is ended
//
// The process ends at the latest `late_answer_time` after the later of two times: `exit_before_kill` before
// the kill, and the first check of the phase closing.
#pragma once

#include <chrono>
#include <optional>

#include "config/limits.hpp"

namespace marblewharf::lifecycle {

// Progress in closing the connections of all fronts.
struct connection_progress {
  bool all_closed = false;  // no connection is open, and no work for a client is in progress
  bool all_ended = false;   // the node has ended each open connection and reads no more requests from it
};

class graceful_shutdown {
 public:
  using time_point = std::chrono::nanoseconds;  // steady clock

  // `notice_time`: when the shutdown notice arrived. `successor_accepts`: whether a successor process accepts
  // connections on the same address. `bounds` outlives this object.
  graceful_shutdown(time_point notice_time, bool successor_accepts, const limits& bounds);

  // Whether the node accepts no connections and asks callers to close theirs.
  bool drains_connections(time_point now) const;
  // Whether the node ends each connection on which no answer is pending. Records when this first became true.
  bool closes_connections(time_point now);
  // Whether the process ends now. The process waits until every connection is ended, because a request that
  // the reactor's last round reads from a connection that is not ended would get no answer.
  bool is_complete(time_point now, connection_progress progress) const;

 private:
  const limits& bounds_;
  time_point kill_at_;
  bool successor_accepts_;
  std::optional<time_point> closing_since_;
};

}  // namespace marblewharf::lifecycle
