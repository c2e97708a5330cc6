#include "upstream/endpoint_set.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblewharf::upstream {
namespace {

constexpr double latency_mean_calls = 8;  // over which the mean is taken
constexpr double least_slow_start_weight = 0.1;
// Taken for an endpoint that was called and has not answered, where no other latency is known.
constexpr double default_latency_s = 1e-3;
constexpr unsigned most_ejection_doublings = 16;

double seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

// Two different candidates, where there are two, from one random number.
std::pair<std::size_t, std::size_t> draw_two(const std::vector<std::size_t>& candidates,
                                             std::uint64_t random) {
  const std::size_t n = candidates.size();
  const std::size_t first = random % n;
  const std::size_t distance = 1 + (random >> 32) % std::max<std::size_t>(1, n - 1);
  return {candidates[first], candidates[(first + distance) % n]};
}

// In [0, 1), from other bits of the number than draw_two() uses.
double draw_uniform(std::uint64_t random) {
  const std::uint64_t mixed = (random ^ (random >> 29)) * 0xbf58476d1ce4e5b9ull;
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

}  // namespace

endpoint_set::endpoint_set(std::size_t count, endpoint_rules rules, endpoint_locality locality)
    : rules_(rules), locality_(std::move(locality)), endpoints_(count) {}

std::size_t endpoint_set::ejected_count() const {
  const auto is_ejected = [](const endpoint_status& e) {
    return e.state == endpoint_state::ejected || e.state == endpoint_state::probing;
  };
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), is_ejected));
}

// ---- Choice -----------------------------------------------------------------------------------------------

bool endpoint_set::takes_calls(const endpoint_status& e) const {
  return e.state == endpoint_state::healthy || e.state == endpoint_state::slow_start;
}

bool endpoint_set::is_full(const endpoint_status& e) const {
  return locality_.rules.most_each > 0 && e.in_flight >= locality_.rules.most_each;
}

// The share of calls that an endpoint gets in its slow start.
double endpoint_set::slow_start_weight(const endpoint_status& e, time_point now) const {
  if (e.state != endpoint_state::slow_start) return 1;
  const double elapsed_share = seconds(now - e.slow_start_since) / seconds(rules_.ramp);
  return std::clamp(elapsed_share, least_slow_start_weight, 1.0);
}

// The share of the known latency that still counts. Without this an endpoint that was slow once would not be
// called again, and never show that it no longer is.
double endpoint_set::remembered_share(duration idle) const {
  return std::exp2(-std::max(0.0, seconds(idle) / seconds(rules_.fade)));
}

// Times by which an endpoint is probed, or has its full share of calls again.
void endpoint_set::run_timers(std::size_t endpoint, time_point now) {
  endpoint_status& e = endpoints_[endpoint];
  if (e.state == endpoint_state::ejected && now >= e.ejected_until)
    enter(endpoint, endpoint_state::probing, "is tried again");
  if (e.state == endpoint_state::slow_start && now >= e.slow_start_since + rules_.ramp)
    e.state = endpoint_state::healthy;
}

// The first endpoint that is to be probed. One that is known to be cut off is not: the probe would only cost
// the caller its time. Endpoints behind the one that is probed keep their timers for the next call.
std::optional<std::size_t> endpoint_set::find_probe(time_point now, bool may_probe,
                                                    std::optional<std::size_t> excluded) {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    run_timers(i, now);
    const endpoint_status& e = endpoints_[i];
    if (e.not_before > now || i == excluded) continue;
    if (e.state == endpoint_state::probing && may_probe && !e.probe_in_flight && e.reachable && !is_full(e))
      return i;
  }
  return std::nullopt;
}

std::vector<std::size_t> endpoint_set::usable_endpoints(time_point now,
                                                        std::optional<std::size_t> excluded) const {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const endpoint_status& e = endpoints_[i];
    if (e.not_before <= now && i != excluded && takes_calls(e)) usable.push_back(i);
  }
  return usable;
}

