#include "admission_policy/progress_watchdog.hpp"

namespace admission_policy {
namespace {

// Number of missed run ends from which on work counts as stuck. A few long runs can explain fewer.
constexpr double missed_run_ends_when_stuck = 20;

}  // namespace

void progress_watchdog::note_progress(time_point now) {
  last_progress_ = now;
  missed_run_ends_ = 0;
}

std::optional<health> progress_watchdog::evaluate(bool cores_empty, bool draining, time_point now) {
  if (cores_empty) note_progress(now);
  const bool makes_progress =
      now - last_progress_ <= max_time_without_progress_ || missed_run_ends_ < missed_run_ends_when_stuck;
  const health current = !draining && makes_progress ? health::good : health::bad;
  if (current == reported_) return std::nullopt;
  reported_ = current;
  return current;
}

}  // namespace admission_policy
