#include "net/reactor.hpp"

#include <Poco/Timespan.h>

#include <algorithm>

namespace marblewharf::net {

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

std::int64_t unix_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t unix_ms() {
  constexpr std::int64_t us_each_ms = 1000;
  return unix_us() / us_each_ms;
}

reactor::reactor(const limits& bounds) : bounds_(bounds) {}

void reactor::serve(std::function<time_point()> step) {
  step_ = std::move(step);
  wake();
  run();
}

void reactor::wake() {
  setTimeout(Poco::Timespan(0));
}

// POCO calls onBusy() before it dispatches what a poll found. wake() makes the next poll return at once, so
// all that one round of dispatch reported is decided on together, right after it.
void reactor::advance() {
  retired_.clear();
  const time_point due = step_();
  const auto wait = std::clamp(due - steady_now(), limits::duration::zero(), bounds_.longest_poll);
  // The poll cuts to whole milliseconds: rounded up, else it spins through the last one.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  setTimeout(Poco::Timespan(ms * Poco::Timespan::MILLISECONDS));
}

}  // namespace marblewharf::net
