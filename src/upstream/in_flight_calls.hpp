// Admission of transactions by the calls in flight at their participants. A transaction occupies one call at
// each of its participants from its start to its end. All of these calls are acquired before the first
// request is sent, because a request of two-phase commit must never be delayed by a limit.
//
// Free of I/O and clocks. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace marblewharf::upstream {

class in_flight_calls {
 public:
  // `max_transactions`: limit of open transactions, by dependency. `fan_out_calls`: returns the number of
  // fan-out calls in flight at a dependency.
  in_flight_calls(std::vector<double> max_transactions, std::function<std::size_t(std::size_t)> fan_out_calls)
      : max_transactions_(std::move(max_transactions)),
        fan_out_calls_(std::move(fan_out_calls)),
        share_(max_transactions_.size(), std::numeric_limits<double>::infinity()),
        transactions_(max_transactions_.size()),
        rejected_(max_transactions_.size()) {}

  // Sets this node's quota share of calls in flight, for transactions and fan-out together.
  void set_share(std::size_t dependency, double share) { share_[dependency] = share; }
  // Acquires one call at each of the participants, or none at all. On failure a rejection is counted for each
  // participant without capacity.
  bool try_acquire(const std::vector<std::size_t>& participants);
  // As try_acquire(), for a recovered transaction: it waits for capacity, so no rejection is counted.
  bool try_acquire_recovered(const std::vector<std::size_t>& participants);
  void release(const std::vector<std::size_t>& participants);

  // The number of open transactions.
  std::size_t transactions(std::size_t dependency) const { return transactions_[dependency]; }
  // The part of the quota share that remains for fan-out.
  double remaining_share(std::size_t dependency) const;
  std::uint64_t rejected(std::size_t dependency) const { return rejected_[dependency]; }

 private:
  bool has_capacity(std::size_t dependency) const;
  bool acquire_if_available(const std::vector<std::size_t>& participants);

  std::vector<double> max_transactions_;
  std::function<std::size_t(std::size_t)> fan_out_calls_;
  std::vector<double> share_;
  std::vector<std::size_t> transactions_;
  std::vector<std::uint64_t> rejected_;
};

}  // namespace marblewharf::upstream
