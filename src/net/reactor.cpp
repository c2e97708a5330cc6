#include "net/reactor.hpp"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
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

// Reports the exceptions of handlers and steps, which POCO would otherwise swallow.
class exception_reporter : public Poco::ErrorHandler {
 public:
  explicit exception_reporter(reactor& reporting_reactor) : reactor_(reporting_reactor) {}

 private:
  void exception(const Poco::Exception& error) override {
    reactor_.report_internal_error(error.displayText());
  }
  void exception(const std::exception& error) override { reactor_.report_internal_error(error.what()); }
  void exception() override { reactor_.report_internal_error("unknown exception"); }

  reactor& reactor_;
};

}  // namespace

reactor::reactor(const limits& bounds, telemetry::counters* counters)
    : bounds_(bounds),
      counters_(counters),
      read_buffer_(std::max(bounds.read_chunk_bytes, bounds.discard_chunk_bytes), '\0') {}

void reactor::serve(std::function<time_point()> step) {
  step_ = std::move(step);
  exception_reporter reporter(*this);
  Poco::ErrorHandler* previous = Poco::ErrorHandler::set(&reporter);
  wake();
  run();
  Poco::ErrorHandler::set(previous);
}

void reactor::report_internal_error(const std::string& description) {
  if (counters_ != nullptr) ++counters_->internal_errors;
  telemetry::log("internal", "%s", description.c_str());
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
