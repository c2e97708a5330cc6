// Token buckets for this server's shares of rate limits that are divided among servers. The limit holds in
// total because each server stays within its share.
#pragma once

#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy {

struct rate_decision {
  bool admitted = true;
  duration retry_after{};  // for a request that is not admitted: time until a token may be available
};

class rate_quota_buckets {
 public:
  // Replaces all quotas. A bucket for the same tenant and class keeps its tokens, up to its new burst.
  void update(const std::vector<rate_quota>& quotas, time_point now);

  // Takes a token from every bucket that covers the request, or from none if any of them is empty.
  // `next_quota_in`: the retry-after if an empty bucket has rate 0 and therefore does not refill.
  rate_decision take(unsigned tenant, unsigned request_class, duration next_quota_in, time_point now);

 private:
  struct bucket {
    rate_quota quota;
    double tokens = 1;
    time_point last_fill{};

    bool covers(unsigned tenant, unsigned request_class) const;
    void fill(time_point now);
  };

  std::vector<bucket> buckets_;
};

}  // namespace admission_policy
