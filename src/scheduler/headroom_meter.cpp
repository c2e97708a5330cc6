#include "scheduler/headroom_meter.hpp"

#include <algorithm>

namespace marblewharf::scheduler {

double headroom_meter::evaluate(std::chrono::nanoseconds now, std::optional<double> cores_busy,
                                std::size_t waiting) {
  if (waiting > 0) waited_ = now;
  if (waited_ && now - *waited_ < rules_.calm) return 0;
  if (!cores_busy) return 1;
  if (rules_.busy <= rules_.quiet) return *cores_busy < rules_.busy ? 1 : 0;
  return std::clamp((rules_.busy - *cores_busy) / (rules_.busy - rules_.quiet), 0.0, 1.0);
}

}  // namespace marblewharf::scheduler
