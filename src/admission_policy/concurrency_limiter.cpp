#include "admission_policy/concurrency_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// The limit grows only while less than this fraction of the cores is busy, so that another run finds a core.
constexpr double idle_cpu_fraction = 0.9;
// The limit is cut only while more than this fraction of the cores is busy, because runs then slow each other
// down.
constexpr double busy_cpu_fraction = 0.95;
// Work must wait this long before the limit grows, so that the gauge reflects the previous growth.
constexpr duration growth_interval = 250ms;
// Runs are slow when a unit of work takes more than this many times its best time.
constexpr double slow_run_factor = 1.5;
// Factor by which a cut multiplies the limit.
constexpr double limit_cut_factor = 0.8;
// Fraction of the concurrency ceiling that is used, rounded up to whole runs. The rest is a margin for reads,
// stalls and retries.
constexpr double ceiling_fraction = 0.7;
// The result of rounding up never exceeds this fraction of the ceiling, rounded down to whole runs. This
// bound has an effect only on servers with few cores.
constexpr double whole_runs_ceiling_fraction = 0.9;
// Concurrent runs per core if no ceiling is configured.
constexpr double default_ceiling_per_core = 4;

}  // namespace

concurrency_limiter::concurrency_limiter(const settings& policy_settings, time_point now)
    : cores_(policy_settings.cores),
      ceiling_per_core_(policy_settings.concurrency_ceiling_per_core),
      limit_(policy_settings.cores),
      work_waits_since_(now) {}

double concurrency_limiter::ceiling(double speed) const {
  if (ceiling_per_core_ <= 0) return default_ceiling_per_core * cores_;
  const double sustainable_runs = (1 + (ceiling_per_core_ - 1) * speed) * cores_;
  const double whole_runs = std::min(std::ceil(ceiling_fraction * sustainable_runs),
                                     std::floor(whole_runs_ceiling_fraction * sustainable_runs));
  return std::max<double>(cores_, whole_runs);
}

// The limit grows by the number of runs that the idle cores can take. Growth by one run at a time would leave
// many cores idle for seconds while work is rejected.
void concurrency_limiter::adjust(const load_observation& load, time_point now) {
  if (load.cpu_busy < idle_cpu_fraction && work_waits_since_ + growth_interval <= now) {
    limit_ += std::max(1.0, (1 - load.cpu_busy) * limit_);
    work_waits_since_ = now;
  }
  const bool runs_slow = load.time_per_unit > slow_run_factor * load.best_time_per_unit;
  if (load.cpu_busy > busy_cpu_fraction && runs_slow) limit_ *= limit_cut_factor;
  const double max_limit = std::max<double>(cores_, ceiling(load.speed));
  limit_ = std::clamp(limit_, static_cast<double>(cores_), max_limit);
}

}  // namespace admission_policy
