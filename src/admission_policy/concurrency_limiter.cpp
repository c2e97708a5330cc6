#include "admission_policy/concurrency_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// The limit grows while less than this fraction of the cores is busy: a further run finds a core.
constexpr double idle_cpu_fraction = 0.9;
// The limit is cut only while more than this fraction is busy: further runs slow the others.
constexpr double busy_cpu_fraction = 0.95;
// Work must have waited this long before the limit grows, so that the gauge shows the last growth.
constexpr duration growth_interval = 250ms;
// Runs are late when a unit of work takes more than this many times its best time.
constexpr double late_run_factor = 1.5;
// Multiplies the limit at a cut.
constexpr double limit_cut_factor = 0.8;
// Fraction of the concurrency ceiling that is used, rounded up to whole runs; the margin is for reads, stalls
// and retries.
constexpr double ceiling_fraction = 0.7;
// Fraction of the ceiling that the rounding may reach, rounded down: it counts on servers of few cores.
constexpr double whole_runs_ceiling_fraction = 0.9;
// Runs a core where no ceiling is stated.
constexpr double default_ceiling_per_core = 4;

}  // namespace

concurrency_limiter::concurrency_limiter(const settings& given, time_point now)
    : cores_(given.cores),
      ceiling_per_core_(given.concurrency_ceiling_per_core),
      limit_(given.cores),
      work_waits_since_(now) {}

double concurrency_limiter::ceiling(double speed) const {
  if (ceiling_per_core_ <= 0) return default_ceiling_per_core * cores_;
  const double survived = (1 + (ceiling_per_core_ - 1) * speed) * cores_;
  const double whole_runs =
      std::min(std::ceil(ceiling_fraction * survived), std::floor(whole_runs_ceiling_fraction * survived));
  return std::max<double>(cores_, whole_runs);
}

// Growth is by as many runs as the idle cores would take, so that many cores do not idle for seconds while
// the limit climbs by ones and work is rejected.
void concurrency_limiter::adjust(const load_observation& load, time_point now) {
  if (load.cpu_busy < idle_cpu_fraction && work_waits_since_ + growth_interval <= now) {
    limit_ += std::max(1.0, (1 - load.cpu_busy) * limit_);
    work_waits_since_ = now;
  }
  const bool runs_late = load.time_per_unit > late_run_factor * load.best_time_per_unit;
  if (load.cpu_busy > busy_cpu_fraction && runs_late) limit_ *= limit_cut_factor;
  const double most = std::max<double>(cores_, ceiling(load.speed));
  limit_ = std::clamp(limit_, static_cast<double>(cores_), most);
}

}  // namespace admission_policy
