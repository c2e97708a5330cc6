// The limit on requests that run at once. It starts at the core count, grows while cores idle and work waits,
// and is cut when runs grow late on busy cores. Without fresh gauges the cores count as busy: the limit does
// not grow then, and may be cut.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct load_observation {
  double cpu_busy = 1;            // fraction of the cores, 0 to 1
  double time_per_unit = 0;       // s of core time for a unit of work, now
  double best_time_per_unit = 0;  // s, at the best pace known
  double speed = 1;               // fraction of full speed, see slow_start
};

class concurrency_limiter {
 public:
  concurrency_limiter(const settings& given, time_point now);

  // Runs that may be on the cores at once.
  double limit() const { return limit_; }

  // Runs that the server survives now, with a margin; no limit goes beyond it.
  double ceiling(double speed) const;

  // The queue is empty at this moment.
  void note_empty_queue(time_point now) { work_waits_since_ = now; }

  // Once in a control window.
  void adjust(const load_observation& load, time_point now);

 private:
  unsigned cores_;
  double ceiling_per_core_;  // runs a core that a warm server survives; 0 = not stated
  double limit_;
  time_point work_waits_since_;  // the queue has not been empty since, nor has the limit grown
};

}  // namespace admission_policy
