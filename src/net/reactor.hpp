// The event loop: POCO's SocketReactor, extended by a step function that runs after each dispatch round and
// at the time that it requested. Time points are in nanoseconds, fine enough for the timers of the admission
// policy.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "net/traffic_observer.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::net {

using time_point = std::chrono::nanoseconds;

// Monotonic time.
time_point steady_now();
// Wall-clock time since the Unix epoch.
std::int64_t unix_ms();
std::int64_t unix_us();

// Resolves the host name of an endpoint. Throws invalid_config with the settings key `key` if that fails.
Poco::Net::SocketAddress resolve_address(const endpoint& configured, const char* key);

class reactor : public Poco::Net::SocketReactor {
 public:
  // `counters`: where internal errors are counted; null: they are only logged. Both arguments outlive the
  // reactor.
  explicit reactor(const limits& bounds, telemetry::counters* counters = nullptr);

  // Runs the event loop until stop(). Calls `step` after each dispatch round and at the time that its
  // previous call returned.
  void serve(std::function<time_point()> step);

  // Defers the destruction of a handler, which may be running now, until the next step begins.
  void retire(std::shared_ptr<void> handler) { retired_.push_back(std::move(handler)); }

  // Sets the observer of the bytes on accepted connections; null: none.
  void set_traffic_observer(traffic_observer* observer) { traffic_observer_ = observer; }
  traffic_observer* observer() const { return traffic_observer_; }

  // Read buffer shared by all connections: each read is processed before the next one begins.
  std::string& read_buffer() { return read_buffer_; }

  // Accounts for a connection's buffer whose size changes from `old_size` to `new_size` bytes.
  void update_buffered_size(std::size_t old_size, std::size_t new_size) { buffered_ += new_size - old_size; }
  // Bytes in the buffers of all connections.
  std::size_t buffered() const { return buffered_; }

  // Logs and counts an exception that a handler or a step did not expect. Called on the reactor's thread.
  void report_internal_error(const std::string& description);

  // Makes the next step run at once after the current dispatch round. Called when input was read or a result
  // was reported.
  void wake();

 private:
  void advance();
  void onTimeout() override { advance(); }
  void onIdle() override { advance(); }
  void onBusy() override { advance(); }

  const limits& bounds_;
  telemetry::counters* const counters_;
  std::function<time_point()> step_;
  traffic_observer* traffic_observer_ = nullptr;
  std::string read_buffer_;
  std::size_t buffered_ = 0;
  std::vector<std::shared_ptr<void>> retired_;
};

}  // namespace marblewharf::net
