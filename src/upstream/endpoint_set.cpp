#include "upstream/endpoint_set.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblewharf::upstream {
namespace {

constexpr double latency_mean_calls = 8;  // number of calls over which the moving mean is taken
constexpr double min_slow_start_weight = 0.1;
// Assumed for an endpoint that was called and has not answered yet, if no other latency is known.
constexpr double default_latency_s = 1e-3;
constexpr unsigned max_ejection_doublings = 16;

double seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

// Draws two candidates from one random number; they differ if there are at least two.
std::pair<std::size_t, std::size_t> draw_two(const std::vector<std::size_t>& candidates,
                                             std::uint64_t random) {
  const std::size_t count = candidates.size();
  const std::size_t first = random % count;
  const std::size_t distance = 1 + (random >> 32) % std::max<std::size_t>(1, count - 1);
  return {candidates[first], candidates[(first + distance) % count]};
}

// A number in [0, 1). Mixes the bits of `random`, so that the result is independent of draw_two().
double draw_uniform(std::uint64_t random) {
  const std::uint64_t mixed = (random ^ (random >> 29)) * 0xbf58476d1ce4e5b9ull;
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

}  // namespace

endpoint_set::endpoint_set(std::size_t count, endpoint_rules rules, endpoint_locality locality)
    : rules_(rules), locality_(std::move(locality)), endpoints_(count) {}

std::size_t endpoint_set::ejected_count() const {
  const auto is_ejected = [](const endpoint_status& status) {
    return status.state == endpoint_state::ejected || status.state == endpoint_state::probing;
  };
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), is_ejected));
}

// ---- Endpoint selection -----------------------------------------------------------------------------------

bool endpoint_set::accepts_calls(const endpoint_status& status) const {
  return status.state == endpoint_state::healthy || status.state == endpoint_state::slow_start;
}

bool endpoint_set::is_full(const endpoint_status& status) const {
  return locality_.rules.max_calls_per_endpoint > 0 &&
         status.in_flight >= locality_.rules.max_calls_per_endpoint;
}

// The share of its normal load that an endpoint receives during slow start.
double endpoint_set::slow_start_weight(const endpoint_status& status, time_point now) const {
  if (status.state != endpoint_state::slow_start) return 1;
  const double elapsed_share = seconds(now - status.slow_start_since) / seconds(rules_.ramp);
  return std::clamp(elapsed_share, min_slow_start_weight, 1.0);
}

// The weight that the measured latency of an endpoint keeps after `idle` time without calls. Without this
// decay an endpoint that was slow once would receive no further calls, and its recovery would go unnoticed.
double endpoint_set::latency_weight(duration idle) const {
  return std::exp2(-std::max(0.0, seconds(idle) / seconds(rules_.fade)));
}

// Performs the state changes that are due: ejected to probing, and slow start to healthy.
void endpoint_set::run_timers(std::size_t endpoint, time_point now) {
  endpoint_status& status = endpoints_[endpoint];
  if (status.state == endpoint_state::ejected && now >= status.ejected_until)
    enter(endpoint, endpoint_state::probing, "is probed: its ejection time has passed");
  if (status.state == endpoint_state::slow_start && now >= status.slow_start_since + rules_.ramp)
    status.state = endpoint_state::healthy;
}

// Returns the first endpoint that is due for a probe. Unreachable endpoints are not probed: the probe would
// fail and only delay the caller. The timers of endpoints after the returned one run when the next call is
// placed.
std::optional<std::size_t> endpoint_set::find_probe(time_point now, bool may_probe,
                                                    std::optional<std::size_t> excluded) {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    run_timers(i, now);
    const endpoint_status& status = endpoints_[i];
    if (status.rejected_until > now || i == excluded) continue;
    if (status.state == endpoint_state::probing && may_probe && !status.probe_in_flight && status.reachable &&
        !is_full(status))
      return i;
  }
  return std::nullopt;
}

std::vector<std::size_t> endpoint_set::usable_endpoints(time_point now,
                                                        std::optional<std::size_t> excluded) const {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const endpoint_status& status = endpoints_[i];
    if (status.rejected_until <= now && i != excluded && accepts_calls(status)) usable.push_back(i);
  }
  return usable;
}

