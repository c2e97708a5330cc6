#include "admission_policy/idle_connection_advisor.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// A caller returns when it comes back within this.
constexpr duration return_window = 5s;
// Idle connections are closed after this where callers do not return; an immediate retry still finds its own.
constexpr duration close_after = 200ms;
// The fraction of returning callers is averaged over so many arrivals.
constexpr double arrivals_averaged = 50;
// Idle connections are kept while at least this fraction of callers returns.
constexpr double min_returning_fraction = 0.5;

}  // namespace

void idle_connection_advisor::note_arrival(unsigned caller, time_point now) {
  const auto [seen, first] = last_seen_.try_emplace(caller, now - return_window);
  const bool returned = !first && now - seen->second < return_window;
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
