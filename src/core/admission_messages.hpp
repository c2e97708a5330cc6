// Messages between the dispatcher and the admission policy: the dispatcher reports facts about requests, and
// the policy replies with decisions. Both identify a request by the id that the dispatcher assigned.
#pragma once

#include <variant>

#include "core/request.hpp"

namespace marblewharf {

// ---- Facts ------------------------------------------------------------------------------------------------

struct arrived {
  request_id id{};
  const request* details = nullptr;  // read only during the call
  // The request whose outcome this request shares. The request's own id: the outcome is stored, or the
  // backend is asked for it. 0: the request is not a duplicate.
  request_id duplicate_of = 0;
};

// A run ended, or a request that shares the outcome of another request was answered.
struct completed {
  request_id id{};
  run_end end{};
  duration elapsed{};
};

// The client no longer waits for an answer.
struct cancelled {
  request_id id{};
};

// A run has to make its dependency call before it can continue.
struct call_needed {
  request_id id{};
};

// The dependency call of a run ended, successfully or not.
struct call_completed {
  request_id id{};
  duration elapsed{};
};

struct shutdown_notice {
  duration time_left{};  // until the process is killed
};

// The limits of this node's share of the cluster's quotas.
using quota_update = admission_policy::quota_update;

// ---- Decisions --------------------------------------------------------------------------------------------

// Start the request. Sent once for each request; a paused run continues with `resume`.
struct run {
  request_id id{};
};

// Stop the run: pause or abort it, according to the halt mode of the settings.
struct pause {
  request_id id{};
};

// Continue a paused run.
struct resume {
  request_id id{};
};

// Answer with response_status::rejected: the request was not started.
struct reject {
  request_id id{};
  duration retry_after{};
  bool no_retry_elsewhere = false;
};

// Answer with response_status::failed: the request may or may not have run.
struct fail {
  request_id id{};
  duration retry_after{};
};

// The policy counts the memory of the request's idempotency key from now until the request is answered.
struct retain_key {
  request_id id{};
};

// The policy no longer counts the memory of the idempotency key of a request that never ran.
struct forget_key {
  request_id id{};
};

// Answer with the outcome of the request that this one duplicates.
struct share_result {
  request_id id{};
};

// The run may make its dependency call.
struct place_call {
  request_id id{};
  duration limit{};  // timeout of the call
};

// The run continues without its dependency call.
struct skip_call {
  request_id id{};
};

// Set the answer to health checks.
struct set_health {
  bool healthy = true;
};

// Close client connections that have been idle for this long; 0 = never.
struct close_idle {
  duration idle_timeout{};
};

using admission_decision = std::variant<run, pause, resume, reject, fail, retain_key, forget_key,
                                        share_result, place_call, skip_call, set_health, close_idle>;

}  // namespace marblewharf
