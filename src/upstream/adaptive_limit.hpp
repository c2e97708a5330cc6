// The number of calls in flight that a dependency takes without getting slow. The limit is cut when the mean
// latency leaves the baseline, which is the latency at its best, and grows while it stays there and the limit
// is used. After the delay-based congestion control of TCP Vegas (Brakmo and Peterson, 1994), with the ratio
// of the mean to the baseline in place of its two thresholds. One thread at a time.
#pragma once

#include "core/request.hpp"

namespace marblewharf::upstream {

class adaptive_limit {
 public:
  adaptive_limit(double least, double most, double start);

  // A call ended after `took`, with `in_flight` calls, itself among them. `timed_out`: it was given up, and
  // would have taken longer.
  void on_end(time_point now, duration took, unsigned in_flight, bool timed_out);

  unsigned allowed() const { return static_cast<unsigned>(limit_); }
  // A call that takes no longer is no sign of a slow dependency.
  duration healthy_latency() const;

 private:
  bool is_slow() const;
  void update_mean(double took_s, bool timed_out);
  void update_baseline(double took_s);
  void cut(time_point now);
  void grow(unsigned in_flight);

  double least_;
  double most_;
  double limit_;
  double baseline_s_ = 0;  // 0: not known
  double mean_s_ = 0;      // of the last few calls
  unsigned calls_ = 0;     // since the start
  time_point next_cut_{};
};

}  // namespace marblewharf::upstream
