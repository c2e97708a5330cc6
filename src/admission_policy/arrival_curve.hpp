// Orders queued requests by pClock tags: every tenant has an arrival curve, a token bucket of its quota here.
//
// A request inside the curve starts its tag at its arrival; one beyond it is spaced by the quota's interval
// behind its tenant's last. The finish tag adds the latency objective, and the smallest finish tag runs
// first. Tags are kept in shifted time (real time plus all shifts so far), so that a shift moves all of them
// at once and keeps their order.
#pragma once

#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct request_tags {
  time_point start{};   // in shifted time
  time_point finish{};  // in shifted time
  bool spaced = false;  // beyond the curve: it took a place behind its tenant's last
};

class arrival_curves {
 public:
  arrival_curves(const settings& given, time_point now);

  // The tenant that a request of tenant number `given` belongs to: numbers beyond the last mean the last.
  unsigned tenant_of(unsigned given) const;

  // Spends a token of the tenant and tags a request of this objective that arrives now.
  request_tags tag(unsigned tenant, duration objective, time_point now);

  // A request of the tenant entered the queue, or left it.
  void enqueued(unsigned tenant) { ++curves_[tenant].queued; }
  void dequeued(unsigned tenant) { --curves_[tenant].queued; }

  // A request with this start tag was taken from the queue to run.
  void started(unsigned tenant, time_point start_tag);

  // Gives back the token and the place of a request that had no service: retries must not spend their
  // tenant's tokens, and a flooding tenant's tags must not run so far ahead that its share inside the curve
  // starves.
  void refund(unsigned tenant, bool spaced);

  // Requests a second to which all tenants together are entitled here; 0 = no quota is stated.
  double total_quota() const { return total_quota_; }

 private:
  struct curve {
    double rate = 0;   // requests a second; 0 = no curve is known
    double burst = 1;  // requests
    double tokens = 1;
    time_point last_arrival{};
    time_point min_start{};  // start tag that the tenant's next run has, at least
    time_point max_start{};  // where the next spaced request goes
    unsigned queued = 0;
  };

  void shift_tags(time_point now);

  std::vector<curve> curves_;  // by tenant; at least one
  double total_quota_ = 0;
  duration shift_{};  // of all tags so far
};

}  // namespace admission_policy
