#include "idempotency/key_table_service.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr duration expiry_interval = std::chrono::milliseconds(100);

}  // namespace

void key_table_service::mark_outcome_unknown(request_id primary) {
  table_.mark_outcome_unknown(primary_key(primary).key);
}

void key_table_service::abandon(request_id id) {
  const auto found = primaries_.find(id);
  if (found == primaries_.end()) return;
  table_.abandon(found->second.key);
  primaries_.erase(found);
}

// The entry is made before the claim, so that no key is claimed for a request that abandon() does not find.
key_claim key_table_service::claim_key(request_id id, const key_id& key, std::uint64_t fingerprint,
                                       std::chrono::nanoseconds window, const request& claimant) {
  const auto added = primaries_.emplace(id, claimed_key{key, fingerprint, 0}).first;
  const key_claim claim = claim_in_table(added, window, claimant);
  count(claim.status);
  if (claim.status == claim_status::primary || claim.status == claim_status::inquiry_primary) {
    added->second.expiry = table_.expiry_of(key);
  } else {
    primaries_.erase(added);
  }
  return claim;
}

key_claim key_table_service::claim_in_table(primary_map::iterator claiming, std::chrono::nanoseconds window,
                                            const request& claimant) {
  const claimed_key& claimed = claiming->second;
  try {
    return table_.claim(claimed.key, claimed.fingerprint, claiming->first, window,
                        clock_.at(claimant.arrival_time));
  } catch (...) {
    primaries_.erase(claiming);
    throw;
  }
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
