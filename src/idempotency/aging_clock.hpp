// The time by which keys age: Unix time that never goes back. It starts at the system's clock or at the
// latest time that the folder knows of, whichever is later, and goes on by the steady clock. Guards against a
// clock that is set back, which would keep keys from ageing or date new ones before old ones; a long stop
// ages keys as it should. A clock that was far ahead when the folder was written stays ahead for that folder:
// keys live as long as promised.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace marblewharf::idempotency {

class aging_clock {
 public:
  using nanoseconds = std::chrono::nanoseconds;

  aging_clock() = default;
  aging_clock(nanoseconds unix_now, nanoseconds latest_known, nanoseconds steady_now)
      : ahead_(std::max(unix_now, latest_known) - steady_now) {}

  std::int64_t at(nanoseconds steady_now) const { return (steady_now + ahead_).count(); }

 private:
  nanoseconds ahead_{};
};

}  // namespace marblewharf::idempotency
