#include "admission_policy/load_signal.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Factor by which a control window with overload multiplies the accepted fraction.
constexpr double fraction_cut_factor = 0.85;
// Growth of the accepted fraction in a control window without overload.
constexpr double fraction_growth = 0.03;
// Minimum accepted fraction: some requests must still arrive to show when the overload has ended.
constexpr double min_fraction = 0.1;
// A read delay above this fraction of the shortest objective indicates overload.
constexpr double late_read_fraction = 0.25;
// Total credit of the callers while nothing is shed, as a multiple of the requests that this server can
// answer in time.
constexpr double credit_factor = 4;
// A queued request is expected to be answered in time if it waits at most this fraction of the shortest
// objective.
constexpr double useful_wait_fraction = 0.35;
// Minimum change of the value that is advertised.
constexpr double min_change = 1e-3;

}  // namespace

load_signal::load_signal(const settings& policy_settings)
    : kind_(policy_settings.signal),
      callers_(policy_settings.callers),
      shortest_objective_(shortest_objective(policy_settings)) {}

void load_signal::note_read_delay(duration delay) {
  longest_read_delay_ = std::max(longest_read_delay_, delay);
}

std::optional<advertise> load_signal::evaluate(double limit, double run_seconds, bool draining) {
  const bool overloaded = shed_in_window_ || longest_read_delay_ > shortest_objective_ * late_read_fraction;
  accepted_fraction_ = overloaded ? std::max(min_fraction, accepted_fraction_ * fraction_cut_factor)
                                  : std::min(1.0, accepted_fraction_ + fraction_growth);
  shed_in_window_ = false;
  longest_read_delay_ = {};
  if (kind_ == signal_kind::none) return std::nullopt;
  const double next_value = value_to_advertise(limit, run_seconds, draining);
  if (std::abs(next_value - advertised_) < min_change) return std::nullopt;
  advertised_ = next_value;
  return advertise{next_value};
}

double load_signal::value_to_advertise(double limit, double run_seconds, bool draining) const {
  if (draining) return kind_ == signal_kind::level ? 1 : 0;
  if (kind_ == signal_kind::level) return 1 - accepted_fraction_;
  if (kind_ != signal_kind::credit) return accepted_fraction_;
  const double useful_wait_s = useful_wait_fraction * to_seconds(shortest_objective_);
  const double useful_requests = limit + useful_wait_s * limit / run_seconds;
  return accepted_fraction_ * credit_factor * useful_requests / std::max(1u, callers_);
}

}  // namespace admission_policy
