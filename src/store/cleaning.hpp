// When a store of tables cleans, and what its writers may take meanwhile (docs/store.md).
//
// Free of I/O and clocks: sizes and moments are handed in. Not thread-safe: owned by one thread.
//
// Promises: while cleaning keeps up, what stands on disk is at most `amplification` times what counts, and
// some segments. Writers never take the room that cleaning needs to go on. Each batch is told before anything
// of it is written.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace marblewharf::store {

constexpr std::uint64_t least_segments = 12;  // that the space must hold

struct cleaning_rules {
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes
  // Bytes of all segments together. A checkpoint stands beside them: some 80 bytes and the key for each key,
  // twice while one is made.
  std::uint64_t space = std::uint64_t{1} << 30;
  // Bytes on disk for one that counts, at most: above 1. A byte written costs A / (A - 1) bytes on disk over
  // a turn of the log.
  double amplification = 2;
};

// Of all that is on disk now.
struct sizes {
  std::uint64_t used = 0;  // bytes taken
  std::uint64_t live = 0;  // bytes of records that count
  std::uint64_t room = 0;  // bytes that frames may still take for certain
};

struct verdict {
  bool may = false;
  // Not: when it is worth coming back; none: only erasing makes room.
  std::optional<std::chrono::nanoseconds> come_back;
};

class cleaning {
 public:
  // Throws std::invalid_argument where the space is under twelve segments or the amplification is not
  // above 1.
  explicit cleaning(cleaning_rules rules);

  // Bytes that can be kept at this amplification.
  std::uint64_t most_live() const;
  // Never given to writers: the copies of a whole segment, and the one they go to.
  std::uint64_t reserve() const { return 2 * rules_.segment; }

  bool wanted(const sizes& s) const;
  // Of a batch of so many bytes, after which so many more count (fewer, where it erases).
  verdict of(const sizes& s, std::uint64_t bytes, std::int64_t growth) const;

  // So much came free, of which `copied` was written again, in that time.
  void on_cleaned(std::uint64_t freed, std::uint64_t copied, std::chrono::nanoseconds took);

 private:
  cleaning_rules rules_;
  double rate_ = 0;  // bytes a second that cleaning gains, of late; 0: not known
};

}  // namespace marblewharf::store
