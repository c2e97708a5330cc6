// POCO's SocketReactor with one step of the program between its rounds of dispatch, and times fine enough for
// the module's timers.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "config/config.hpp"
#include "net/traffic_observer.hpp"

namespace marblewharf::net {

using time_point = std::chrono::nanoseconds;

time_point steady_now();
std::int64_t unix_ms();
std::int64_t unix_us();

// Throws bad_config naming the key where that host cannot be told.
Poco::Net::SocketAddress address_of(const endpoint& e, const char* key);

class reactor : public Poco::Net::SocketReactor {
 public:
  explicit reactor(const limits& bounds);

  // `step` is called after each round of dispatch and when the time that it returned has come.
  void serve(std::function<time_point()> step);

  // A handler may not be destroyed while it is dispatched to: what is retired goes before the next step.
  void retire(std::shared_ptr<void> handler) { retired_.push_back(std::move(handler)); }

  // Hears all that goes over accepted connections; null: nobody does.
  void listen_in(traffic_observer* t) { tap_ = t; }
  traffic_observer* listener() const { return tap_; }

  // One for all connections: what is read is taken from it before the next one reads.
  std::string& scratch() { return scratch_; }

  // Bytes that all connections keep.
  void buffer(std::size_t before, std::size_t now) { buffered_ += now - before; }
  std::size_t buffered() const { return buffered_; }

  // Something was read or reported: step at once after this round.
  void wake();

 private:
  void advance();
  void onTimeout() override { advance(); }
  void onIdle() override { advance(); }
  void onBusy() override { advance(); }

  const limits& bounds_;
  std::function<time_point()> step_;
  traffic_observer* tap_ = nullptr;
  std::string scratch_;
  std::size_t buffered_ = 0;
  std::vector<std::shared_ptr<void>> retired_;
};

}  // namespace marblewharf::net
