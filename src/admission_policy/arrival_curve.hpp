// Assigns pClock tags that order queued requests. Each tenant has an arrival curve: a token bucket with the
// tenant's quota at this server.
//
// The start tag of a request within the curve is its arrival time. The start tag of a request that exceeds
// the curve is one interval of the quota's rate after the previous such request of the tenant, but not before
// its arrival. The finish tag is the start tag plus the latency objective; the request with the smallest
// finish tag runs first. Tags are in shifted time (real time plus the sum of all shifts), so that a shift
// changes all tags at once and keeps their order.
#pragma once

#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct request_tags {
  time_point start{};          // in shifted time
  time_point finish{};         // in shifted time
  bool exceeds_curve = false;  // the tenant had less than one token left on arrival
};

class arrival_curves {
 public:
  arrival_curves(const settings& policy_settings, time_point now);

  // Maps a tenant number of an arrival to a configured tenant. Numbers beyond the last tenant map to the
  // last.
  unsigned tenant_of(unsigned tenant_number) const;

  // Takes a token of the tenant and returns the tags of a request that arrives now.
  request_tags tag(unsigned tenant, duration objective, time_point now);

  // Record that a request of the tenant entered or left the queue.
  void enqueued(unsigned tenant) { ++curves_[tenant].queued; }
  void dequeued(unsigned tenant) { --curves_[tenant].queued; }

  // Records that a request with this start tag left the queue to run.
  void started(unsigned tenant, time_point start_tag);

  // Returns the token and the interval of a request that got no service. Without a refund, retries would use
  // up their tenant's tokens, and the tags of a flooding tenant would run so far ahead that its requests
  // within the curve would starve.
  void refund(unsigned tenant, bool exceeds_curve);

  // Sum of the tenants' quotas at this server in requests per second; 0 = no quota is configured.
  double total_quota() const { return total_quota_; }

 private:
  struct curve {
    double rate = 0;   // requests per second; 0 = no quota
    double burst = 1;  // requests
    double tokens = 1;
    time_point last_arrival{};
    time_point min_start{};  // MinS of pClock: lower bound of the start tags of queued requests
    time_point max_start{};  // MaxS of pClock: start tag of the next request that exceeds the curve
    unsigned queued = 0;
  };

  void shift_tags(time_point now);

  std::vector<curve> curves_;  // by tenant; at least one
  double total_quota_ = 0;
  duration total_shift_{};  // sum of all shifts
};

}  // namespace admission_policy
