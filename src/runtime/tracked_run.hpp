// The state of one run at the runtime as seen by the link, and the recovery of the run after a lost
// connection. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/request.hpp"
#include "outcome/effect.hpp"

namespace marblewharf::runtime {

// A request whose label is already used by another open request.
struct conflicting_request {
  request_id id{};
  request details;
};

struct tracked_run {
  request_id id{};
  std::string label;
  unsigned request_class = 0;
  std::string payload;  // kept until the start command is confirmed
  outcome::effect effect;
  // The gauge query whose answer confirms that all commands for this run have arrived.
  std::uint64_t fence = 0;
  bool stop_wanted = false;            // last request of the dispatcher: true = stop, false = continue
  bool stop_sent = false;              // last command sent to the runtime: true = stop, false = continue
  bool last_command_delivered = true;  // whether the last stop or continue has arrived
  // A stop was sent only to find out whether the start arrived before the connection was lost.
  bool probing = false;
  bool restart_wanted = false;  // a start that may not have arrived is to be sent again once the link is up
  std::vector<conflicting_request> conflicting_requests;  // kept until the start of this run is confirmed
};

using run_table = std::unordered_map<std::string, tracked_run>;  // by label

// How to recover a run whose commands may have been lost with a connection. The action is chosen once all
// ends before the reconnect are known.
enum class recovery {
  none,         // all commands have arrived, or none was sent
  probe,        // send a stop: if it pauses the run, the start has arrived, and the run is continued
  restart,      // send the start again: the run may execute twice, which its effect allows
  report_lost,  // the run may have started and must not execute twice: stop it and report it lost
  repeat_stop,  // send the last stop or continue again
};

// `stops_pause`: a stop command pauses a run at this runtime and does not abort it. `may_run_twice`: the
// effect of the request is safe to repeat.
//
// With `stops_pause`, a start that may have arrived is probed instead of sent again: the run may be ending at
// this moment, and a second start would execute it again.
recovery recovery_action_for(const tracked_run& run, bool stops_pause, bool may_run_twice);

// What to do if the runtime has executed a stop of a run with an unknown effect and has reported nothing.
// Either the run never started, or the stop had no effect, because the cores stand still.
enum class unconfirmed_action {
  start_again,     // the run may execute twice, which its effect allows
  wait_for_event,  // the run may still end in time
  report_lost,     // nobody waits for the run any longer, and its end may never be reported
};
unconfirmed_action action_after_silence(const tracked_run& run, bool may_run_twice);

}  // namespace marblewharf::runtime
