// Detects stuck work: runs are on the cores, no run has succeeded for a whole latency objective, and many
// more runs should have ended than can be explained by chance. Whatever the cause, new requests would only
// time out. The server is healthy again after one successful run or when the cores are empty.
#pragma once

#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

enum class health { good, bad };

class progress_watchdog {
 public:
  explicit progress_watchdog(duration shortest_objective) : max_time_without_progress_(shortest_objective) {}

  // Records that a run succeeded, or that a run started on empty cores.
  void note_progress(time_point now);

  // Adds a number of run ends, which may be a fraction, that the best known run time predicts for the elapsed
  // time.
  void expect_run_ends(double runs) { missed_run_ends_ += runs; }

  // Excludes time during which this process was stalled.
  void skip(duration stalled) { last_progress_ += stalled; }

  // Records that the server got a shutdown notice: it counts as reported unhealthy from now on.
  void shut_down() { reported_ = health::bad; }

  // Returns the health if it differs from the last reported one.
  std::optional<health> evaluate(bool cores_empty, bool draining, time_point now);

 private:
  duration max_time_without_progress_;
  time_point last_progress_{};
  double missed_run_ends_ = 0;  // runs that should have ended since last_progress_
  health reported_ = health::good;
};

}  // namespace admission_policy
