// The value that this server advertises to its callers, so that they send fewer requests that would be
// rejected. The value follows load shedding and long read delays.
#pragma once

#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class load_signal {
 public:
  explicit load_signal(const settings& policy_settings);

  // Records that a request was shed.
  void note_shed() { shed_in_window_ = true; }
  // Records that a request was read after this delay.
  void note_read_delay(duration delay);

  // Fraction of the usual traffic that this server accepts, 0 to 1.
  double accepted_fraction() const { return accepted_fraction_; }

  // Called at the end of each control window. Returns the new value if it has changed and callers use one.
  // `limit`: maximum number of concurrent runs; `run_seconds`: duration of a run.
  std::optional<advertise> evaluate(double limit, double run_seconds, bool draining);

 private:
  double value_to_advertise(double limit, double run_seconds, bool draining) const;

  signal_kind kind_;
  unsigned callers_;
  duration shortest_objective_;
  double accepted_fraction_ = 1;
  double advertised_ = -1;  // -1: nothing has been advertised
  bool shed_in_window_ = false;
  duration longest_read_delay_{};  // in the current control window
};

}  // namespace admission_policy
