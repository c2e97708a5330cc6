// Adaptive limit on the calls in flight at one dependency. The limit decreases when the mean latency exceeds
// a multiple of the baseline (the lowest sustained latency of the dependency), and increases while the mean
// stays below that multiple and the calls in flight use the limit. Follows the delay-based congestion control
// of TCP Vegas (Brakmo and Peterson, 1994), with the ratio of the mean to the baseline in place of its two
// thresholds. Not thread-safe.
#pragma once

#include "core/request.hpp"

namespace marblewharf::upstream {

class adaptive_limit {
 public:
  adaptive_limit(double min_limit, double max_limit, double initial_limit);

  // A call ended after `latency`. `in_flight`: the calls in flight, including the ended call. `timed_out`:
  // the caller cancelled the call, so its true latency is above `latency`.
  void on_end(time_point now, duration latency, unsigned in_flight, bool timed_out);

  // The number of calls that may be in flight.
  unsigned allowed() const { return static_cast<unsigned>(limit_); }
  // The highest latency that does not indicate a slow dependency.
  duration healthy_latency() const;

 private:
  bool is_slow() const;
  void update_mean(double latency_s, bool timed_out);
  void update_baseline(double latency_s);
  void decrease(time_point now);
  void increase(unsigned in_flight);

  double min_limit_;
  double max_limit_;
  double limit_;
  double baseline_s_ = 0;  // 0: not known yet
  double mean_s_ = 0;      // moving mean of the latency
  unsigned calls_ = 0;     // since the start of the process
  time_point next_decrease_{};
};

}  // namespace marblewharf::upstream
