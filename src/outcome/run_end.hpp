// How the run of a request ended, as far as this process can know.
#pragma once

namespace marblewharf {

// How a run ended.
enum class run_end {
  succeeded,
  failed,           // the run itself reported a failure
  lost,             // the backend will never report an end; the request may have run
  aborted,          // stopped by the backend after a pause decision
  never_started,    // proven not to have run
  unknown_request,  // the backend does not support such a request and ran nothing
};

// A backend's reply to an inquiry about a request whose outcome the dispatcher does not know.
enum class inquiry_outcome {
  completed,  // the run completed, and the reply contains its result
  never_ran,  // proven not to have run
  unknown,    // the backend does not know the outcome or did not reply
};

namespace outcome {

// What becomes of the idempotency key of a run.
enum class key_disposition {
  record_result,  // duplicates get the recorded result
  release,        // the request certainly had no effect: a duplicate may run
  keep_unknown,   // the request may have had an effect: no duplicate runs
};

// The end of a transaction that this process has decided and logged: an abort has no effect at any
// participant.
run_end end_of_decision(bool committed);

// The end of a handler in this process: without a complete response, it may have had an effect.
run_end end_of_handler(bool has_response);

key_disposition disposition_of(run_end end);
key_disposition disposition_of(inquiry_outcome reply);

}  // namespace outcome
}  // namespace marblewharf
