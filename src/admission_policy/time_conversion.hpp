// Conversion between durations and seconds as floating-point numbers, used for rates and means.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "admission_policy/policy.hpp"

namespace admission_policy {

inline double to_seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

// Clamps to about three years in either direction, so that the result of a division by a small rate stays
// representable.
inline duration from_seconds(double seconds) {
  constexpr double bound_s = 1e8;
  constexpr double nanoseconds_per_second = 1e9;
  return duration{static_cast<std::int64_t>(std::clamp(seconds, -bound_s, bound_s) * nanoseconds_per_second)};
}

}  // namespace admission_policy
