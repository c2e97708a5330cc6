#include "upstream/in_flight_calls.hpp"

#include <algorithm>

namespace marblewharf::upstream {

bool in_flight_calls::take(const std::vector<std::size_t>& participants, bool waits) {
  bool room = true;
  for (const std::size_t d : participants) {
    const double with_it = static_cast<double>(writes_[d]) + 1;
    if (with_it <= most_[d] && with_it + static_cast<double>(gathering_(d)) <= share_[d]) continue;
    if (!waits) ++turned_away_[d];
    room = false;
  }
  if (!room) return false;
  for (const std::size_t d : participants) ++writes_[d];
  return true;
}

void in_flight_calls::give_back(const std::vector<std::size_t>& participants) {
  for (const std::size_t d : participants) --writes_[d];
}

double in_flight_calls::left(std::size_t dependency) const {
  return std::max(0.0, share_[dependency] - static_cast<double>(writes_[dependency]));
}

}  // namespace marblewharf::upstream
