#include "admission_policy/idle_connection_advisor.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// A caller that is back within this is worth its idle connection.
constexpr duration return_window = 5s;
// Otherwise a connection stays as long as an immediate retry needs.
constexpr duration close_after = 200ms;
// Arrivals over which the share of returning callers is averaged.
constexpr double arrivals_averaged = 50;
// Share of returning callers below which none is waited for.
constexpr double returning_share_kept_open = 0.5;

}  // namespace

void idle_connection_advisor::note_arrival(unsigned caller, time_point now) {
  const auto [seen, first] = last_seen_.try_emplace(caller, now - return_window);
  const bool returned = !first && now - seen->second < return_window;
  returning_share_ += ((returned ? 1 : 0) - returning_share_) / arrivals_averaged;
  seen->second = now;
}

std::optional<close_idle> idle_connection_advisor::evaluate(time_point now) {
  std::erase_if(last_seen_, [now](const auto& seen) { return now - seen.second >= return_window; });
  const bool keep_open = returning_share_ >= returning_share_kept_open;
  if (keep_open == keeps_open_) return std::nullopt;
  keeps_open_ = keep_open;
  return close_idle{keep_open ? 0ns : close_after};
}

}  // namespace admission_policy
