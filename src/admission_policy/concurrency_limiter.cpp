#include "admission_policy/concurrency_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// Share of the cores busy below which a further run finds a core.
constexpr double idle_cpu_share = 0.9;
// Share of the cores busy above which a further run slows the others.
constexpr double busy_cpu_share = 0.95;
// Work waits this long before the limit grows: the gauge needs time to show the last growth.
constexpr duration growth_interval = 250ms;
// Times the best time for a unit of work beyond which runs are late: more than run times vary.
constexpr double late_run_factor = 1.5;
// Factor of a cut: too many runs slow each other, and a few windows lead out of it.
constexpr double limit_cut_factor = 0.8;
// Share of the runs survived that may be used: reads, stalls and retries come on top.
constexpr double ceiling_share = 0.7;
// The same in whole runs: one more than that share may be too many on a small server.
constexpr double ceiling_share_of_whole_runs = 0.9;
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
      std::min(std::ceil(ceiling_share * survived), std::floor(ceiling_share_of_whole_runs * survived));
  return std::max<double>(cores_, whole_runs);
}

// Growth is by as many runs as the idle cores would take, so that many cores do not idle for seconds while
// the limit climbs by ones and work is rejected.
void concurrency_limiter::adjust(const load_observation& load, time_point now) {
  if (load.cpu_busy < idle_cpu_share && work_waits_since_ + growth_interval <= now) {
    limit_ += std::max(1.0, (1 - load.cpu_busy) * limit_);
    work_waits_since_ = now;
  }
  const bool runs_late = load.time_per_unit > late_run_factor * load.best_time_per_unit;
  if (load.cpu_busy > busy_cpu_share && runs_late) limit_ *= limit_cut_factor;
  const double most = std::max<double>(cores_, ceiling(load.speed));
  limit_ = std::clamp(limit_, static_cast<double>(cores_), most);
}

}  // namespace admission_policy
