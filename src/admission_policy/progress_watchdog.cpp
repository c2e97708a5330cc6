#include "admission_policy/progress_watchdog.hpp"

namespace admission_policy {
namespace {

// Run ends that must be missing before work counts as stuck; a few long runs explain fewer.
constexpr double missed_run_ends_when_stuck = 20;

}  // namespace

void progress_watchdog::note_progress(time_point now) {
  last_progress_ = now;
  missed_run_ends_ = 0;
}

std::optional<health> progress_watchdog::evaluate(bool cores_empty, bool draining, time_point now) {
  if (cores_empty) note_progress(now);
  const bool progresses =
      now - last_progress_ <= max_time_without_progress_ || missed_run_ends_ < missed_run_ends_when_stuck;
  const health current = !draining && progresses ? health::good : health::bad;
  if (current == reported_) return std::nullopt;
  reported_ = current;
  return current;
}

}  // namespace admission_policy
