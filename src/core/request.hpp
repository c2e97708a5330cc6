// Requests, attempts at them and their outcomes, free of any wire.
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
  std::string payload;  // for the backend, as it came
  unsigned request_class = 0;
  unsigned tenant = 0;
  unsigned caller = 0;
  std::uint64_t subject = 0;  // what a read is about; 0 = not stated
  double reserved_kb = 0;
  duration expected_work{};  // expected; 0 = not stated
  duration read_delay{};     // since it reached the machine
  time_point arrived{};      // at the machine, by the dispatcher's clock
  double rank = 0;
  std::string key;            // by which its sender knows a repeat; empty: it has none
  std::uint64_t content = 0;  // hash of what it asks for: the same in each repeat
};

// How an attempt to run it ended.
enum class run_end {
  succeeded,
  failed,           // it says so itself
  lost,             // nothing will be heard of it: it may have run or not
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
  bool no_retry_elsewhere = false;  // where refused: no other server would do better
  bool deadline_exceeded = false;   // where failed: given up for lack of time
  bool unknown_request = false;     // where failed: the backend knows no such request, its sender made it up
  bool outcome_unknown = false;     // where failed: a keyed request that may have run, and will not run again
  bool key_conflict = false;        // where failed: its key was used with other content, it did not run
};

}  // namespace marblewharf
