// Token buckets for the shares of rate limits that are divided among servers: each server keeps to its part,
// so that the limit holds over all of them.
#pragma once

#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct rate_decision {
  bool admitted = true;
  duration retry_after{};  // where not admitted: when a token may be there
};

class rate_quota_buckets {
 public:
  // Replaces all quotas. A bucket whose tenant and class stay keeps its tokens, up to its new burst.
  void update(const std::vector<rate_quota>& quotas, time_point now);

  // Takes a token from every bucket that a request falls under, or from none. `next_quota_in` is the advice
  // of a bucket without a rate.
  rate_decision take(unsigned tenant, unsigned request_class, duration next_quota_in, time_point now);

 private:
  struct bucket {
    rate_quota quota;
    double tokens = 1;
    time_point filled{};

    bool covers(unsigned tenant, unsigned request_class) const;
    void fill(time_point now);
  };

  std::vector<bucket> buckets_;
};

}  // namespace admission_policy
