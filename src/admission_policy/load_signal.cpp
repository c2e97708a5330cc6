#include "admission_policy/load_signal.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Multiplies the accepted fraction in a control window with overload.
constexpr double fraction_cut_factor = 0.85;
// Added to the accepted fraction in a control window without.
constexpr double fraction_growth = 0.03;
// Lower bound of the accepted fraction: some requests come in and show when the overload has passed.
constexpr double min_fraction = 0.1;
// An attempt that waits longer than this fraction of the tightest objective to be read is a sign of overload.
constexpr double late_read_fraction = 0.25;
// Credit that callers get while nothing is shed, as a multiple of the requests that are useful here.
constexpr double credit_factor = 4;
// Requests are useful in the queue up to this fraction of the tightest objective.
constexpr double useful_queue_fraction = 0.35;
// Smaller changes of the value are not advertised.
constexpr double min_change = 1e-3;

}  // namespace

load_signal::load_signal(const settings& given)
    : kind_(given.signal), callers_(given.callers), tightest_objective_(tightest_objective(given)) {}

void load_signal::note_read_delay(duration delay) {
  longest_read_delay_ = std::max(longest_read_delay_, delay);
}

std::optional<advertise> load_signal::evaluate(double limit, double run_seconds, bool draining) {
  const bool overloaded = shed_in_window_ || longest_read_delay_ > tightest_objective_ * late_read_fraction;
  accepted_fraction_ = overloaded ? std::max(min_fraction, accepted_fraction_ * fraction_cut_factor)
                                  : std::min(1.0, accepted_fraction_ + fraction_growth);
  shed_in_window_ = false;
  longest_read_delay_ = {};
  if (kind_ == signal_kind::none) return std::nullopt;
  const double next = value(limit, run_seconds, draining);
  if (std::abs(next - advertised_) < min_change) return std::nullopt;
  advertised_ = next;
  return advertise{next};
}

double load_signal::value(double limit, double run_seconds, bool draining) const {
  if (draining) return kind_ == signal_kind::level ? 1 : 0;
  if (kind_ == signal_kind::level) return 1 - accepted_fraction_;
  if (kind_ != signal_kind::credit) return accepted_fraction_;
  const double useful_queue_s = useful_queue_fraction * to_seconds(tightest_objective_);
  const double useful_requests = limit + useful_queue_s * limit / run_seconds;
  return accepted_fraction_ * credit_factor * useful_requests / std::max(1u, callers_);
}

}  // namespace admission_policy
