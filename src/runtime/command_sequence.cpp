#include "runtime/command_sequence.hpp"

namespace marblewharf::runtime {

command_sequence::command_sequence(transport& connection, const limits& bounds,
                                   const std::vector<admission_policy::class_settings>& classes)
    : transport_(connection), classes_(classes), questions_(bounds) {}

void command_sequence::send(const any_command& command) {
  transport_.send(encode(command));
}

void command_sequence::sync(std::uint64_t last_serial) {
  send(sync_command{last_serial});
}

std::uint64_t command_sequence::ask_for_gauges(time_point now) {
  send(questions_.ask(now));
  return questions_.last();
}

void command_sequence::start(tracked_run& run) {
  run.start = start_progress::sent;
  run.fence = questions_.next();
  send(start_command{run.label, classes_[run.request_class].name, run.payload});
}

void command_sequence::stop_or_continue(tracked_run& run) {
  run.stop_told = run.stop_wanted;
  expect_delivery(run);
  if (run.stop_wanted) {
    stop(run.label);
  } else {
    send(continue_command{run.label});
  }
}

void command_sequence::probe(tracked_run& run) {
  run.probing = true;
  expect_delivery(run);
  stop(run.label);
}

void command_sequence::stop(const std::string& label) {
  send(stop_command{label});
}

void command_sequence::expect_delivery(tracked_run& run) {
  run.last_command_delivered = false;
  run.fence = questions_.next();
}

}  // namespace marblewharf::runtime
