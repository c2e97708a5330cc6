#include "admission_policy/idempotency_keys.hpp"

namespace admission_policy {

void idempotency_keys::retain(request_id id, time_point until) {
  by_expiry_.emplace(until, id);
  expiry_[id] = until;
}

bool idempotency_keys::forget(request_id id) {
  const auto found = expiry_.find(id);
  if (found == expiry_.end()) return false;
  by_expiry_.erase({found->second, id});
  expiry_.erase(found);
  return true;
}

bool idempotency_keys::expire_one(time_point now) {
  if (by_expiry_.empty() || by_expiry_.begin()->first > now) return false;
  expiry_.erase(by_expiry_.begin()->second);
  by_expiry_.erase(by_expiry_.begin());
  return true;
}

}  // namespace admission_policy
