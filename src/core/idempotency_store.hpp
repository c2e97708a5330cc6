// The interface between the dispatcher and what stores the keys and results of keyed requests. No call here
// waits for a disk: whatever takes one is answered later, through idempotency_observer. Both sides run on the
// dispatcher's thread.
#pragma once

#include <string_view>

#include "core/key_claim.hpp"
#include "core/request.hpp"

namespace marblewharf {

// What the store says of a keyed request that arrives.
struct claim_result {
  claim_status status = claim_status::primary;
  request_id primary = 0;  // where coalesced: the request whose outcome it shares
  duration retry_after{};  // where there is no capacity
};

class idempotency_store {
 public:
  virtual ~idempotency_store() = default;

  // A request arrives with a key. One whose status is `primary` or `inquiry_primary` owns the key from here
  // on until close_primary().
  virtual claim_result claim(request_id id, const request& what) = 0;

  // Writes the intent to run a primary; on_intent_written() follows.
  virtual void write_intent(request_id primary, const request& what) = 0;
  // Records the result of a primary whose run ended; on_result_recorded() follows. False: the key's state
  // allows no result, nothing was recorded.
  virtual bool record_result(request_id primary, bool succeeded, std::string_view result) = 0;
  // The end of the primary's run will never be reported: its key stays in an unknown outcome.
  virtual void mark_outcome_unknown(request_id primary) = 0;
  // The primary is proven never to have run: its key is free again.
  virtual void release_key(request_id primary) = 0;
  // An inquiry about the primary's outcome brought nothing. Returns the delay before the next one; 0 = no
  // further one.
  virtual duration schedule_inquiry_retry(request_id primary) = 0;
  // Nothing more will be called for this primary.
  virtual void close_primary(request_id primary) = 0;

  // Reads the stored result for a request whose status is `completed`; on_result_fetched() follows, unless
  // the request's claim has expired meanwhile.
  virtual void fetch_result(request_id id) = 0;
};

enum class fetch_outcome {
  succeeded,
  run_failed,  // stored is that the run had failed
  unreadable,
};

struct fetched_result {
  fetch_outcome outcome = fetch_outcome::unreadable;
  std::string_view bytes{};  // where it succeeded; valid during the call only
};

// Told by the store what it was asked for earlier.
class idempotency_observer {
 public:
  virtual ~idempotency_observer() = default;
  // `durable` false: the intent could not be written and the key is free again; the primary must not run.
  virtual void on_intent_written(request_id primary, bool durable) = 0;
  virtual void on_result_recorded(request_id primary) = 0;
  virtual void on_result_fetched(request_id id, const fetched_result& fetched) = 0;
};

}  // namespace marblewharf
