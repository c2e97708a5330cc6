#include "scheduler/token_bucket.hpp"

#include <algorithm>
#include <limits>

namespace marblewharf::scheduler {

void token_bucket::refill(seconds elapsed, double rate_share, seconds burst) {
  if (rate_ <= 0) return;
  tokens_ = std::min(tokens_ + rate_ * rate_share * elapsed.count(), rate_ * burst.count());
}

seconds token_bucket::until_open(double rate_share) const {
  if (is_open()) return seconds{0};
  if (rate_share <= 0) return seconds{std::numeric_limits<double>::infinity()};
  return seconds{-tokens_ / (rate_ * rate_share)};
}

work_budget::work_budget(const rates& limits, seconds burst)
    : cpu_(limits.cpu, burst), read_(limits.read, burst), written_(limits.written, burst) {}

void work_budget::refill(seconds elapsed, double rate_share, seconds burst) {
  cpu_.refill(elapsed, rate_share, burst);
  read_.refill(elapsed, rate_share, burst);
  written_.refill(elapsed, rate_share, burst);
}

void work_budget::take(const cost& used) {
  cpu_.take(seconds(used.cpu).count());
  read_.take(static_cast<double>(used.read));
  written_.take(static_cast<double>(used.written));
}

seconds work_budget::until_open(double rate_share) const {
  return std::max(
      {cpu_.until_open(rate_share), read_.until_open(rate_share), written_.until_open(rate_share)});
}

}  // namespace marblewharf::scheduler
