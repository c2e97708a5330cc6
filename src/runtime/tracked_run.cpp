#include "runtime/tracked_run.hpp"

namespace marblewharf::runtime {

recovery recovery_of(const tracked_run& run, bool stops_pause, bool may_run_twice) {
  switch (run.start) {
    case start_progress::not_sent: return recovery::nothing;
    case start_progress::delivered:
      return run.last_command_delivered ? recovery::nothing : recovery::repeat_stop;
    case start_progress::sent: break;
  }
  if (stops_pause) return recovery::probe;
  return may_run_twice && !run.stop_wanted ? recovery::start_again : recovery::give_up;
}

}  // namespace marblewharf::runtime
