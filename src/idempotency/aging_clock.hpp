// The time by which keys expire: Unix time that never goes back. It starts at the system's clock or at the
// latest time that the folder knows of, whichever is later, and goes on with the steady clock. So a system
// clock that is set back neither keeps keys from expiring nor dates later keys before earlier ones, and a
// long stop lets keys expire as it should. After a system clock that was far ahead, the time stays ahead for
// that folder: no key lives shorter than its window.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marblewharf::idempotency {

class aging_clock {
 public:
  using nanoseconds = std::chrono::nanoseconds;

  aging_clock() = default;
  // The time now by the system's clock, the latest time in the folder, and the steady time now.
  aging_clock(nanoseconds unix_now, nanoseconds latest_known, nanoseconds steady_now)
      : offset_(std::max(unix_now, latest_known) - steady_now) {}

  // Unix time in ns at a steady time.
  std::int64_t at(nanoseconds steady_now) const { return (steady_now + offset_).count(); }

 private:
  nanoseconds offset_{};  // of this time over the steady clock
};

}  // namespace marblewharf::idempotency
