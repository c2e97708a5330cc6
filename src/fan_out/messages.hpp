// Input and output types of the fan-out state machine: identifiers, results of calls, sub-responses and
// actions.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/request.hpp"
#include "failover/locality.hpp"

namespace marblewharf::fan_out {

using fan_out_id = std::uint32_t;  // identifies a request; chosen by the caller
using call_id = std::uint64_t;

// How a call ended.
enum class call_result {
  succeeded,  // a complete response was received
  failed,     // an error, an invalid response, or a lost connection
  rejected,   // rejected with a retry-after; the dependency did not process the request
};

// Where a sub-response came from.
enum class sub_response_state {
  missing,
  fresh,     // response of its own dependency to this request
  stale,     // cached response of its own dependency to an earlier request for the same subject
  fallback,  // response of another dependency, or a fixed text
};

struct sub_response {
  sub_response_state state = sub_response_state::missing;
  duration age{};  // age of a stale sub-response
  std::string bytes;
};

// ---- Actions ----------------------------------------------------------------------------------------------

// Requests that the call be made; on_result() must report its end.
struct start_call {
  call_id id = 0;
  fan_out_id request = 0;
  std::size_t dependency = 0;
  std::size_t endpoint = 0;
  duration budget{};  // time after which the call is cancelled
};
// Requests that the call be cancelled; its end must not be reported.
struct cancel_call {
  call_id id = 0;
};
// Reports the end of the request.
struct request_finished {
  fan_out_id id = 0;
  bool complete = false;  // all sub-responses are fresh
  // The part whose sub-response is required and missing: the request has failed. None: it has succeeded.
  std::optional<std::size_t> missing_required;
  std::vector<sub_response> parts;  // in the order of the plan
};
// Reports for the log that an endpoint was ejected, is probed, or has recovered.
struct endpoint_changed {
  std::size_t dependency = 0;
  std::size_t endpoint = 0;
  std::string reason;
};
using action = std::variant<start_call, cancel_call, request_finished, endpoint_changed>;

// ---- Statistics -------------------------------------------------------------------------------------------

// Counters of one dependency since the start of the process.
struct dependency_counts {
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t rejected = 0;          // calls that the dependency rejected with a retry-after
  std::uint64_t without_capacity = 0;  // sub-requests that received no call because of a limit
  std::uint64_t ejections = 0;         // ejections of endpoints
  // Sub-responses to parts whose own dependency is this one, by state.
  std::uint64_t fresh = 0;
  std::uint64_t stale = 0;
  std::uint64_t fallback = 0;
  std::uint64_t missing = 0;
  std::chrono::nanoseconds stale_age{};      // sum over all stale sub-responses
  std::chrono::nanoseconds time_in_calls{};  // sum over all calls
  // Calls by locality level, if the places are known.
  std::array<std::uint64_t, failover::level_count> calls_by_level{};
};

}  // namespace marblewharf::fan_out