// Endpoints of one level, which is drawn by the shares of calls that the levels can take
// (failover/locality.hpp).
std::vector<std::size_t> endpoint_set::usable_by_locality(time_point now, std::uint64_t random,
                                                          std::optional<std::size_t> excluded) const {
  std::vector<failover::endpoint_state> states(endpoints_.size());
  std::vector<bool> closed(endpoints_.size());  // not even panic overrides it
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const endpoint_status& e = endpoints_[i];
    closed[i] = e.not_before > now || is_full(e);
    states[i] = {locality_.where[i], takes_calls(e) && e.reachable && !closed[i]};
  }
  const failover::level_shares shares = failover::shares_of(states, locality_.rules);
  std::vector<std::size_t> usable;
  const auto add_level = [&](failover::level level) {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const bool can_take = states[i].able || (shares.panic && !closed[i]);
      if (i != excluded && states[i].where == level && can_take) usable.push_back(i);
    }
  };
  if (const auto drawn = failover::draw(shares, draw_uniform(random))) add_level(*drawn);
  // The drawn level may hold only the excluded one: then the nearest that has another.
  for (std::size_t level = 0; level < failover::levels && usable.empty(); ++level)
    add_level(static_cast<failover::level>(level));
  return usable;
}

// An endpoint that was never called costs nothing, so it is called next: any guess could keep it from calls
// for ever. One that was called and has not answered yet counts as slow as the other: taken for quick, it
// would get all calls until it answers.
double endpoint_set::expected_latency_s(const endpoint_status& e, const endpoint_status& other,
                                        time_point now) const {
  if (e.mean_latency_s > 0) {
    const bool idle = e.in_flight == 0;
    return e.mean_latency_s * (idle ? remembered_share(now - e.idle_since) : 1);
  }
  const bool never_called = e.in_flight + e.bound == 0;
  return never_called ? 0 : std::max(other.mean_latency_s, default_latency_s);
}

double endpoint_set::cost(const endpoint_status& e, const endpoint_status& other, time_point now) const {
  const unsigned load = e.in_flight + e.bound + 1;
  return load * expected_latency_s(e, other, now) / slow_start_weight(e, now);
}

std::optional<std::size_t> endpoint_set::choose(time_point now, std::uint64_t random, bool may_probe,
                                                std::optional<std::size_t> excluded) {
  if (const auto probed = find_probe(now, may_probe, excluded)) return probed;
  const std::vector<std::size_t> usable =
      locality_.where.empty() ? usable_endpoints(now, excluded) : usable_by_locality(now, random, excluded);
  if (usable.empty()) return std::nullopt;
  const auto [first, second] = draw_two(usable, random);
  const endpoint_status& a = endpoints_[first];
  const endpoint_status& b = endpoints_[second];
  return cost(b, a, now) < cost(a, b, now) ? second : first;
}

std::optional<time_point> endpoint_set::next_usable_at(time_point now) const {
  std::optional<time_point> next;
  for (const endpoint_status& e : endpoints_) {
    if (e.state == endpoint_state::probing && e.probe_in_flight) continue;
    if (!e.reachable || is_full(e)) continue;  // no time is known at which that ends
    const time_point ejected_until = e.state == endpoint_state::ejected ? e.ejected_until : time_point{};
    const time_point usable_at = std::max(e.not_before, ejected_until);
    if (usable_at <= now) return std::nullopt;
    if (!next || usable_at < *next) next = usable_at;
  }
  return next;
}

// ---- Calls ------------------------------------------------------------------------------------------------

void endpoint_set::on_start(std::size_t endpoint) {
  endpoint_status& e = endpoints_[endpoint];
  e.was_idle = e.in_flight == 0;
  ++e.in_flight;
  if (e.state == endpoint_state::probing) e.probe_in_flight = true;
}

