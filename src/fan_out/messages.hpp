// What goes into the fan-out state machine and what comes out of it: identifiers, results of calls,
// sub-responses and actions.
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

using fan_out_id = std::uint32_t;  // of a request; chosen by the caller
using call_id = std::uint64_t;

// How a call ended.
enum class call_result {
  succeeded,  // a whole response came
  failed,     // an error, an unreadable response, or a lost connection
  rejected,   // rejected with a retry-after: nothing was done
};

// Where a sub-response came from.
enum class sub_response_state {
  missing,
  fresh,     // from its own dependency, now
  stale,     // an earlier fresh one of the same subject
  fallback,  // from another dependency, or a fixed text
};

struct sub_response {
  sub_response_state state = sub_response_state::missing;
  duration age{};  // of a stale one
  std::string bytes;
};

// ---- Actions ----------------------------------------------------------------------------------------------

// The call is to be made; on_result() reports its end.
struct start_call {
  call_id id = 0;
  fan_out_id request = 0;
  std::size_t dependency = 0;
  std::size_t endpoint = 0;
  duration budget{};  // until the call is cancelled
};
// The call is to be abandoned; its end is not to be reported.
struct cancel_call {
  call_id id = 0;
};
// The request has ended.
struct request_finished {
  fan_out_id id = 0;
  bool complete = false;  // all sub-responses are fresh
  std::optional<std::size_t>
      missing_required;             // the required sub-response that is missing: the request has failed
  std::vector<sub_response> parts;  // in the order of the plan
};
// An endpoint was ejected, is probed, or is back. For the log.
struct endpoint_changed {
  std::size_t dependency = 0;
  std::size_t endpoint = 0;
  std::string reason;
};
using action = std::variant<start_call, cancel_call, request_finished, endpoint_changed>;

// ---- Statistics -------------------------------------------------------------------------------------------

// Of one dependency, since the start.
struct dependency_counts {
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t rejected = 0;          // by the dependency, with a retry-after
  std::uint64_t without_capacity = 0;  // sub-requests that got no call in flight
  std::uint64_t ejections = 0;         // of endpoints
  // Sub-responses of the plans' parts that belong to this dependency.
  std::uint64_t fresh = 0;
  std::uint64_t stale = 0;
  std::uint64_t fallback = 0;
  std::uint64_t missing = 0;
  std::chrono::nanoseconds stale_age{};                    // of stale sub-responses, together
  std::chrono::nanoseconds time_in_calls{};                // of all calls, together
  std::array<std::uint64_t, failover::levels> at_level{};  // calls by locality, where places are known
};

}  // namespace marblewharf::fan_out
