#include "net/reactor.hpp"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>

#include "telemetry/telemetry.hpp"

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

Poco::Net::SocketAddress address_of(const endpoint& e, const char* key) {
  try {
    return {e.host, e.port};
  } catch (const Poco::Exception&) {
    throw bad_config(std::string(key) + " names no address: " + e.host);
  }
}

namespace {

// POCO catches what a handler or a step throws and goes on. Guards against a fault that nobody ever sees.
class fault_log : public Poco::ErrorHandler {
  void exception(const Poco::Exception& e) override {
    telemetry::log("internal", "%s", e.displayText().c_str());
  }
  void exception(const std::exception& e) override { telemetry::log("internal", "%s", e.what()); }
  void exception() override { telemetry::log("internal", "an unknown exception"); }
};

}  // namespace

reactor::reactor(const limits& bounds)
    : bounds_(bounds), scratch_(std::max(bounds.read_chunk, bounds.discard_chunk), '\0') {}

void reactor::serve(std::function<time_point()> step) {
  step_ = std::move(step);
  fault_log faults;
  Poco::ErrorHandler* before = Poco::ErrorHandler::set(&faults);
  wake();
  run();
  Poco::ErrorHandler::set(before);
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
