#include "upstream/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

constexpr double first_us = 50;  // upper end of the first bucket
constexpr double factor = 1.25;

}  // namespace

void latency_estimator::add(duration took) {
  constexpr int recent_calls = 8;
  recent_ = recent_.count() == 0 ? took : recent_ + (took - recent_) / recent_calls;
  const double us = std::max(1.0, std::chrono::duration<double, std::micro>(took).count());
  const double place = std::ceil(std::log(us / first_us) / std::log(factor));
  ++counts_[static_cast<std::size_t>(std::clamp(place, 0.0, static_cast<double>(buckets - 1)))];
  if (++total_ < forget_at) return;
  total_ = 0;
  for (std::uint32_t& c : counts_) total_ += c /= 2;
}

std::optional<duration> latency_estimator::quantile(double q) const {
  if (total_ < least) return std::nullopt;
  const double rank = q * total_;
  double seen = 0;
  std::size_t i = 0;
  while (i + 1 < buckets && (seen += counts_[i]) < rank) ++i;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(first_us * std::pow(factor, static_cast<double>(i))));
}

}  // namespace marblewharf::upstream
