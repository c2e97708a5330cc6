// Calls at dependencies that writes take beside those that gather parts. A write has one at each of its
// participants from its begin to its end: a step that was begun is never kept back, so the room for all of
// them is taken before the first.
//
// Free of I/O and clocks. One thread at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace marblewharf::upstream {

class in_flight_calls {
 public:
  // By dependency: writes that may be open there at once. `gathering`: calls in flight there that gather
  // parts.
  in_flight_calls(std::vector<double> most, std::function<std::size_t(std::size_t)> gathering)
      : most_(std::move(most)),
        gathering_(std::move(gathering)),
        share_(most_.size(), std::numeric_limits<double>::infinity()),
        writes_(most_.size()),
        turned_away_(most_.size()) {}

  // This node's share of calls at a dependency that a fleet divides.
  void set_share(std::size_t dependency, double most) { share_[dependency] = most; }
  // One at each of them, or none at any: then what was in the way is counted as turned away, but for a write
  // that was found on disk, which waits.
  bool take(const std::vector<std::size_t>& participants, bool waits = false);
  void give_back(const std::vector<std::size_t>& participants);

  std::size_t writes(std::size_t dependency) const { return writes_[dependency]; }
  // What of the share is left for calls that gather.
  double left(std::size_t dependency) const;
  std::uint64_t turned_away(std::size_t dependency) const { return turned_away_[dependency]; }

 private:
  std::vector<double> most_;
  std::function<std::size_t(std::size_t)> gathering_;
  std::vector<double> share_;
  std::vector<std::size_t> writes_;
  std::vector<std::uint64_t> turned_away_;
};

}  // namespace marblewharf::upstream
