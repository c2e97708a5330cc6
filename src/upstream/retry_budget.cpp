#include "upstream/retry_budget.hpp"

namespace marblewharf::upstream {

// Advances the window to `now` and clears the slices that are no longer part of it.
void retry_budget::advance(time_point now) {
  const duration window = slice_length_ * slice_count;
  const bool all_slices_expired = now >= current_slice_end_ + window;
  if (current_slice_end_ == time_point{} || all_slices_expired) {
    slices_.fill({});
    current_slice_end_ = now + slice_length_;
    return;
  }
  while (now >= current_slice_end_) {
    current_slice_ = (current_slice_ + 1) % slice_count;
    slices_[current_slice_] = {};
    current_slice_end_ += slice_length_;
  }
}

void retry_budget::on_first_attempt(time_point now) {
  advance(now);
  ++slices_[current_slice_].first_attempts;
}

bool retry_budget::try_acquire(time_point now) {
  advance(now);
  double first_attempts = 0;
  double extra_calls = 0;
  for (const slice_counts& slice : slices_) {
    first_attempts += slice.first_attempts;
    extra_calls += slice.extra_calls;
  }
  // The floor of the whole window may be spent at once, because low traffic comes in bursts.
  const double floor = floor_per_s_ * std::chrono::duration<double>(slice_length_ * slice_count).count();
  if (extra_calls + 1 > share_ * first_attempts + floor) return false;
  ++slices_[current_slice_].extra_calls;
  return true;
}

}  // namespace marblewharf::upstream
