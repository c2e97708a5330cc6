// The clock by which keys expire: Unix time that never goes back. It starts at the system clock or at the
// latest time recorded in the folder, whichever is later, and advances with the steady clock. Therefore, if
// the system clock is set back, keys still expire, and later keys never get earlier times than earlier keys.
// Time during which the node is stopped counts towards expiry. If the system clock was once far ahead, this
// clock stays ahead for that folder, so that no key expires before the end of its window.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marblewharf::idempotency {

class aging_clock {
 public:
  using nanoseconds = std::chrono::nanoseconds;

  aging_clock() = default;
  // `unix_now` and `steady_now` are read at the same moment. `latest_known`: the latest time in the folder.
  aging_clock(nanoseconds unix_now, nanoseconds latest_known, nanoseconds steady_now)
      : offset_(std::max(unix_now, latest_known) - steady_now) {}

  // Converts a time of the steady clock to Unix time in ns.
  std::int64_t at(nanoseconds steady_now) const { return (steady_now + offset_).count(); }

 private:
  nanoseconds offset_{};  // of this clock from the steady clock
};

}  // namespace marblewharf::idempotency
