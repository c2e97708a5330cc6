// Tells whether a rejected request would find no better place at another server. Guards against rejected work
// that is tried at every server where none has capacity.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

class overload_detector {
 public:
  // `total_quota`: requests a second to which all tenants are entitled at this server; 0 = not stated.
  explicit overload_detector(double total_quota) : total_quota_(total_quota) {}

  // Time passes.
  void advance(duration elapsed);
  // An attempt was read.
  void note_read(bool marked_retry);
  // Whether a retry came with its mark so far.
  bool retries_marked() const { return retries_marked_; }

  // Whether other servers can be expected to be no better off. `slow_here`: this server does far less than it
  // could; `accepted_fraction`: of the usual traffic, see load_signal. Where retries are marked, the answer
  // is yes for a part of the calls that grows with the excess: call it once for a rejected request.
  bool overloaded_everywhere(bool slow_here, double accepted_fraction);

 private:
  double total_quota_;
  double reads_per_second_ = 0;
  bool retries_marked_ = false;
  double excess_ = 0;  // fractions of a rejection 'everywhere' that were not given yet
};

// Whether this server does far less a core than it could: whatever the cause, others are likely better off.
// `running` runs at once on `cores`; times are seconds for a unit of work.
bool is_slow(double time_per_unit, double best_time_per_unit, double running, unsigned cores);

}  // namespace admission_policy
