#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>

namespace marblewharf::lifecycle {

graceful_shutdown::graceful_shutdown(time_point notice_time, bool successor_accepts, const limits& bounds)
    : bounds_(bounds),
      kill_at_(notice_time + bounds.shutdown_duration),
      successor_accepts_(successor_accepts) {}

bool graceful_shutdown::drains_connections(time_point now) const {
  return successor_accepts_ || now >= kill_at_ - bounds_.ask_to_close_before_kill;
}

bool graceful_shutdown::closes_connections(time_point now) {
  if (now < kill_at_ - bounds_.close_before_kill) return false;
  if (!closing_since_) closing_since_ = now;
  return true;
}

bool graceful_shutdown::is_complete(time_point now, connection_progress progress) const {
  if (drains_connections(now) && progress.all_closed) return true;
  const time_point exit_at = kill_at_ - bounds_.exit_before_kill;
  if (!closing_since_ || now < exit_at) return false;
  if (progress.all_ended) return true;
  // A process that was suspended may resume after exit_at: requests that arrived in the meantime are still
  // read and answered.
  return now >= std::max(exit_at, *closing_since_) + bounds_.late_answer_time;
}

}  // namespace marblewharf::lifecycle
