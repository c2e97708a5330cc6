// Divides the wholes among the nodes that ask, as long as it has the chair: a book of what each may have in
// force, and max-min fair shares by demand and weight.
//
// Free of I/O: clock and requests are handed in, answers come out. Not thread-safe: owned by one thread. Made
// anew with each term of the chair; what the one before granted it learns from the nodes, or waits out.
//
// Promise: at each moment the sum over nodes of what they may have in force, by its book, is at most the
// whole less the safe shares; and each node's share in force is at most what the book has for it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease_holder.hpp"

namespace marblewharf::quota {

struct allocator_options {
  lease_rules rules;
  double reserve = 0.05;    // share of the pool that only nodes that hold nothing yet draw on
  std::size_t members = 1;  // configured: each has the safe share
  std::size_t sessions_most = 1024;
};

// Max-min fair with weights: nobody gets more than it demands, and nobody who gets less could get more but
// from one that has no more for its weight. The sum is at most `pool`.
std::vector<double> max_min(double pool, const std::vector<double>& demands,
                            const std::vector<double>& weights);

class allocator {
 public:
  allocator(allocator_options o, std::vector<budget> budgets, std::uint64_t digest, std::string self,
            std::uint64_t term, time_point now);

  // A request; the answer, and pokes to those that may have more now, come out. One of other budgets than
  // this member's gets no answer, and is counted.
  void receive(time_point now, const message& m);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  // What nodes may have in force of budget i, safe shares aside.
  double committed(std::size_t i, time_point now) const;
  double pool(std::size_t i) const;     // the whole less the safe shares
  double divided(std::size_t i) const;  // the pool less the reserve: what fair shares are of
  std::uint64_t mismatched() const { return mismatched_; }

 private:
  struct node {
    std::string address;  // where answers and pokes go
    std::uint64_t sequence = 0;
    std::vector<double> committed;  // the larger of what it holds and what it was last granted
    std::vector<double> held, demand, granted;
    time_point asked{};  // its latest request
    time_point
        over{};  // from then on its lease is surely over; what was in flight then ends within the settling
  };
  using session = std::pair<std::string, std::uint64_t>;  // address and process

  void forget(time_point now);
  // From when on nothing of budget i is in force that an allocator before this one granted and nobody has
  // told since.
  time_point known_from(std::size_t i) const { return leases_over_ + budgets_[i].settle; }
  double target(std::size_t i, const session& of, time_point now) const;

  allocator_options options_;
  std::vector<budget> budgets_;
  std::uint64_t digest_;
  std::string self_;
  std::uint64_t term_;
  time_point leases_over_;  // those that the allocator before this one granted
  std::map<session, node> nodes_;
  std::uint64_t mismatched_ = 0;
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
