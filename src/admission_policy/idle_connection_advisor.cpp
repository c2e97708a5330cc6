#include "admission_policy/idle_connection_advisor.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// A caller counts as returning if its next arrival is within this time.
constexpr duration return_window = 5s;
// Idle time after which connections are closed where callers do not return. Long enough for an immediate
// retry to reuse its connection.
constexpr duration close_after = 200ms;
// Number of arrivals over which the fraction of returning callers is averaged.
constexpr double arrivals_averaged = 50;
// Idle connections are kept open while at least this fraction of arrivals is from returning callers.
constexpr double min_returning_fraction = 0.5;

}  // namespace

void idle_connection_advisor::note_arrival(unsigned caller, time_point now) {
  const auto [seen, first_arrival] = last_seen_.try_emplace(caller, now - return_window);
  const bool returned = !first_arrival && now - seen->second < return_window;
  returning_fraction_ += ((returned ? 1 : 0) - returning_fraction_) / arrivals_averaged;
  seen->second = now;
}

std::optional<close_idle> idle_connection_advisor::evaluate(time_point now) {
  std::erase_if(last_seen_, [now](const auto& seen) { return now - seen.second >= return_window; });
  const bool keep_open = returning_fraction_ >= min_returning_fraction;
  if (keep_open == keeps_open_) return std::nullopt;
  keeps_open_ = keep_open;
  return close_idle{keep_open ? 0ns : close_after};
}

}  // namespace admission_policy
