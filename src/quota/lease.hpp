// Leases between two clocks with bounded drift: how long the granter has to wait until a lease has surely
// expired.
//
// Free of I/O and state; any thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblewharf::quota {

using time_point = std::chrono::nanoseconds;  // of a clock that goes on while the machine sleeps
using duration = std::chrono::nanoseconds;

struct lease_options {
  duration length = std::chrono::seconds(2);
  double max_clock_drift = 0.01;  // largest relative error of any clock's rate, below 0.5
};

// How long the granter waits, on its own clock, counted from the grant or later. The holder counts the lease
// from a moment before the grant, so it has expired by then whichever of the two clocks is fast or slow.
inline duration safe_expiry_wait(const lease_options& options) {
  const double factor = (1 + options.max_clock_drift) / (1 - options.max_clock_drift);
  const double length_ns = static_cast<double>(options.length.count());
  return duration(static_cast<std::int64_t>(length_ns * factor) + 1);
}

}  // namespace marblewharf::quota
