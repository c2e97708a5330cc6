#include "idempotency/key_table_service.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr duration expiry_interval = std::chrono::milliseconds(100);

}  // namespace

void key_table_service::mark_outcome_unknown(request_id primary) {
  table_.mark_outcome_unknown(primary_key(primary).key);
}

key_claim key_table_service::claim_key(request_id id, const key_id& key, std::uint64_t fingerprint,
                                       std::chrono::nanoseconds window, const request& claimant) {
  const key_claim claim = table_.claim(key, fingerprint, id, window, clock_.at(claimant.arrival_time));
  count(claim.status);
  if (claim.status == claim_status::primary || claim.status == claim_status::inquiry_primary)
    primaries_[id] = {key, fingerprint, table_.expiry_of(key)};
  return claim;
}

claim_result key_table_service::to_result(const key_claim& claim) {
  return {claim.status, claim.primary, claim.retry_after};
}

void key_table_service::count(claim_status status) {
  switch (status) {
    case claim_status::primary:
    case claim_status::inquiry_primary: break;
    case claim_status::coalesced: ++counters_.coalesced_duplicates; break;
    case claim_status::completed: ++counters_.answered_duplicates; break;
    case claim_status::outcome_unknown: ++counters_.duplicates_of_unknown_outcome; break;
    case claim_status::key_conflict: ++counters_.key_conflicts; break;
    case claim_status::no_capacity: ++counters_.rejected_for_key_capacity; break;
  }
}

bool key_table_service::expiry_is_due(time_point now) {
  if (now < next_expiry_) return false;
  next_expiry_ = now + expiry_interval;
  return true;
}

void key_table_service::publish_key_counts() {
  stored_keys_.set(table_.size());
  unknown_outcomes_.set(table_.outcomes_unknown());
}

}  // namespace marblewharf::idempotency
