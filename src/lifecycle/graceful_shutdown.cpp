#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>

namespace marblewharf::lifecycle {

graceful_shutdown::graceful_shutdown(time_point noticed, bool successor_takes_clients, const limits& bounds)
    : bounds_(bounds), stops_at_(noticed + bounds.stop), successor_takes_clients_(successor_takes_clients) {}

bool graceful_shutdown::asks_callers_to_go(time_point now) const {
  return successor_takes_clients_ || now >= stops_at_ - bounds_.leave_early;
}

bool graceful_shutdown::ends_connections(time_point now) {
  if (now < stops_at_ - bounds_.end_early) return false;
  if (!ending_since_) ending_since_ = now;
  return true;
}

bool graceful_shutdown::is_over(time_point now, progress connections) const {
  if (asks_callers_to_go(now) && connections.empty) return true;
  if (!ending_since_ || now < stops_at_ - bounds_.exit_early) return false;
  if (connections.ended) return true;
  // A node that stood still wakes up late: what came meanwhile is still read and answered.
  return now >= std::max(stops_at_ - bounds_.exit_early, *ending_since_) + bounds_.last_rounds;
}

}  // namespace marblewharf::lifecycle
