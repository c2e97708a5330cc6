// Leases between clocks that do not agree: how long whoever granted one waits until it is surely over.
//
// Free of I/O; any thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblewharf::quota {

using time_point = std::chrono::nanoseconds;  // of a clock that goes on while the machine sleeps
using duration = std::chrono::nanoseconds;

struct lease_rules {
  duration lease = std::chrono::seconds(2);
  double drift = 0.01;  // the most that any one clock's rate is wrong, as a share; under 0.5
};

// On the granter's clock, from the moment it granted: a lease counted on another clock from a moment before
// that is over by then, whichever of the two goes fast or slow within the bound.
inline duration surely_over(const lease_rules& r) {
  const double factor = (1 + r.drift) / (1 - r.drift);
  return duration(static_cast<std::int64_t>(static_cast<double>(r.lease.count()) * factor) + 1);
}

}  // namespace marblewharf::quota
