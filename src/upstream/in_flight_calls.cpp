#include "upstream/in_flight_calls.hpp"

#include <algorithm>

namespace marblewharf::upstream {

bool in_flight_calls::has_capacity(std::size_t dependency) const {
  const double new_count = static_cast<double>(transactions_[dependency]) + 1;
  const auto fan_out = static_cast<double>(fan_out_calls_(dependency));
  return new_count <= max_transactions_[dependency] && new_count + fan_out <= share_[dependency];
}

bool in_flight_calls::acquire_if_available(const std::vector<std::size_t>& participants) {
  const bool all_have_capacity =
      std::all_of(participants.begin(), participants.end(),
                  [this](std::size_t dependency) { return has_capacity(dependency); });
  if (!all_have_capacity) return false;
  for (const std::size_t dependency : participants) ++transactions_[dependency];
  return true;
}

bool in_flight_calls::try_acquire(const std::vector<std::size_t>& participants) {
  if (acquire_if_available(participants)) return true;
  for (const std::size_t dependency : participants) {
    if (!has_capacity(dependency)) ++rejected_[dependency];
  }
  return false;
}

bool in_flight_calls::try_acquire_recovered(const std::vector<std::size_t>& participants) {
  return acquire_if_available(participants);
}

void in_flight_calls::release(const std::vector<std::size_t>& participants) {
  for (const std::size_t dependency : participants) --transactions_[dependency];
}

double in_flight_calls::remaining_share(std::size_t dependency) const {
  return std::max(0.0, share_[dependency] - static_cast<double>(transactions_[dependency]));
}

}  // namespace marblewharf::upstream
