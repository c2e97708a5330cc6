// The calls in flight that a dependency takes without growing slow: cut when its latency leaves what it is at
// its best, grown while it stays there and the limit is used. After the delay-based congestion control of TCP
// Vegas (Brakmo and Peterson, 1994), with the gradient of the short over the long mean in place of its two
// thresholds.
#pragma once

#include "core/request.hpp"

namespace marblewharf::upstream {

class adaptive_limit {
 public:
  adaptive_limit(double least, double most, double start);

  // A call ended after that long, with so many in flight beside it. `late`: it was given up, and would have
  // taken longer.
  void on_end(time_point now, duration took, unsigned in_flight, bool late);

  unsigned allowed() const { return static_cast<unsigned>(limit_); }
  // A call that takes no longer shows nothing wrong.
  duration healthy() const;

 private:
  double least_;
  double most_;
  double limit_;
  double best_ = 0;  // s: of a call at its best, forgotten slowly
  double mean_ = 0;  // s: of late
  unsigned seen_ = 0;
  time_point next_cut_{};
};

}  // namespace marblewharf::upstream
