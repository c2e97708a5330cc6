#include "upstream/retry_budget.hpp"

namespace marblewharf::upstream {

// Moves the window on: slices that have left it are cleared.
void retry_budget::advance(time_point now) {
  const duration window = slice_ * slice_count;
  const bool all_slices_left = now >= current_end_ + window;
  if (current_end_ == time_point{} || all_slices_left) {
    slices_.fill({});
    current_end_ = now + slice_;
    return;
  }
  while (now >= current_end_) {
    current_ = (current_ + 1) % slice_count;
    slices_[current_] = {};
    current_end_ += slice_;
  }
}

void retry_budget::on_first_attempt(time_point now) {
  advance(now);
  ++slices_[current_].first_attempts;
}

bool retry_budget::try_take(time_point now) {
  advance(now);
  double first_attempts = 0;
  double extra_calls = 0;
  for (const slice_counts& slice : slices_) {
    first_attempts += slice.first_attempts;
    extra_calls += slice.extra_calls;
  }
  // The floor of the whole window may be used at once: rare traffic comes in bursts.
  const double floor = floor_per_s_ * std::chrono::duration<double>(slice_ * slice_count).count();
  if (extra_calls + 1 > share_ * first_attempts + floor) return false;
  ++slices_[current_].extra_calls;
  return true;
}

}  // namespace marblewharf::upstream
