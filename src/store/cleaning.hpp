// Decides when a store of tables is cleaned and which batches it accepts (docs/store.md). Cleaning is log
// compaction by segment: the live records of the oldest segment are copied to the end of the log,
// and the segment is deleted.
//
// No I/O, no clock: sizes and durations are passed in. Not thread-safe: owned by one thread.
//
// Guarantees: while cleaning keeps up, the log takes at most `amplification` times the live bytes, plus a few
// segments. Writers never use the space that cleaning needs to proceed. A batch is accepted or rejected
// before any of it is written.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace marblewharf::store {

constexpr std::uint64_t min_segments = 12;  // `space` must have room for this many segments

struct cleaning_rules {
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes
  // Bytes of all segments together. A checkpoint takes additional space: about 80 bytes plus the key for each
  // key, and twice that while a new one is written.
  std::uint64_t space = std::uint64_t{1} << 30;
  // Space amplification A: maximum number of bytes on disk per live byte; must be above 1. Including the
  // copies made by cleaning, a written byte costs A / (A - 1) bytes of disk writes over one pass through the
  // log.
  double amplification = 2;
};

// The current sizes on disk, in bytes.
struct disk_sizes {
  std::uint64_t used_bytes = 0;  // all segments
  std::uint64_t live_bytes = 0;  // records that are the current value of a key
  std::uint64_t free_bytes = 0;  // frames that can certainly still be written
};

// Whether a batch is accepted.
struct verdict {
  bool accepted = false;
  // For a rejected batch: when to retry. Nothing: a retry is useless until keys are erased.
  std::optional<std::chrono::nanoseconds> retry_after;
};

class cleaning {
 public:
  // Throws std::invalid_argument if the space is below twelve segments or the amplification is not above 1.
  explicit cleaning(cleaning_rules rules);

  // The maximum number of live bytes that the space allows at this amplification.
  std::uint64_t max_live_bytes() const;
  // Bytes that writers never use: the copies of a whole segment, and the segment that they are written to.
  std::uint64_t reserve() const { return 2 * rules_.segment; }

  // Whether a segment should be cleaned now.
  bool is_needed(const disk_sizes& disk) const;
  // Decides on a batch of this many bytes that changes the live bytes by `growth` (negative if it erases).
  verdict admit(const disk_sizes& disk, std::uint64_t bytes, std::int64_t growth) const;

  // A segment of `freed` bytes was cleaned, of which `copied` bytes were written again; it took this long.
  void on_cleaned(std::uint64_t freed, std::uint64_t copied, std::chrono::nanoseconds took);

 private:
  cleaning_rules rules_;
  double bytes_per_second_ = 0;  // net bytes that cleaning frees, a moving average; 0 = not measured yet
};

}  // namespace marblewharf::store
