// Leases between two clocks with bounded drift: how long the granter has to wait until a lease has certainly
// expired at its holder.
//
// Stateless and without I/O; may be called from any thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblewharf::quota {

using time_point = std::chrono::nanoseconds;  // on a clock that also advances while the machine is suspended
using duration = std::chrono::nanoseconds;

struct lease_options {
  duration length = std::chrono::seconds(2);
  double max_clock_drift = 0.01;  // largest relative error of the rate of any clock; must be below 0.5
};

// How long the granter has to wait on its own clock, starting at the grant or later. The holder starts the
// lease before the grant, when it sends its request, so the lease has expired at the end of the wait even if
// the granter's clock is fast and the holder's clock is slow.
inline duration safe_expiry_wait(const lease_options& options) {
  const double factor = (1 + options.max_clock_drift) / (1 - options.max_clock_drift);
  const double length_ns = static_cast<double>(options.length.count());
  return duration(static_cast<std::int64_t>(length_ns * factor) + 1);
}

}  // namespace marblewharf::quota
