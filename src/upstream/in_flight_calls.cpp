#include "upstream/in_flight_calls.hpp"

#include <algorithm>

namespace marblewharf::upstream {

bool in_flight_calls::has_room(std::size_t dependency) const {
  const double with_one_more = static_cast<double>(transactions_[dependency]) + 1;
  const auto fan_out = static_cast<double>(fan_out_calls_(dependency));
  return with_one_more <= most_[dependency] && with_one_more + fan_out <= share_[dependency];
}

bool in_flight_calls::take_if_room(const std::vector<std::size_t>& participants) {
  const bool all_have_room = std::all_of(participants.begin(), participants.end(),
                                         [this](std::size_t dependency) { return has_room(dependency); });
  if (!all_have_room) return false;
  for (const std::size_t dependency : participants) ++transactions_[dependency];
  return true;
}

bool in_flight_calls::try_take(const std::vector<std::size_t>& participants) {
  if (take_if_room(participants)) return true;
  for (const std::size_t dependency : participants) {
    if (!has_room(dependency)) ++rejected_[dependency];
  }
  return false;
}

bool in_flight_calls::try_take_recovered(const std::vector<std::size_t>& participants) {
  return take_if_room(participants);
}

void in_flight_calls::release(const std::vector<std::size_t>& participants) {
  for (const std::size_t dependency : participants) --transactions_[dependency];
}

double in_flight_calls::remaining_share(std::size_t dependency) const {
  return std::max(0.0, share_[dependency] - static_cast<double>(transactions_[dependency]));
}

}  // namespace marblewharf::upstream
