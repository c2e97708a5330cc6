#include "upstream/latency_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

using microseconds = std::chrono::duration<double, std::micro>;

constexpr double first_bucket_end_us = 50;
constexpr double bucket_growth = 1.25;
constexpr double min_latency_us = 1;
constexpr int recent_mean_calls = 8;  // number of calls over which the moving mean is taken

}  // namespace

void latency_estimator::add(duration latency) {
  recent_mean_ =
      recent_mean_.count() == 0 ? latency : recent_mean_ + (latency - recent_mean_) / recent_mean_calls;
  const double latency_us = std::max(min_latency_us, microseconds(latency).count());
  const double bucket = std::ceil(std::log(latency_us / first_bucket_end_us) / std::log(bucket_growth));
  const double last_bucket = static_cast<double>(bucket_count - 1);
  ++counts_[static_cast<std::size_t>(std::clamp(bucket, 0.0, last_bucket))];
  if (++total_ < max_samples) return;
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

std::optional<duration> latency_estimator::quantile(double probability) const {
  if (total_ < min_quantile_samples) return std::nullopt;
  const double rank = probability * total_;
  std::size_t bucket = 0;
  double cumulative_count = counts_[0];
  while (bucket + 1 < bucket_count && cumulative_count < rank) {
    ++bucket;
    cumulative_count += counts_[bucket];
  }
  const double bucket_end_us = first_bucket_end_us * std::pow(bucket_growth, static_cast<double>(bucket));
  return std::chrono::duration_cast<duration>(microseconds(bucket_end_us));
}

}  // namespace marblewharf::upstream
