// Requests and their answers, independent of any wire protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "admission_policy/policy.hpp"
#include "outcome/run_end.hpp"

namespace marblewharf {

using admission_policy::duration;
using admission_policy::request_id;
using admission_policy::time_point;

struct request {
  std::string operation;  // operation name that the backend expects
  std::string payload;    // passed to the backend unchanged
  unsigned request_class = 0;
  unsigned tenant = 0;
  unsigned caller = 0;
  std::uint64_t resource_id = 0;  // identifies the object that the request reads; 0 = not stated
  double reserved_kb = 0;         // memory that the request occupies while it is queued, KB
  duration expected_work{};       // estimated work on one core; 0 = not stated
  duration read_delay{};          // from arrival at the host until the process reads the request
  time_point arrival_time{};      // at the host, on the dispatcher's clock
  double rank = 0;                // position among requests of the same class, 0 to 1
  std::string key;                // idempotency key of the client; empty: the request has none
  std::uint64_t fingerprint = 0;  // hash of the request's content; equal for all duplicates of a request
  // The backend's server that the run of a keyed request is or was sent to, by its name in the settings.
  // Empty: the backend does not distinguish servers, or the server is not known.
  std::string server;
};

enum class response_status { served, rejected, failed };

// The final answer to a request. Each request gets exactly one.
struct answer {
  response_status status = response_status::failed;
  std::string_view result{};        // if served
  duration retry_after{};           // 0 = not specified
  bool no_retry_elsewhere = false;  // if rejected: other servers would reject the request, too
  // If failed:
  bool deadline_exceeded = false;
  bool unknown_request = false;  // the client sent a request that the backend does not support
  bool outcome_unknown = false;  // a keyed request that may have run and is not run again
  bool key_conflict = false;     // the key was used before with another fingerprint; the request did not run
};

}  // namespace marblewharf