// Returns the usable endpoints of one locality level. The level is drawn at random, weighted by each level's
// share of calls (failover/locality.hpp).
std::vector<std::size_t> endpoint_set::usable_by_locality(time_point now, std::uint64_t random,
                                                          std::optional<std::size_t> excluded) const {
  std::vector<failover::endpoint_availability> states(endpoints_.size());
  std::vector<bool> blocked(endpoints_.size());  // excluded even in panic mode
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const endpoint_status& status = endpoints_[i];
    blocked[i] = status.rejected_until > now || is_full(status);
    states[i] = {locality_.levels[i], accepts_calls(status) && status.reachable && !blocked[i]};
  }
  const failover::level_shares shares = failover::shares_of(states, locality_.rules);
  std::vector<std::size_t> usable;
  const auto add_level = [&](failover::level level) {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const bool can_take = states[i].available || (shares.panic && !blocked[i]);
      if (i != excluded && states[i].where == level && can_take) usable.push_back(i);
    }
  };
  if (const auto drawn = failover::draw_level(shares, draw_uniform(random))) add_level(*drawn);
  // If the drawn level has no usable endpoint except the excluded one, the nearest level with another usable
  // endpoint is used.
  for (std::size_t level = 0; level < failover::level_count && usable.empty(); ++level)
    add_level(static_cast<failover::level>(level));
  return usable;
}

// An endpoint that was never called has an expected latency of 0, so that it is called next: with an estimate
// above 0 it might never be called. An endpoint that was called but has not answered yet gets the latency of
// the other candidate: with a low estimate it would receive all calls until it answers.
double endpoint_set::expected_latency_s(const endpoint_status& status, const endpoint_status& other,
                                        time_point now) const {
  if (status.mean_latency_s > 0) {
    const bool idle = status.in_flight == 0;
    return status.mean_latency_s * (idle ? latency_weight(now - status.idle_since) : 1);
  }
  const bool never_called = status.in_flight + status.bound == 0;
  return never_called ? 0 : std::max(other.mean_latency_s, default_latency_s);
}

double endpoint_set::cost(const endpoint_status& status, const endpoint_status& other, time_point now) const {
  const unsigned load = status.in_flight + status.bound + 1;
  return load * expected_latency_s(status, other, now) / slow_start_weight(status, now);
}

std::optional<std::size_t> endpoint_set::choose(time_point now, std::uint64_t random, bool may_probe,
                                                std::optional<std::size_t> excluded) {
  if (const auto probed = find_probe(now, may_probe, excluded)) return probed;
  const std::vector<std::size_t> usable =
      locality_.levels.empty() ? usable_endpoints(now, excluded) : usable_by_locality(now, random, excluded);
  if (usable.empty()) return std::nullopt;
  const auto [first, second] = draw_two(usable, random);
  const endpoint_status& first_status = endpoints_[first];
  const endpoint_status& second_status = endpoints_[second];
  return cost(second_status, first_status, now) < cost(first_status, second_status, now) ? second : first;
}

std::optional<time_point> endpoint_set::next_usable_at(time_point now) const {
  std::optional<time_point> next;
  for (const endpoint_status& status : endpoints_) {
    if (status.state == endpoint_state::probing && status.probe_in_flight) continue;
    if (!status.reachable || is_full(status)) continue;  // the time at which this ends is not known
    const time_point ejected_until =
        status.state == endpoint_state::ejected ? status.ejected_until : time_point{};
    const time_point usable_at = std::max(status.rejected_until, ejected_until);
    if (usable_at <= now) return std::nullopt;
    if (!next || usable_at < *next) next = usable_at;
  }
  return next;
}

// ---- Calls ------------------------------------------------------------------------------------------------

void endpoint_set::on_start(std::size_t endpoint) {
  endpoint_status& status = endpoints_[endpoint];
  status.was_idle = status.in_flight == 0;
  ++status.in_flight;
  if (status.state == endpoint_state::probing) status.probe_in_flight = true;
}

