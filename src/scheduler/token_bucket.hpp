// Rate limits of background work: token buckets for the processor time and the bytes that slices use.
//
// Performs no I/O and reads no clock: the owner passes in the elapsed time. Not thread-safe: owned by one
// thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblewharf::scheduler {

using duration = std::chrono::nanoseconds;
using seconds = std::chrono::duration<double>;

// The resources that a slice used.
struct cost {
  duration cpu{};
  std::uint64_t read = 0, written = 0;  // bytes
};

// Limits per second; 0: no limit.
struct rates {
  double cpu = 0;                // cores
  double read = 0, written = 0;  // bytes
};

// A token bucket that fills at its rate up to a burst. The slice that empties it may overdraw it; the bucket
// is then closed until its level is above 0 again.
class token_bucket {
 public:
  // `rate`: tokens per second; 0: no limit. The bucket starts with a full burst.
  token_bucket(double rate, seconds burst) : rate_(rate), tokens_(rate * burst.count()) {}

  // `rate_share`: the fraction of the rate at which the bucket fills, 0 to 1.
  void refill(seconds elapsed, double rate_share, seconds burst);
  void take(double tokens) { tokens_ -= tokens; }
  bool is_open() const { return rate_ <= 0 || tokens_ > 0; }
  // The time until the bucket opens if it fills at this fraction of its rate; infinite for a fraction of 0.
  seconds until_open(double rate_share) const;

 private:
  double rate_;
  double tokens_;
};

// The token buckets for processor time, bytes read and bytes written, of one job or of all jobs together.
class work_budget {
 public:
  explicit work_budget(const rates& limits = {}, seconds burst = {});

  void refill(seconds elapsed, double rate_share, seconds burst);
  void take(const cost& used);
  bool is_open() const { return cpu_.is_open() && read_.is_open() && written_.is_open(); }
  seconds until_open(double rate_share) const;

 private:
  token_bucket cpu_;
  token_bucket read_;
  token_bucket written_;
};

}  // namespace marblewharf::scheduler
