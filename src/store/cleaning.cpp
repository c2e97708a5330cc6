#include "store/cleaning.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::store {
namespace {

// Below this, cleaning would turn the same few segments over and over.
constexpr std::uint64_t floor_segments = 3;
// Left free while cleaning has nothing to do: the reserve and a batch, where every segment loses a quarter at
// its end.
constexpr std::uint64_t free_segments = 4;
constexpr double memory = 4;  // cleanings
constexpr std::chrono::nanoseconds soonest = std::chrono::milliseconds(100),
                                   latest = std::chrono::seconds(30);

}  // namespace

cleaning::cleaning(cleaning_rules rules) : rules_(rules) {
  if (rules_.space < least_segments * rules_.segment)
    throw std::invalid_argument("space: at least twelve segments are needed");
  if (!(rules_.amplification > 1)) throw std::invalid_argument("amplification: must be above 1");
}

std::uint64_t cleaning::most_live() const {
  const std::uint64_t kept = rules_.space - (free_segments + floor_segments) * rules_.segment;
  return static_cast<std::uint64_t>(static_cast<double>(kept) / rules_.amplification);
}

bool cleaning::wanted(const sizes& s) const {
  const auto allowed = static_cast<std::uint64_t>(rules_.amplification * static_cast<double>(s.live));
  return s.used > allowed + floor_segments * rules_.segment;
}

verdict cleaning::of(const sizes& s, std::uint64_t bytes, std::int64_t growth) const {
  if (growth > 0 && s.live + static_cast<std::uint64_t>(growth) > most_live()) return {false, std::nullopt};
  if (s.room >= reserve() + bytes) return {true, std::nullopt};
  const double needed = static_cast<double>(reserve() + bytes - s.room);
  if (rate_ <= 0) return {false, soonest};
  const auto wait = std::chrono::duration<double>(std::min(needed / rate_, 1e6));
  return {false, std::clamp(std::chrono::duration_cast<std::chrono::nanoseconds>(wait), soonest, latest)};
}

void cleaning::on_cleaned(std::uint64_t freed, std::uint64_t copied, std::chrono::nanoseconds took) {
  if (freed <= copied) return;
  const double s = std::max(std::chrono::duration<double>(took).count(), 1e-6);
  const double rate = static_cast<double>(freed - copied) / s;
  rate_ = rate_ <= 0 ? rate : rate_ + (rate - rate_) / memory;
}

}  // namespace marblewharf::store
