#include "upstream/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

using microseconds = std::chrono::duration<double, std::micro>;

constexpr double first_bucket_us = 50;  // its upper end
constexpr double bucket_growth = 1.25;
constexpr double least_us = 1;
constexpr int recent_calls = 8;  // over which the recent mean is taken

}  // namespace

void latency_estimator::add(duration took) {
  recent_ = recent_.count() == 0 ? took : recent_ + (took - recent_) / recent_calls;
  const double us = std::max(least_us, microseconds(took).count());
  const double bucket = std::ceil(std::log(us / first_bucket_us) / std::log(bucket_growth));
  const double last_bucket = static_cast<double>(bucket_count - 1);
  ++counts_[static_cast<std::size_t>(std::clamp(bucket, 0.0, last_bucket))];
  if (++total_ < most_samples) return;
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

std::optional<duration> latency_estimator::quantile(double q) const {
  if (total_ < least_samples) return std::nullopt;
  const double rank = q * total_;
  std::size_t bucket = 0;
  double below = counts_[0];
  while (bucket + 1 < bucket_count && below < rank) {
    ++bucket;
    below += counts_[bucket];
  }
  const double upper_end_us = first_bucket_us * std::pow(bucket_growth, static_cast<double>(bucket));
  return std::chrono::duration_cast<duration>(microseconds(upper_end_us));
}

}  // namespace marblewharf::upstream
