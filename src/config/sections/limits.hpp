// Bounds that several sections have in common.
#pragma once

#include <chrono>

namespace marblewharf::sections {

// Of times between two rounds of background work.
constexpr std::chrono::nanoseconds longest_background_period = std::chrono::hours(24 * 366);
constexpr std::chrono::nanoseconds one_hour = std::chrono::hours(1);

}  // namespace marblewharf::sections
