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
  double held_kb = 0;
  duration work{};       // expected; 0 = not stated
  duration waited{};     // since it reached the machine
  time_point arrived{};  // at the machine, by the dispatcher's clock
  double rank = 0;
  std::string key;            // by which its sender knows a repeat; empty: it has none
  std::uint64_t content = 0;  // hash of what it asks for: the same in each repeat
};

// How an attempt to run it ended.
enum class run_end {
  fine,
  fault,          // it says so itself
  lost,           // nothing will be heard of it: it may have run or not
  broken_off,     // stopped
  never_started,  // proven: nothing ran
  unknown,        // the backend knows no such request, and ran nothing
};

enum class verdict { served, refused, failed };

// The one final answer.
struct answer {
  verdict how = verdict::failed;
  std::string_view result{};   // where served
  duration retry_after{};      // 0 = no advice
  bool not_elsewhere = false;  // where refused: no other server would do better
  bool overdue = false;        // where failed: given up for lack of time
  bool unknown = false;        // where failed: the backend knows no such request, its sender made it up
  bool in_doubt = false;       // where failed: a keyed request that may have run, and will not run again
  bool conflict = false;       // where failed: its key was used with other content, it did not run
};

}  // namespace marblewharf
