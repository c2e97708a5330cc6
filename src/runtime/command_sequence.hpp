// Sends commands to the runtime and notes in each run what it was told and which answer shows that it
// arrived.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "core/request.hpp"
#include "runtime/gauge_questions.hpp"
#include "runtime/messages.hpp"
#include "runtime/tracked_run.hpp"
#include "runtime/transport.hpp"

namespace marblewharf::runtime {

// Any command may find the connection lost; the transport's observer is told then. Owned by the reactor's
// thread.
class command_sequence {
 public:
  // All that is passed in outlives this object.
  command_sequence(transport& connection, const limits& bounds,
                   const std::vector<admission_policy::class_settings>& classes);

  void sync(std::uint64_t last_serial);
  // Asks for the gauges; returns the question's number.
  std::uint64_t ask_for_gauges(time_point now);
  void start(tracked_run& run);
  // As the dispatcher last wanted it.
  void stop_or_continue(tracked_run& run);
  // Pauses the run only to learn whether its start arrived.
  void probe(tracked_run& run);
  // Stops a run for good that is tracked no longer.
  void stop(const std::string& label);

  gauge_questions& questions() { return questions_; }
  const gauge_questions& questions() const { return questions_; }

 private:
  void send(const any_command& command);
  void expect_delivery(tracked_run& run);

  transport& transport_;
  const std::vector<admission_policy::class_settings>& classes_;
  gauge_questions questions_;
};

}  // namespace marblewharf::runtime
