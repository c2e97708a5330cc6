#include "admission_policy/unlinked_duplicate_detector.hpp"

#include <algorithm>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Share of the objective before which no caller gives an attempt up to send another.
constexpr double least_wait_share = 0.5;

}  // namespace

bool unlinked_duplicate_detector::check(const arrival& attempt, const class_settings& its_class,
                                        time_point arrived, bool retries_marked, time_point now) {
  const duration least_wait = from_seconds(to_seconds(objective_of(its_class)) * least_wait_share);
  while (!late_reads_.empty() && late_reads_.front().read + its_class.idempotency_window < now)
    late_reads_.pop_front();
  const bool found = std::any_of(late_reads_.begin(), late_reads_.end(), [&](const late_read& earlier) {
    const bool same_origin = attempt.retry || (!retries_marked && earlier.caller == attempt.caller);
    const time_point reached = earlier.read - earlier.read_delay;
    return same_origin && earlier.read >= arrived && reached + least_wait <= arrived;
  });
  if (attempt.read_delay >= least_wait) late_reads_.push_back({now, attempt.read_delay, attempt.caller});
  return found && attempt.duplicate_of == 0;
}

}  // namespace admission_policy
