#include "runtime/start_estimate.hpp"

#include <algorithm>

namespace marblewharf::runtime {

// The runtime started between `sync_sent_at - uptime` and `now - uptime`. Comparing the lower bound prevents
// a suspension of this process, which delays `now`, from being taken for a restart of the runtime.
start_estimate::finding start_estimate::on_ready(time_point sync_sent_at, time_point now, duration uptime) {
  const time_point earliest_start = sync_sent_at - uptime;
  const time_point latest_start = now - uptime;
  if (latest_start_.count() == 0) {
    latest_start_ = latest_start;
    return finding::first_start;
  }
  const bool restarted = earliest_start > latest_start_ + tolerance_;
  latest_start_ = restarted ? latest_start : std::min(latest_start_, latest_start);
  return restarted ? finding::restarted : finding::same_start;
}

}  // namespace marblewharf::runtime
