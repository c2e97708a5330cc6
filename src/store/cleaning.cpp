#include "store/cleaning.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::store {
namespace {

// Segments above the amplification bound at which cleaning starts. With fewer, cleaning would rewrite the
// same few segments over and over.
constexpr std::uint64_t slack_segments = 3;
// Segments that are free when no cleaning is needed: enough for the reserve and a batch, although every
// segment may leave a quarter unused at its end.
constexpr std::uint64_t free_segments = 4;
constexpr double averaged_cleanings = 4;  // the window of the moving average
constexpr std::chrono::nanoseconds min_retry_after = std::chrono::milliseconds(100),
                                   max_retry_after = std::chrono::seconds(30);

}  // namespace

cleaning::cleaning(cleaning_rules rules) : rules_(rules) {
  if (rules_.space < min_segments * rules_.segment)
    throw std::invalid_argument("space: must be at least twelve segments");
  if (!(rules_.amplification > 1)) throw std::invalid_argument("amplification: must be above 1");
}

std::uint64_t cleaning::max_live_bytes() const {
  const std::uint64_t usable = rules_.space - (free_segments + slack_segments) * rules_.segment;
  return static_cast<std::uint64_t>(static_cast<double>(usable) / rules_.amplification);
}

bool cleaning::is_needed(const disk_sizes& disk) const {
  const auto allowed =
      static_cast<std::uint64_t>(rules_.amplification * static_cast<double>(disk.live_bytes));
  return disk.used_bytes > allowed + slack_segments * rules_.segment;
}

verdict cleaning::admit(const disk_sizes& disk, std::uint64_t bytes, std::int64_t growth) const {
  if (growth > 0 && disk.live_bytes + static_cast<std::uint64_t>(growth) > max_live_bytes())
    return {false, std::nullopt};
  if (disk.free_bytes >= reserve() + bytes) return {true, std::nullopt};
  const double needed = static_cast<double>(reserve() + bytes - disk.free_bytes);
  if (bytes_per_second_ <= 0) return {false, min_retry_after};
  const auto wait = std::chrono::duration<double>(std::min(needed / bytes_per_second_, 1e6));
  return {false, std::clamp(std::chrono::duration_cast<std::chrono::nanoseconds>(wait), min_retry_after,
                            max_retry_after)};
}

void cleaning::on_cleaned(std::uint64_t freed, std::uint64_t copied, std::chrono::nanoseconds took) {
  if (freed <= copied) return;
  const double seconds = std::max(std::chrono::duration<double>(took).count(), 1e-6);
  const double rate = static_cast<double>(freed - copied) / seconds;
  bytes_per_second_ =
      bytes_per_second_ <= 0 ? rate : bytes_per_second_ + (rate - bytes_per_second_) / averaged_cleanings;
}

}  // namespace marblewharf::store
