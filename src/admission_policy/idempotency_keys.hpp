// Expiry times of the idempotency keys that the host retains.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class idempotency_keys {
 public:
  std::size_t size() const { return by_expiry_.size(); }

  // Records that the host retains the key of this request until `expiry`.
  void retain(request_id id, time_point expiry);

  // Removes the key of a request that never ran. Returns false if no key is retained for the request.
  bool forget(request_id id);

  // Removes the key with the earliest expiry if it has expired. Returns false if no key has expired.
  bool expire_one(time_point now);

 private:
  std::set<std::pair<time_point, request_id>> by_expiry_;
  std::map<request_id, time_point> expiry_by_id_;
};

}  // namespace admission_policy
