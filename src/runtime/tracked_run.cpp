#include "runtime/tracked_run.hpp"

namespace marblewharf::runtime {

recovery recovery_action_for(const tracked_run& run, bool stops_pause, bool may_run_twice) {
  switch (run.start) {
    case start_progress::not_sent: return recovery::none;
    case start_progress::delivered:
      return run.last_command_delivered ? recovery::none : recovery::repeat_stop;
    case start_progress::sent: break;
  }
  if (stops_pause) return recovery::probe;
  return may_run_twice && !run.stop_wanted ? recovery::restart : recovery::report_lost;
}

}  // namespace marblewharf::runtime
