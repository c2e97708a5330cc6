// Bounds used by several sections.
#pragma once

#include <chrono>

namespace marblewharf::sections {

// Maximum interval between two runs of a background job.
constexpr std::chrono::nanoseconds longest_background_period = std::chrono::hours(24 * 366);
constexpr std::chrono::nanoseconds one_hour = std::chrono::hours(1);

}  // namespace marblewharf::sections
