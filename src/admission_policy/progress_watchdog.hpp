// Finds that work is stuck: runs are on the cores, none has ended well for a whole objective, and far more
// should have ended than chance explains. Whatever the cause, what comes in then can only time out. One run
// that ends well, or empty cores, make the server healthy again.
#pragma once

#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

enum class health { good, bad };

class progress_watchdog {
 public:
  explicit progress_watchdog(duration tightest_objective) : max_time_without_progress_(tightest_objective) {}

  // A run ended well, or the first one went to empty cores.
  void note_progress(time_point now);

  // Counts the part of a run that was to end meanwhile, going by the best run time known.
  void expect_run_ends(double runs) { missed_run_ends_ += runs; }

  // Time in which this process itself stood still does not count.
  void skip(duration stalled) { last_progress_ += stalled; }

  // The server has been told to shut down and is reported as unhealthy from here on.
  void shut_down() { reported_ = health::bad; }

  // The health to report if it has changed since the last report.
  std::optional<health> evaluate(bool cores_empty, bool draining, time_point now);

 private:
  duration max_time_without_progress_;
  time_point last_progress_{};
  double missed_run_ends_ = 0;  // runs that should have ended since then
  health reported_ = health::good;
};

}  // namespace admission_policy
