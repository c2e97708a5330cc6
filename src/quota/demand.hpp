// How much of a budget this node could use, from counts that its owner hands in.
//
// Free of I/O and clocks. Not thread-safe: owned by one thread. Demand is a wish, never a right: whatever is
// measured wrongly here moves shares, and never the bound on their sum.
#pragma once

#include <cstdint>
#include <optional>

#include "quota/lease_holder.hpp"

namespace marblewharf::quota {

struct demand_options {
  duration fade = std::chrono::seconds(1);  // a burst is over when so long has gone by without it
  double headroom = 1.1;  // over what is measured: the next second's arrivals are not the last one's
  double least = 1;       // ... and so many more: whoever idles can still begin
};

// Of requests a second: the arrivals of late.
class rate_demand {
 public:
  explicit rate_demand(demand_options o = {}) : options_(o) {}
  void count() { ++counted_; }
  use measure(time_point now);
  double per_second() const { return per_second_; }

 private:
  demand_options options_;
  double per_second_ = 0;
  std::uint64_t counted_ = 0;
  std::optional<time_point> measured_;
};

// Of runs or calls in flight: what is in flight and what waits, and what was turned away of late for want of
// room.
class flight_demand {
 public:
  explicit flight_demand(demand_options o = {}) : options_(o) {}
  // `turned_away`: since the start, never falling.
  use measure(time_point now, std::size_t in_flight, std::size_t waiting, std::uint64_t turned_away);

 private:
  demand_options options_;
  double turned_away_lately_ = 0;
  std::uint64_t turned_away_ = 0;
  std::optional<time_point> measured_;
};

}  // namespace marblewharf::quota
