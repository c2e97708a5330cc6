// Tests what is done with a run whose commands may have been lost with a connection.
#include "runtime/tracked_run.hpp"

#include <map>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::runtime;

namespace {

constexpr bool pauses = true, safe = true;
const outcome::origin connection{{"", 1}, 1};

// The effect of a run after these events of its connection.
outcome::effect after(const std::vector<outcome::event>& events) {
  outcome::effect observed;
  for (const outcome::event each : events) CHECK(observed.apply({each, connection}));
  return observed;
}

// Guards against a second start of a run that may have started, unless its effect may repeat.
void start_is_repeated_only_where_it_is_safe() {
  tracked_run run;
  CHECK(recovery_action_for(run, pauses, !safe) == recovery::none);
  const outcome::effect in_flight = after({outcome::event::start_sent});
  const outcome::effect unknown = after({outcome::event::start_sent, outcome::event::connection_lost});
  for (const outcome::effect& unconfirmed : {in_flight, unknown}) {
    run.effect = unconfirmed;
    CHECK(recovery_action_for(run, pauses, !safe) == recovery::probe);
    CHECK(recovery_action_for(run, pauses, safe) == recovery::probe);
    CHECK(recovery_action_for(run, !pauses, !safe) == recovery::report_lost);
    CHECK(recovery_action_for(run, !pauses, safe) == recovery::restart);
  }
  run.stop_wanted = true;
  CHECK(recovery_action_for(run, !pauses, safe) == recovery::report_lost);
  run.effect = after({outcome::event::start_sent, outcome::event::start_confirmed});
  CHECK(recovery_action_for(run, pauses, !safe) == recovery::none);
  run.last_command_delivered = false;
  CHECK(recovery_action_for(run, pauses, !safe) == recovery::repeat_stop);
}

// Guards against a conclusion from silence: a stop without effect proves nothing about the run.
void silence_proves_nothing() {
  tracked_run run;
  run.effect = after({outcome::event::start_sent, outcome::event::connection_lost});
  CHECK(action_after_silence(run, safe) == unconfirmed_action::start_again);
  CHECK(action_after_silence(run, !safe) == unconfirmed_action::wait_for_event);
  run.stop_wanted = true;
  CHECK(action_after_silence(run, safe) == unconfirmed_action::report_lost);
  CHECK(action_after_silence(run, !safe) == unconfirmed_action::report_lost);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"recovery", start_is_repeated_only_where_it_is_safe},
                                                   {"silence", silence_proves_nothing}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
