// Conversion between durations and seconds as floating point, in which rates and means are kept.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "admission_policy/policy.hpp"

namespace admission_policy {

inline double to_seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

// Bounded to about three years either way, so that a division by a small rate stays representable.
inline duration from_seconds(double seconds) {
  constexpr double bound_s = 1e8;
  constexpr double nanoseconds_per_second = 1e9;
  return duration{static_cast<std::int64_t>(std::clamp(seconds, -bound_s, bound_s) * nanoseconds_per_second)};
}

}  // namespace admission_policy
