// The value that this server advertises to callers, so that less is sent of what would be rejected: it
// follows whether work is shed here or waits long to be read.
#pragma once

#include <optional>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class load_signal {
 public:
  explicit load_signal(const settings& given);

  // A request was shed; an attempt waited so long to be read.
  void note_shed() { shed_in_window_ = true; }
  void note_read_delay(duration delay);

  // Fraction of the usual traffic that this server takes, 0 to 1.
  double accepted_fraction() const { return accepted_fraction_; }

  // Once in a control window: the new value where it has changed and callers read one. `limit`: runs at once;
  // `run_seconds`: time of a run.
  std::optional<advertise> evaluate(double limit, double run_seconds, bool draining);

 private:
  double value(double limit, double run_seconds, bool draining) const;

  signal_kind kind_;
  unsigned callers_;
  duration tightest_objective_;
  double accepted_fraction_ = 1;
  double advertised_ = -1;  // none yet
  bool shed_in_window_ = false;
  duration longest_read_delay_{};  // in this window
};

}  // namespace admission_policy
