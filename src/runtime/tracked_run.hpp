// What the link knows of one run at the runtime, and what a lost connection means for it. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/request.hpp"

namespace marblewharf::runtime {

// How far a run's start command is.
enum class start_progress { not_sent, sent, delivered };

// A request with the label of another one that is open.
struct label_rival {
  request_id id{};
  request what;
};

struct tracked_run {
  request_id id{};
  std::string label;
  unsigned request_class = 0;
  std::string payload;  // kept until the start is delivered
  start_progress start = start_progress::not_sent;
  // The gauge question whose answer shows that every command about this run has arrived.
  std::uint64_t fence = 0;
  bool stop_wanted = false;            // as the dispatcher last said ...
  bool stop_told = false;              // ... and as the runtime was last told
  bool last_command_delivered = true;  // of stop and continue
  // Paused only to learn whether the start arrived before the connection was lost.
  bool probing = false;
  std::vector<label_rival> rivals;  // until the runtime is known to run this one
};

using run_table = std::unordered_map<std::string, tracked_run>;  // by label

// What becomes of a run whose commands may have been lost with a connection. Known by then: each end before
// the reconnect.
enum class recovery {
  nothing,      // all commands have arrived, or none was sent
  probe,        // pause it: if it runs, the runtime says so and it goes on; if not, it is started
  start_again,  // it may run twice, which its effect allows
  give_up,      // it may have run, and may not run twice: stop it and report it lost
  repeat_stop,  // send the last stop or continue again
};

// `stops_pause`: a stop only pauses at this runtime. `may_run_twice`: the request's effect is safe.
//
// A start that may have arrived is never just sent again: the run may end at this moment, and would begin
// anew.
recovery recovery_of(const tracked_run& run, bool stops_pause, bool may_run_twice);

}  // namespace marblewharf::runtime
