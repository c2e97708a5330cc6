// Rate limits of background work: what slices may use of processor time and bytes.
//
// Free of I/O and clocks: elapsed time is handed in. Not thread-safe: owned by one thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblewharf::scheduler {

using duration = std::chrono::nanoseconds;
using seconds = std::chrono::duration<double>;

// What a slice used.
struct cost {
  duration cpu{};
  std::uint64_t read = 0, written = 0;  // bytes
};

// A second: a fraction of one core, and bytes. 0: no limit.
struct rates {
  double cpu = 0;
  double read = 0, written = 0;
};

// Fills at its rate up to a burst. May be overdrawn by the one slice that empties it, and is closed until it
// has filled again.
class token_bucket {
 public:
  // `rate`: tokens a second; 0: no limit. Begins with a full burst.
  token_bucket(double rate, seconds burst) : rate_(rate), tokens_(rate * burst.count()) {}

  // `rate_share`: of the rate, 0 to 1.
  void refill(seconds elapsed, double rate_share, seconds burst);
  void take(double tokens) { tokens_ -= tokens; }
  bool is_open() const { return rate_ <= 0 || tokens_ > 0; }
  // Filled at this share of its rate; infinite where that is none.
  seconds until_open(double rate_share) const;

 private:
  double rate_;
  double tokens_;
};

// The buckets of one job, or of all jobs together.
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
