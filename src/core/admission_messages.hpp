// The messages between the dispatcher and the admission policy: facts about requests go in, decisions about
// them come out. Both name a request by the dispatcher's id.
#pragma once

#include <variant>

#include "core/request.hpp"

namespace marblewharf {

// ---- Facts ------------------------------------------------------------------------------------------------

struct arrived {
  request_id id{};
  const request* what = nullptr;  // read during the call only
  // The request whose outcome it is to share; its own id: an outcome that is stored or inquired about; 0:
  // none.
  request_id duplicate_of = 0;
};

// A run ended, or a request that shares an outcome was answered.
struct completed {
  request_id id{};
  run_end how{};
  duration elapsed{};
};

// The client no longer waits for an answer.
struct cancelled {
  request_id id{};
};

// A run cannot go on before it has made its dependency call.
struct call_needed {
  request_id id{};
};

// A run's dependency call ended, with or without a result.
struct call_completed {
  request_id id{};
  duration elapsed{};
};

struct shutdown_notice {
  duration time_left{};  // until the process is stopped
};

// The limits on this node's part of the cluster's quotas.
using quota_update = admission_policy::quota_update;

// ---- Decisions --------------------------------------------------------------------------------------------

// Start the request. Each request is started once; see `resume`.
struct run {
  request_id id{};
};

struct pause {
  request_id id{};
};

struct resume {
  request_id id{};
};

// Answer with response_status::rejected: the request was not started.
struct reject {
  request_id id{};
  duration retry_after{};
  bool no_retry_elsewhere = false;
};

// Answer with response_status::failed, without any assurance whether it ran.
struct fail {
  request_id id{};
  duration retry_after{};
};

// The policy counts the memory of the request's idempotency key from here until it is answered.
struct retain_key {
  request_id id{};
};

// The policy no longer counts the request's idempotency key: it never ran.
struct forget_key {
  request_id id{};
};

// Answer with the outcome of the request that this one duplicates.
struct share_result {
  request_id id{};
};

struct place_call {
  request_id id{};
  duration limit{};
};

struct skip_call {
  request_id id{};
};

// What health checks are to report.
struct set_health {
  bool good = true;
};

// Close client connections that have been idle for this long; 0 = never.
struct close_idle {
  duration after{};
};

using admission_decision = std::variant<run, pause, resume, reject, fail, retain_key, forget_key,
                                        share_result, place_call, skip_call, set_health, close_idle>;

}  // namespace marblewharf
