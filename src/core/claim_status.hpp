// The status of an idempotency key when a request with that key arrives.
#pragma once

namespace marblewharf {

enum class claim_status {
  primary,          // the key was not in use: this request runs and determines the key's outcome
  coalesced,        // another request with the key is in progress: this request shares its outcome
  completed,        // the result for the key is stored
  outcome_unknown,  // a run began for the key, and its outcome is unknown
  inquiry_primary,  // as outcome_unknown, and this request has to ask the backend for the outcome
  key_conflict,     // the key was used with another fingerprint
  no_capacity,      // the store cannot accept another key at present
};

}  // namespace marblewharf
