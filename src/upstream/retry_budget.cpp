#include "upstream/retry_budget.hpp"

#include <numeric>

namespace marblewharf::upstream {

void retry_budget::turn(time_point now) {
  if (slice_end_ == time_point{} || now >= slice_end_ + slice_ * slices) {  // nothing of the window is left
    firsts_.fill(0);
    extras_.fill(0);
    slice_end_ = now + slice_;
    return;
  }
  while (now >= slice_end_) {
    at_ = (at_ + 1) % slices;
    firsts_[at_] = extras_[at_] = 0;
    slice_end_ += slice_;
  }
}

bool retry_budget::take(time_point now) {
  turn(now);
  const double firsts = std::accumulate(firsts_.begin(), firsts_.end(), 0u);
  const double extras = std::accumulate(extras_.begin(), extras_.end(), 0u);
  // The floor counts for the whole window: rare traffic may use it at once, though not again before it has
  // passed.
  const double floor = floor_ * std::chrono::duration<double>(slice_ * slices).count();
  if (extras + 1 > share_ * firsts + floor) return false;
  ++extras_[at_];
  return true;
}

}  // namespace marblewharf::upstream
