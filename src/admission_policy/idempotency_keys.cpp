#include "admission_policy/idempotency_keys.hpp"

namespace admission_policy {

void idempotency_keys::retain(request_id id, time_point expiry) {
  by_expiry_.emplace(expiry, id);
  expiry_by_id_[id] = expiry;
}

bool idempotency_keys::forget(request_id id) {
  const auto found = expiry_by_id_.find(id);
  if (found == expiry_by_id_.end()) return false;
  by_expiry_.erase({found->second, id});
  expiry_by_id_.erase(found);
  return true;
}

bool idempotency_keys::expire_one(time_point now) {
  if (by_expiry_.empty() || by_expiry_.begin()->first > now) return false;
  expiry_by_id_.erase(by_expiry_.begin()->second);
  by_expiry_.erase(by_expiry_.begin());
  return true;
}

}  // namespace admission_policy
