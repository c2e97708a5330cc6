// Estimates whether other servers are overloaded too. A rejected request is then not retried at other
// servers, where it would only add load.
#pragma once

#include "admission_policy/policy.hpp"

namespace admission_policy {

class overload_detector {
 public:
  // `total_quota`: sum of the tenants' quotas at this server in requests per second; 0 = not configured.
  explicit overload_detector(double total_quota) : total_quota_(total_quota) {}

  // Decays the measured read rate by the elapsed time.
  void advance(duration elapsed);
  // Records that a request was read.
  void note_read(bool marked_retry);
  // Whether any request so far was marked as a retry.
  bool retries_marked() const { return retries_marked_; }

  // Whether other servers are expected to be overloaded too. `locally_slow`: this server works far below its
  // best speed; `accepted_fraction`: see load_signal. Where retries are marked, only a fraction of the calls
  // returns true, in proportion to the excess over the quota; call it once per rejected request.
  bool overloaded_everywhere(bool locally_slow, double accepted_fraction);

 private:
  double total_quota_;
  double reads_per_second_ = 0;
  bool retries_marked_ = false;
  double accumulated_excess_ = 0;  // the call that raises it to 1 returns true and subtracts 1
};

// Whether this server works far below its best speed per core. Whatever the cause, other servers are probably
// faster. `running`: concurrent runs on `cores`; times are core seconds per unit of work.
bool is_slow(double time_per_unit, double best_time_per_unit, double running, unsigned cores);

}  // namespace admission_policy
