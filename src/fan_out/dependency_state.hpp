// One dependency as fan-out sees it: its endpoints, its limit of calls in flight, its latency and its retry
// and hedge budgets. Each rule on calls stands here once. Free of I/O; time and randomness are handed in. One
// thread at a time.
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

// A sub-request that waits for a call in flight.
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

  // This node's quota share, beside the limit that adapts to the dependency's latency.
  void set_share(double most) { share_ = most; }
  // Under one call, sub-requests are not queued: they fall back at once.
  bool has_share() const { return share_ >= 1; }
  unsigned allowed() const;
  unsigned in_flight() const { return in_flight_; }
  bool has_capacity() const { return in_flight_ < allowed(); }

  // ---- Rules

  // A sub-request begins: it counts in the retry and hedge budgets. Returns its deadline: within the
  // dependency's budget, and no later than `request_deadline`.
  time_point begin_sub_request(time_point request_deadline, time_point now);
  // When a call has to begin so that it can be expected to end by the deadline.
  time_point latest_start(time_point deadline) const { return deadline - expected_latency(); }
  bool can_end_in_time(time_point deadline, time_point now) const {
    return now <= latest_start(deadline) && now < deadline;
  }
  // Whether a sub-request that failed is tried again: it has attempts left, the next one can be expected to
  // end before the deadline, and the retry budget allows it, which then is charged.
  bool take_retry(unsigned attempts, time_point deadline, time_point now);
  // Whether a call that takes long gets a hedged request beside it: there is capacity for it, it can be
  // expected to end by the deadline, there is another endpoint, and the hedge budget allows it, which then is
  // charged. Returns the endpoint. `random`: drawn only where it comes to a choice.
  template <typename RandomSource>
  std::optional<std::size_t> take_hedge(std::size_t used_endpoint, time_point deadline, time_point now,
                                        RandomSource& random) {
    if (!has_capacity() || now + expected_latency() > deadline) return std::nullopt;
    const auto other = endpoints_.choose(now, random(), false, used_endpoint);
    if (!other || !hedges_.try_acquire(now)) return std::nullopt;
    return other;
  }
  // How long a call may take before it is hedged: longer than nearly all do. None: it is not hedged.
  std::optional<duration> hedge_delay() const;

  // ---- Events of calls

  void on_call_started(std::size_t endpoint);
  void on_call_ended(std::size_t endpoint, time_point now, duration took, upstream::call_outcome outcome);
  // Before on_call_ended().
  void on_success(time_point now, duration took);
  // Before on_call_ended(). A call that had little time to begin with says nothing of its endpoint: the
  // result is the outcome that counts.
  upstream::call_outcome on_timeout(time_point now, duration took);

 private:
  // The mean of the last few calls. A median of many would keep calls back long after a stall is over.
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