void endpoint_set::on_end(std::size_t endpoint, time_point now, duration took, call_outcome outcome) {
  endpoint_status& e = endpoints_[endpoint];
  if (e.in_flight > 0) --e.in_flight;
  // What was known counts as little in the new mean as it did when the call was placed.
  const bool was_idle = std::exchange(e.was_idle, false);
  const double remembered = was_idle ? remembered_share(now - took - e.idle_since) : 1;
  if (e.in_flight == 0) e.idle_since = now;
  const bool was_probe = e.state == endpoint_state::probing;
  if (was_probe) e.probe_in_flight = false;
  if (outcome == call_outcome::cancelled) return;
  update_latency(e, took, remembered);
  count_in_sample(e);
  if (outcome == call_outcome::succeeded) {
    on_success(endpoint, now, was_probe);
  } else {
    on_failure(endpoint, now, was_probe);
  }
}

void endpoint_set::on_rejected(std::size_t endpoint, time_point until) {
  endpoint_status& e = endpoints_[endpoint];
  e.not_before = std::max(e.not_before, until);
}

void endpoint_set::update_latency(endpoint_status& e, duration took, double remembered) {
  const double took_s = seconds(took);
  if (e.mean_latency_s <= 0) {
    e.mean_latency_s = took_s;
    return;
  }
  const double weight = std::max(1 / latency_mean_calls, 1 - remembered);
  e.mean_latency_s += (took_s - e.mean_latency_s) * weight;
}

// Old calls count half once the sample is full twice over.
void endpoint_set::count_in_sample(endpoint_status& e) {
  if (++e.sample_calls < 2 * rules_.sample) return;
  e.sample_calls /= 2;
  e.sample_failures /= 2;
}

// ---- Ejection and recovery --------------------------------------------------------------------------------

void endpoint_set::on_success(std::size_t endpoint, time_point now, bool was_probe) {
  endpoint_status& e = endpoints_[endpoint];
  e.failures_in_row = 0;
  if (!was_probe || ++e.probes_succeeded < rules_.probes) return;
  e.slow_start_since = now;
  e.ejections_in_row = 0;
  e.sample_calls = 0;
  e.sample_failures = 0;
  enter(endpoint, endpoint_state::slow_start, "is back");
}

// An endpoint is ejected for a probe that failed, for failures in a row, or for a share of failures.
void endpoint_set::on_failure(std::size_t endpoint, time_point now, bool was_probe) {
  endpoint_status& e = endpoints_[endpoint];
  ++e.failures_in_row;
  ++e.sample_failures;
  if (was_probe) {
    eject(endpoint, now, "failed its probe");
    return;
  }
  if (e.state == endpoint_state::ejected) return;
  const bool sample_is_full = e.sample_calls >= rules_.sample;
  if (e.failures_in_row >= rules_.failures) {
    eject(endpoint, now, "failed several times in a row");
  } else if (sample_is_full && e.sample_failures >= rules_.failing * e.sample_calls) {
    eject(endpoint, now, "fails too often");
  }
}

// Where more fail, the cause is likely elsewhere: the endpoints that are left are called, failing or not.
bool endpoint_set::may_eject_one_more() const {
  const double most = rules_.most_out * static_cast<double>(endpoints_.size());
  return static_cast<double>(ejected_count() + 1) <= most;
}

void endpoint_set::eject(std::size_t endpoint, time_point now, const char* reason) {
  endpoint_status& e = endpoints_[endpoint];
  const bool counts_already = e.state == endpoint_state::probing;
  if (!counts_already && !may_eject_one_more()) return;
  const unsigned doublings = std::min(e.ejections_in_row, most_ejection_doublings);
  const auto factor = static_cast<double>(std::uint64_t{1} << doublings);
  const auto ejection = std::chrono::duration_cast<duration>(rules_.out * factor);
  e.ejected_until = now + std::min(ejection, rules_.longest_out);
  ++e.ejections_in_row;
  e.probes_succeeded = 0;
  e.failures_in_row = 0;
  e.sample_calls = 0;
  e.sample_failures = 0;
  enter(endpoint, endpoint_state::ejected, reason);
}

void endpoint_set::enter(std::size_t endpoint, endpoint_state state, const std::string& reason) {
  endpoints_[endpoint].state = state;
  changes_.push_back({endpoint, reason});
}

}  // namespace marblewharf::upstream
