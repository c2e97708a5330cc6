// The keys that the host was told to retain, until they expire.
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

  // Notes that the key of this request is retained until then.
  void retain(request_id id, time_point until);

  // Forgets the key of a request that never ran. False where none was retained.
  bool forget(request_id id);

  // Drops the key that expired first. False where none has expired by now.
  bool expire_one(time_point now);

 private:
  std::set<std::pair<time_point, request_id>> by_expiry_;
  std::map<request_id, time_point> expiry_;
};

}  // namespace admission_policy
