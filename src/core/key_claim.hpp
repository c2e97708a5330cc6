// What a request with an idempotency key meets when it arrives.
#pragma once

namespace marblewharf {

enum class claim_status {
  primary,          // the key was unknown: this request is to run for it
  coalesced,        // another request with the key is under way: this one shares its outcome
  completed,        // the result is stored
  outcome_unknown,  // a run began and nobody knows how it ended
  inquiry_primary,  // the same, and this request is to ask the backend for the outcome
  key_conflict,     // the key was used with another fingerprint
  no_capacity,      // no further key can be taken for now
};

}  // namespace marblewharf
