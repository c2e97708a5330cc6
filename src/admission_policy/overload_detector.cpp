#include "admission_policy/overload_detector.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Seconds over which the read rate is averaged.
constexpr double read_averaging_s = 2;
// Without quotas, an accepted fraction below this value indicates overload everywhere.
constexpr double low_accepted_fraction = 0.5;
// Where retries are not marked, a read rate above this multiple of this server's quota indicates overload
// everywhere.
constexpr double over_quota_factor = 1.1;
// Where retries are marked: if the read rate exceeds the quota by at least this fraction of the quota,
// overloaded_everywhere returns true for every rejected request.
constexpr double certain_excess = 1.2;
// From this multiple of the quota on, the cost of the reads explains why runs are slow.
constexpr double flood_factor = 2;
// This server is slow when a unit of work takes more than this many times the time that its number of
// concurrent runs explains.
constexpr double far_slower_factor = 2.5;

}  // namespace

void overload_detector::advance(duration elapsed) {
  reads_per_second_ *= std::exp(-to_seconds(elapsed) / read_averaging_s);
}

void overload_detector::note_read(bool marked_retry) {
  reads_per_second_ += 1 / read_averaging_s;
  retries_marked_ = retries_marked_ || marked_retry;
}

// A read rate above this server's quota means that all servers are overloaded. If the read rate is lower, or
// if this server is slow without a flood of reads (flood_factor), only this server is overloaded.
bool overload_detector::overloaded_everywhere(bool locally_slow, double accepted_fraction) {
  if (total_quota_ <= 0) return !locally_slow && accepted_fraction < low_accepted_fraction;
  if (locally_slow && reads_per_second_ < flood_factor * total_quota_) return false;
  if (!retries_marked_) return reads_per_second_ > over_quota_factor * total_quota_;
  // Marked retries are rejected once their objective has passed, so a request that is retried at several
  // servers costs less. On a small server a small excess of reads may be random, and other servers may have
  // capacity. The result is therefore true for a fraction of the rejected requests only.
  accumulated_excess_ += std::clamp((reads_per_second_ / total_quota_ - 1) / certain_excess, 0.0, 1.0);
  if (accumulated_excess_ < 1) return false;
  accumulated_excess_ -= 1;
  return true;
}

bool is_slow(double time_per_unit, double best_time_per_unit, double running, unsigned cores) {
  const double runs_per_core = std::max<double>(cores, running) / cores;
  return time_per_unit > far_slower_factor * best_time_per_unit * runs_per_core;
}

}  // namespace admission_policy
