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
  constexpr std::int64_t us_per_ms = 1000;
  return unix_us() / us_per_ms;
}

Poco::Net::SocketAddress resolve_address(const endpoint& configured, const char* key) {
  try {
    return {configured.host, configured.port};
  } catch (const Poco::Exception&) {
    throw invalid_config(std::string(key) + ": cannot resolve the host " + configured.host);
  }
}

namespace {

// Logs the exceptions of handlers and steps, which POCO would otherwise swallow.
class exception_logger : public Poco::ErrorHandler {
  void exception(const Poco::Exception& error) override {
    telemetry::log("internal", "%s", error.displayText().c_str());
  }
  void exception(const std::exception& error) override { telemetry::log("internal", "%s", error.what()); }
  void exception() override { telemetry::log("internal", "unknown exception"); }
};

}  // namespace

reactor::reactor(const limits& bounds)
    : bounds_(bounds), read_buffer_(std::max(bounds.read_chunk_bytes, bounds.discard_chunk_bytes), '\0') {}

void reactor::serve(std::function<time_point()> step) {
  step_ = std::move(step);
  exception_logger logger;
  Poco::ErrorHandler* previous = Poco::ErrorHandler::set(&logger);
  wake();
  run();
  Poco::ErrorHandler::set(previous);
}

void reactor::wake() {
  setTimeout(Poco::Timespan(0));
}

// POCO calls onBusy() before it dispatches the events of a poll. wake() makes the next poll return at once,
// so the step right after a dispatch round handles everything that the round reported.
void reactor::advance() {
  retired_.clear();
  const time_point due = step_();
  const auto wait = std::clamp(due - steady_now(), limits::duration::zero(), bounds_.max_poll_wait);
  // POCO's poll truncates the time-out to whole milliseconds; rounding up avoids spinning during the last
  // one.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  setTimeout(Poco::Timespan(ms * Poco::Timespan::MILLISECONDS));
}

}  // namespace marblewharf::net
