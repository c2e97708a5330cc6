#include "admission_policy/unlinked_duplicate_detector.hpp"

#include <algorithm>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Minimum time, as a fraction of the objective, before a caller sends another attempt.
constexpr double min_wait_fraction = 0.5;

}  // namespace

bool unlinked_duplicate_detector::check(const arrival& attempt, const class_settings& its_class,
                                        time_point arrived, bool retries_marked, time_point now) {
  const duration min_wait = from_seconds(to_seconds(objective_of(its_class)) * min_wait_fraction);
  while (!delayed_attempts_.empty() && delayed_attempts_.front().read + its_class.idempotency_window < now)
    delayed_attempts_.pop_front();
  const bool found_original =
      std::any_of(delayed_attempts_.begin(), delayed_attempts_.end(), [&](const delayed_attempt& earlier) {
        const bool same_origin = attempt.retry || (!retries_marked && earlier.caller == attempt.caller);
        const time_point earlier_arrived = earlier.read - earlier.read_delay;
        return same_origin && earlier.read >= arrived && earlier_arrived + min_wait <= arrived;
      });
  if (attempt.read_delay >= min_wait) delayed_attempts_.push_back({now, attempt.read_delay, attempt.caller});
  return found_original && attempt.duplicate_of == 0;
}

}  // namespace admission_policy
