// Adapts the limit on concurrent runs. The limit starts at the core count, grows while cores are idle and
// work waits, and is cut when runs slow down on busy cores. Cores count as busy without a current gauge: the
// limit then never grows and may be cut.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct load_observation {
  double cpu_busy = 1;            // fraction of the cores, 0 to 1
  double time_per_unit = 0;       // current core seconds per unit of work
  double best_time_per_unit = 0;  // lowest core seconds per unit of work
  double speed = 1;               // fraction of full speed, see slow_start
};

class concurrency_limiter {
 public:
  concurrency_limiter(const settings& policy_settings, time_point now);

  // Maximum number of concurrent runs on the cores.
  double limit() const { return limit_; }

  // Number of concurrent runs that the server can sustain at this speed, less a margin. Upper bound of the
  // limit.
  double ceiling(double speed) const;

  // Records that the queue is empty now.
  void note_empty_queue(time_point now) { work_waits_since_ = now; }

  // Adjusts the limit; called at the end of each control window.
  void adjust(const load_observation& load, time_point now);

 private:
  unsigned cores_;
  double ceiling_per_core_;  // concurrent runs per core that a warm server can sustain; 0 = not configured
  double limit_;
  time_point work_waits_since_;  // the last time when the queue was empty or the limit grew
};

}  // namespace admission_policy
