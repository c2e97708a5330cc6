#include "runtime/tracked_run.hpp"

namespace marblewharf::runtime {

recovery recovery_action_for(const tracked_run& run, bool stops_pause, bool may_run_twice) {
  switch (run.effect.state()) {
    case outcome::effect_state::not_started:
    case outcome::effect_state::completed:
    case outcome::effect_state::failed_before_effect: return recovery::none;
    case outcome::effect_state::running:
      return run.last_command_delivered ? recovery::none : recovery::repeat_stop;
    case outcome::effect_state::in_flight:
    case outcome::effect_state::unknown: break;
  }
  if (stops_pause) return recovery::probe;
  return may_run_twice && !run.stop_wanted ? recovery::restart : recovery::report_lost;
}

unconfirmed_action action_after_silence(const tracked_run& run, bool may_run_twice) {
  if (run.stop_wanted) return unconfirmed_action::report_lost;
  return may_run_twice ? unconfirmed_action::start_again : unconfirmed_action::wait_for_event;
}

}  // namespace marblewharf::runtime
