#include "admission_policy/overload_detector.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Reads are averaged over so many seconds.
constexpr double read_averaging_s = 2;
// Where no quotas are stated, accepting less than this fraction of the traffic means overload.
constexpr double low_accepted_fraction = 0.5;
// Reads beyond this many times the quota of this server mean overload everywhere.
constexpr double over_quota_factor = 1.1;
// Excess over the quota, as a fraction of it, from which on every rejected request is told so.
constexpr double certain_excess = 1.2;
// From this many times the quota on, the reads themselves explain that runs are slow.
constexpr double flood_factor = 2;
// This server is slow when a unit of work takes more than this many times what its runs at once explain.
constexpr double far_slower_factor = 2.5;

}  // namespace

void overload_detector::advance(duration elapsed) {
  reads_per_second_ *= std::exp(-to_seconds(elapsed) / read_averaging_s);
}

void overload_detector::note_read(bool marked_retry) {
  reads_per_second_ += 1 / read_averaging_s;
  retries_marked_ = retries_marked_ || marked_retry;
}

// More is read than this server's quota: then it is everywhere. Where less comes in and is still too much,
// the trouble is here, as it is where this server is slow although it reads no flood.
bool overload_detector::overloaded_everywhere(bool slow_here, double accepted_fraction) {
  if (total_quota_ <= 0) return !slow_here && accepted_fraction < low_accepted_fraction;
  if (slow_here && reads_per_second_ < flood_factor * total_quota_) return false;
  if (!retries_marked_) return reads_per_second_ > over_quota_factor * total_quota_;
  // Marked retries past their objective end by themselves, and a walk costs less. On a small server a few
  // reads more are chance, and others have room.
  excess_ += std::clamp((reads_per_second_ / total_quota_ - 1) / certain_excess, 0.0, 1.0);
  if (excess_ < 1) return false;
  excess_ -= 1;
  return true;
}

bool is_slow(double time_per_unit, double best_time_per_unit, double running, unsigned cores) {
  const double runs_per_core = std::max<double>(cores, running) / cores;
  return time_per_unit > far_slower_factor * best_time_per_unit * runs_per_core;
}

}  // namespace admission_policy
