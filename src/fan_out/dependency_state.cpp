#include "fan_out/dependency_state.hpp"

namespace marblewharf::fan_out {
namespace {

// The limit starts at half the mean of its bounds. If it started at the maximum, a dependency that is slow at
// start-up would at once receive as many calls as it can handle only when it is healthy.
double initial_limit(const upstream::dependency_rules& rules) {
  return (rules.least_in_flight + rules.most_in_flight) / 4;
}

}  // namespace

dependency_state::dependency_state(const upstream::dependency_rules& rules)
    : rules_(rules),
      endpoints_(rules.endpoints, rules.health, rules.near),
      limit_(rules.least_in_flight, rules.most_in_flight, initial_limit(rules)),
      retries_(rules.retry_share, rules.retry_floor),
      hedges_(rules.hedge_share, 0) {}

unsigned dependency_state::allowed() const {
  return share_ < limit_.allowed() ? static_cast<unsigned>(share_) : limit_.allowed();
}

time_point dependency_state::begin_sub_request(time_point request_deadline, time_point now) {
  retries_.on_first_attempt(now);
  hedges_.on_first_attempt(now);
  return std::min(now + rules_.budget, request_deadline);
}

bool dependency_state::try_acquire_retry(unsigned attempts, time_point deadline, time_point now) {
  return attempts < rules_.tries && now + expected_latency() < deadline && retries_.try_acquire(now);
}

std::optional<duration> dependency_state::hedge_delay() const {
  if (rules_.hedge_quantile <= 0 || rules_.endpoints <= 1) return std::nullopt;
  return latency_.quantile(rules_.hedge_quantile);
}

void dependency_state::on_call_started(std::size_t endpoint) {
  endpoints_.on_start(endpoint);
  ++in_flight_;
  ++counts_.calls;
  if (!rules_.near.levels.empty())
    ++counts_.calls_by_level[static_cast<std::size_t>(rules_.near.levels[endpoint])];
}

void dependency_state::on_call_ended(std::size_t endpoint, time_point now, duration elapsed,
                                     upstream::call_outcome outcome) {
  endpoints_.on_end(endpoint, now, elapsed, outcome);
  --in_flight_;
  counts_.time_in_calls += elapsed;
}

void dependency_state::on_success(time_point now, duration elapsed) {
  ++counts_.succeeded;
  latency_.add(elapsed);
  limit_.on_end(now, elapsed, in_flight_, false);
}

upstream::call_outcome dependency_state::on_timeout(time_point now, duration elapsed) {
  ++counts_.timed_out;
  if (elapsed <= limit_.healthy_latency()) return upstream::call_outcome::cancelled;
  limit_.on_end(now, elapsed, in_flight_, true);
  return upstream::call_outcome::failed;
}

}  // namespace marblewharf::fan_out
