// The calls in flight at dependencies that transactions take beside fan-out. A transaction has one at each of
// its participants from its begin to its end: a request of two-phase commit is never held back, so all of its
// calls are taken before the first.
//
// Free of I/O and clocks. One thread at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace marblewharf::upstream {

class in_flight_calls {
 public:
  // `most`: by dependency, open transactions. `fan_out_calls`: tells a dependency's calls in flight of
  // fan-out.
  in_flight_calls(std::vector<double> most, std::function<std::size_t(std::size_t)> fan_out_calls)
      : most_(std::move(most)),
        fan_out_calls_(std::move(fan_out_calls)),
        share_(most_.size(), std::numeric_limits<double>::infinity()),
        transactions_(most_.size()),
        rejected_(most_.size()) {}

  // This node's quota share of calls in flight, of transactions and fan-out together.
  void set_share(std::size_t dependency, double most) { share_[dependency] = most; }
  // Takes a call at each of the participants, or none at any: then each participant that has no room counts a
  // rejection.
  bool try_take(const std::vector<std::size_t>& participants);
  // The same for a recovered transaction, which waits and is not rejected.
  bool try_take_recovered(const std::vector<std::size_t>& participants);
  void release(const std::vector<std::size_t>& participants);

  // Open transactions.
  std::size_t transactions(std::size_t dependency) const { return transactions_[dependency]; }
  // What of the quota share is left for fan-out.
  double remaining_share(std::size_t dependency) const;
  std::uint64_t rejected(std::size_t dependency) const { return rejected_[dependency]; }

 private:
  bool has_room(std::size_t dependency) const;
  bool take_if_room(const std::vector<std::size_t>& participants);

  std::vector<double> most_;
  std::function<std::size_t(std::size_t)> fan_out_calls_;
  std::vector<double> share_;
  std::vector<std::size_t> transactions_;
  std::vector<std::uint64_t> rejected_;
};

}  // namespace marblewharf::upstream
