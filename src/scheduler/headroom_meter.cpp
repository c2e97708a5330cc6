#include "scheduler/headroom_meter.hpp"

#include <algorithm>

namespace marblewharf::scheduler {

namespace {

constexpr double no_headroom = 0;
constexpr double full_headroom = 1;

}  // namespace

double headroom_meter::evaluate(std::chrono::nanoseconds now, std::optional<double> cores_busy,
                                std::size_t waiting) {
  if (waiting > 0) last_waiting_ = now;
  if (last_waiting_ && now - *last_waiting_ < options_.wait_hold_off) return no_headroom;
  if (!cores_busy) return full_headroom;
  const double span = options_.none_above - options_.full_below;
  if (span <= 0) return *cores_busy < options_.none_above ? full_headroom : no_headroom;
  return std::clamp((options_.none_above - *cores_busy) / span, no_headroom, full_headroom);
}

}  // namespace marblewharf::scheduler
