#include "runtime/start_estimate.hpp"

#include <algorithm>

namespace marblewharf::runtime {

// The start lies between `asked_at` and `now`, both less the uptime. Comparing the earlier bound guards
// against a restart being inferred from a time in which this process was suspended.
start_estimate::finding start_estimate::on_ready(time_point asked_at, time_point now, duration uptime) {
  const time_point earliest = asked_at - uptime;
  const time_point latest = now - uptime;
  if (latest_start_.count() == 0) {
    latest_start_ = latest;
    return finding::first_start;
  }
  const bool restarted = earliest > latest_start_ + tolerance_;
  latest_start_ = restarted ? latest : std::min(latest_start_, latest);
  return restarted ? finding::restarted : finding::same_start;
}

}  // namespace marblewharf::runtime
