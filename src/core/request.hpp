// Requests, the ends of their runs and their answers, free of any wire.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "admission_policy/policy.hpp"

namespace marblewharf {

using admission_policy::duration;
using admission_policy::request_id;
using admission_policy::time_point;

struct request {
  std::string label;    // the backend's name for it
  std::string payload;  // for the backend, as the client sent it
  unsigned request_class = 0;
  unsigned tenant = 0;
  unsigned caller = 0;
  std::uint64_t subject = 0;  // what a read is about; 0 = not stated
  double reserved_kb = 0;
  duration expected_work{};       // on one core; 0 = not stated
  duration read_delay{};          // between its arrival at the machine and its reading
  time_point arrived{};           // at the machine, by the dispatcher's clock
  double rank = 0;                // among requests of its class, 0 to 1
  std::string key;                // the client's idempotency key; empty: it has none
  std::uint64_t fingerprint = 0;  // hash of what it asks for: the same in each duplicate
};

// How a run ended.
enum class run_end {
  succeeded,
  failed,           // as it says itself
  lost,             // its end will never be reported: it may have run or not
  aborted,          // stopped
  never_started,    // proven: nothing ran
  unknown_request,  // the backend knows no such request, and ran nothing
};

enum class response_status { served, rejected, failed };

// The one final answer.
struct answer {
  response_status status = response_status::failed;
  std::string_view result{};        // where served
  duration retry_after{};           // 0 = no advice
  bool no_retry_elsewhere = false;  // where rejected: no other server would do better
  // Where failed:
  bool deadline_exceeded = false;
  bool unknown_request = false;  // the backend knows no such request: the client made it up
  bool outcome_unknown = false;  // a keyed request that may have run, and will not run again
  bool key_conflict = false;     // its key was used with another fingerprint; it did not run
};

}  // namespace marblewharf
