// The state of one dependency for fan-out: its endpoints, its limit of calls in flight, its latency, and its
// retry and hedge budgets. Implements the rules for placing, retrying and hedging calls. Free of I/O; time
// and random numbers are passed in. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>

#include "fan_out/messages.hpp"
#include "upstream/adaptive_limit.hpp"
#include "upstream/endpoint_set.hpp"
#include "upstream/latency_estimator.hpp"
#include "upstream/plan.hpp"
#include "upstream/retry_budget.hpp"

namespace marblewharf::fan_out {

// A sub-request that waits until the limit of calls in flight allows its call.
struct queued_sub_request {
  fan_out_id request = 0;
  std::size_t part = 0;
};

class dependency_state {
 public:
  explicit dependency_state(const upstream::dependency_rules& rules);

  const upstream::dependency_rules& rules() const { return rules_; }
  upstream::endpoint_set& endpoints() { return endpoints_; }
  const upstream::endpoint_set& endpoints() const { return endpoints_; }
  dependency_counts& counts() { return counts_; }
  const dependency_counts& counts() const { return counts_; }
  std::deque<queued_sub_request>& queue() { return queue_; }
  const std::deque<queued_sub_request>& queue() const { return queue_; }

  // ---- Calls in flight

  // Sets this node's quota share, which applies in addition to the adaptive limit.
  void set_share(double share) { share_ = share; }
  // False if the quota share is below one call: sub-requests then use their fallbacks at once instead of
  // queuing.
  bool has_share() const { return share_ >= 1; }
  // The number of calls that may be in flight: the smaller of adaptive limit and quota share.
  unsigned allowed() const;
  unsigned in_flight() const { return in_flight_; }
  bool has_capacity() const { return in_flight_ < allowed(); }

  // ---- Rules

  // Starts a sub-request: counts its first attempt in the retry and hedge budgets, and returns its deadline
  // (the end of the dependency's budget, but not later than `request_deadline`).
  time_point begin_sub_request(time_point request_deadline, time_point now);
  // The latest time at which a call can start and is still expected to end by the deadline.
  time_point latest_start(time_point deadline) const { return deadline - expected_latency(); }
  bool can_end_in_time(time_point deadline, time_point now) const {
    return now <= latest_start(deadline) && now < deadline;
  }
  // Decides whether a failed sub-request is retried: attempts are left, the retry is expected to end before
  // the deadline, and the retry budget allows it. If so, charges the budget.
  bool try_acquire_retry(unsigned attempts, time_point deadline, time_point now);
  // Decides whether a slow call is hedged: there is capacity, the hedged request is expected to end by the
  // deadline, another endpoint is usable, and the hedge budget allows it. If so, charges the budget and
  // returns the endpoint. A number is drawn from `random` only if an endpoint is to be selected.
  template <typename RandomSource>
  std::optional<std::size_t> try_acquire_hedge(std::size_t used_endpoint, time_point deadline, time_point now,
                                               RandomSource& random) {
    if (!has_capacity() || now + expected_latency() > deadline) return std::nullopt;
    const auto hedge_endpoint = endpoints_.choose(now, random(), false, used_endpoint);
    if (!hedge_endpoint || !hedges_.try_acquire(now)) return std::nullopt;
    return hedge_endpoint;
  }
  // The time after which a call is hedged: the latency quantile of the settings. None: calls are not hedged.
  std::optional<duration> hedge_delay() const;

  // ---- Events of calls

  void on_call_started(std::size_t endpoint);
  void on_call_ended(std::size_t endpoint, time_point now, duration elapsed, upstream::call_outcome outcome);
  // Must precede on_call_ended().
  void on_success(time_point now, duration elapsed);
  // Must precede on_call_ended(). Returns the outcome to report for the endpoint: `cancelled` if the call had
  // so little time that its timeout does not indicate a slow endpoint.
  upstream::call_outcome on_timeout(time_point now, duration elapsed);

 private:
  // The mean of the last few calls. The median of a longer history would block calls long after a stall has
  // ended.
  duration expected_latency() const { return latency_.recent_mean(); }

  upstream::dependency_rules rules_;
  upstream::endpoint_set endpoints_;
  upstream::adaptive_limit limit_;
  upstream::latency_estimator latency_;
  upstream::retry_budget retries_;
  upstream::retry_budget hedges_;
  unsigned in_flight_ = 0;
  double share_ = std::numeric_limits<double>::infinity();
  std::deque<queued_sub_request> queue_;
  dependency_counts counts_;
};

}  // namespace marblewharf::fan_out