void endpoint_set::on_end(std::size_t endpoint, time_point now, duration latency, call_outcome outcome) {
  endpoint_status& status = endpoints_[endpoint];
  if (status.in_flight > 0) --status.in_flight;
  // The previous mean is weighted with the same decay as when the call was placed.
  const bool was_idle = std::exchange(status.was_idle, false);
  const double previous_weight = was_idle ? latency_weight(now - latency - status.idle_since) : 1;
  if (status.in_flight == 0) status.idle_since = now;
  const bool was_probe = status.state == endpoint_state::probing;
  if (was_probe) status.probe_in_flight = false;
  if (outcome == call_outcome::cancelled) return;
  update_latency(status, latency, previous_weight);
  count_in_sample(status);
  if (outcome == call_outcome::succeeded) {
    on_success(endpoint, now, was_probe);
  } else {
    on_failure(endpoint, now, was_probe);
  }
}

void endpoint_set::on_rejected(std::size_t endpoint, time_point until) {
  endpoint_status& status = endpoints_[endpoint];
  status.rejected_until = std::max(status.rejected_until, until);
}

void endpoint_set::update_latency(endpoint_status& status, duration latency, double previous_weight) {
  const double latency_s = seconds(latency);
  if (status.mean_latency_s <= 0) {
    status.mean_latency_s = latency_s;
    return;
  }
  const double new_weight = std::max(1 / latency_mean_calls, 1 - previous_weight);
  status.mean_latency_s += (latency_s - status.mean_latency_s) * new_weight;
}

// Halves the counts when the sample reaches twice its size, so that older calls lose weight.
void endpoint_set::count_in_sample(endpoint_status& status) {
  if (++status.sample_calls < 2 * rules_.sample) return;
  status.sample_calls /= 2;
  status.sample_failures /= 2;
}

// ---- Ejection and recovery --------------------------------------------------------------------------------

void endpoint_set::on_success(std::size_t endpoint, time_point now, bool was_probe) {
  endpoint_status& status = endpoints_[endpoint];
  status.consecutive_failures = 0;
  if (!was_probe || ++status.probes_succeeded < rules_.probes) return;
  status.slow_start_since = now;
  status.consecutive_ejections = 0;
  status.sample_calls = 0;
  status.sample_failures = 0;
  enter(endpoint, endpoint_state::slow_start, "enters slow start: its probes succeeded");
}

// Ejects the endpoint after a failed probe, after too many consecutive failures, or when the share
// of failed calls is too high.
void endpoint_set::on_failure(std::size_t endpoint, time_point now, bool was_probe) {
  endpoint_status& status = endpoints_[endpoint];
  ++status.consecutive_failures;
  ++status.sample_failures;
  if (was_probe) {
    eject(endpoint, now, "is ejected: its probe failed");
    return;
  }
  if (status.state == endpoint_state::ejected) return;
  const bool sample_is_full = status.sample_calls >= rules_.sample;
  if (status.consecutive_failures >= rules_.failures) {
    eject(endpoint, now, "is ejected: too many consecutive failures");
  } else if (sample_is_full && status.sample_failures >= rules_.failing * status.sample_calls) {
    eject(endpoint, now, "is ejected: its share of failed calls is too high");
  }
}

// Limits the share of ejected endpoints. If more endpoints than this fail, the cause is probably not in the
// endpoints, and the remaining ones stay in use although they fail.
bool endpoint_set::can_eject_another() const {
  const double max_ejected = rules_.most_out * static_cast<double>(endpoints_.size());
  return static_cast<double>(ejected_count() + 1) <= max_ejected;
}

void endpoint_set::eject(std::size_t endpoint, time_point now, const char* reason) {
  endpoint_status& status = endpoints_[endpoint];
  const bool counted_as_ejected = status.state == endpoint_state::probing;
  if (!counted_as_ejected && !can_eject_another()) return;
  const unsigned doublings = std::min(status.consecutive_ejections, max_ejection_doublings);
  const auto factor = static_cast<double>(std::uint64_t{1} << doublings);
  const auto ejection = std::chrono::duration_cast<duration>(rules_.out * factor);
  status.ejected_until = now + std::min(ejection, rules_.longest_out);
  ++status.consecutive_ejections;
  status.probes_succeeded = 0;
  status.consecutive_failures = 0;
  status.sample_calls = 0;
  status.sample_failures = 0;
  enter(endpoint, endpoint_state::ejected, reason);
}

void endpoint_set::enter(std::size_t endpoint, endpoint_state state, const std::string& reason) {
  endpoints_[endpoint].state = state;
  changes_.push_back({endpoint, reason});
}

}  // namespace marblewharf::upstream
