#include "runtime/command_sequence.hpp"

namespace marblewharf::runtime {

command_sequence::command_sequence(transport& connection, const limits& bounds,
                                   const std::vector<admission_policy::class_settings>& classes)
    : transport_(connection), classes_(classes), queries_(bounds) {}

void command_sequence::send(const any_command& command) {
  transport_.send(encode(command));
}

void command_sequence::begin_connection() {
  ++origin_.connection;
}

void command_sequence::begin_incarnation() {
  ++origin_.server.incarnation;
}

void command_sequence::sync(std::uint64_t last_serial) {
  send(sync_command{last_serial});
}

std::uint64_t command_sequence::query_gauges(time_point now) {
  send(queries_.next_query(now));
  return queries_.last_number();
}

void command_sequence::start(tracked_run& run) {
  run.effect.apply({outcome::event::start_sent, origin_});
  run.restart_wanted = false;
  run.fence = queries_.next_number();
  send(start_command{run.label, classes_[run.request_class].name, run.payload});
}

void command_sequence::stop_or_continue(tracked_run& run) {
  run.stop_sent = run.stop_wanted;
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
  run.fence = queries_.next_number();
}

}  // namespace marblewharf::runtime
