#include "admission_policy/load_signal.hpp"

#include <algorithm>
#include <cmath>

#include "admission_policy/latency_objective.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

// Factor of the wanted share in a window with shedding: what comes in halves in half a second.
constexpr double share_cut_factor = 0.85;
// Growth of the wanted share in a window without: back to all in about three seconds.
constexpr double share_growth = 0.03;
// Least wanted share: enough comes in to see that the trouble has passed.
constexpr double least_share = 0.1;
// Share of the tightest objective; a longer delay before an attempt is read is overload.
constexpr double late_read_share = 0.25;
// Times the useful queue that callers may send while nothing is shed, so that none is bound.
constexpr double credit_factor = 4;
// Share of the tightest objective for which queued work is useful: beyond it the queue only adds waiting.
constexpr double useful_queue_share = 0.35;
// Smaller changes of the value are not advertised.
constexpr double least_change = 1e-3;

}  // namespace

load_signal::load_signal(const settings& given)
    : kind_(given.signal), callers_(given.callers), tightest_objective_(tightest_objective(given)) {}

void load_signal::note_read_delay(duration delay) {
  longest_read_delay_ = std::max(longest_read_delay_, delay);
}

std::optional<advertise> load_signal::evaluate(double limit, double run_seconds, bool draining) {
  const bool overloaded = shed_in_window_ || longest_read_delay_ > tightest_objective_ * late_read_share;
  wanted_share_ = overloaded ? std::max(least_share, wanted_share_ * share_cut_factor)
                             : std::min(1.0, wanted_share_ + share_growth);
  shed_in_window_ = false;
  longest_read_delay_ = {};
  if (kind_ == signal_kind::none) return std::nullopt;
  const double next = value(limit, run_seconds, draining);
  if (std::abs(next - advertised_) < least_change) return std::nullopt;
  advertised_ = next;
  return advertise{next};
}

double load_signal::value(double limit, double run_seconds, bool draining) const {
  if (draining) return kind_ == signal_kind::level ? 1 : 0;
  if (kind_ == signal_kind::level) return 1 - wanted_share_;
  if (kind_ != signal_kind::credit) return wanted_share_;
  const double useful_queue_s = useful_queue_share * to_seconds(tightest_objective_);
  const double useful_requests = limit + useful_queue_s * limit / run_seconds;
  return wanted_share_ * credit_factor * useful_requests / std::max(1u, callers_);
}

}  // namespace admission_policy
