// Interface between the dispatcher and the stores of keys and results of keyed requests. No function waits
// for the disk: the store reports the end of each disk operation later, through idempotency_observer. Both
// sides run on the dispatcher's thread.
#pragma once

#include <string>
#include <string_view>

#include "core/claim_status.hpp"
#include "core/request.hpp"

namespace marblewharf {

// The store's reply to the arrival of a keyed request.
struct claim_result {
  claim_status status = claim_status::primary;
  request_id primary = 0;  // if coalesced: the request whose outcome is shared
  duration retry_after{};  // if there is no capacity
  std::string server{};    // if the primary has to inquire: the server that the intent names, if any
};

class idempotency_store {
 public:
  virtual ~idempotency_store() = default;

  // Looks up the key of a request that arrives. A request whose status is `primary` or `inquiry_primary` owns
  // the key until close_primary().
  virtual claim_result claim(request_id id, const request& details) = 0;

  // Writes the intent to run a primary at `details.server`; on_intent_written() follows. Called again if the
  // run goes to another server, because the first one could not be reached.
  virtual void write_intent(request_id primary, const request& details) = 0;
  // Records the result of a primary whose run ended; on_result_recorded() follows. Returns false if the state
  // of the key does not allow a result; nothing is recorded then.
  virtual bool record_result(request_id primary, bool succeeded, std::string_view result) = 0;
  // Marks the outcome of the primary's key as unknown: the end of its run will never be reported.
  virtual void mark_outcome_unknown(request_id primary) = 0;
  // Frees the key of a primary that is proven not to have run.
  virtual void release_key(request_id primary) = 0;
  // Counts an inquiry about the primary that did not determine the outcome. Returns the delay before the next
  // inquiry; 0 = no further inquiry.
  virtual duration schedule_inquiry_retry(request_id primary) = 0;
  // Ends the primary's ownership of its key. No further call follows for this primary.
  virtual void close_primary(request_id primary) = 0;
  // The handling of a request failed with an exception, maybe one of this store. Ends all that the store
  // holds for the request, if anything: a key that has not run is free again, the outcome of one that may
  // have run is unknown. No further call follows for this request.
  virtual void abandon(request_id id) = 0;

  // Reads the stored result for a request whose status is `completed`; on_result_fetched() follows, unless
  // the request's claim expires first. If another process runs the key, it follows the end of that run.
  virtual void fetch_result(request_id id) = 0;
};

enum class fetch_outcome {
  succeeded,
  run_failed,       // the stored record says that the run failed
  unreadable,       // the stored result could not be read
  outcome_unknown,  // the request may have run in another process, which will not report the outcome
  never_ran,        // proven not to have run in another process
};

struct fetched_result {
  fetch_outcome outcome = fetch_outcome::unreadable;
  std::string_view bytes{};  // result of a successful run; valid only during the call
};

// Receives the store's replies to earlier calls.
class idempotency_observer {
 public:
  virtual ~idempotency_observer() = default;
  // If `durable` is false, the intent could not be written and the key is free again: the primary must not
  // run.
  virtual void on_intent_written(request_id primary, bool durable) = 0;
  virtual void on_result_recorded(request_id primary) = 0;
  virtual void on_result_fetched(request_id id, const fetched_result& fetched) = 0;
};

}  // namespace marblewharf
