// The operators' console: a listening address of its own, where each connection brings one line, gets one
// answer and is closed.
//
// Runs on the reactor's thread beside the fronts, with its own listener and its own bound on connections, so
// that console callers and clients never hold each other up.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "admin/admin_handler.hpp"
#include "admin/console_command.hpp"
#include "config/config.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::admin {

class console_server {
 public:
  // Binds `address` without SO_REUSEPORT: two processes never share a console, so an answer always comes from
  // the process that was asked. Where another process holds the address (the predecessor in a hot restart),
  // binding is retried from step() every `console_bind_retry`. Throws std::runtime_error naming an address
  // that cannot be listened on for any other reason. What is passed in by reference outlives the server, but
  // for `address`.
  console_server(net::reactor& reactor, const limits& bounds, const endpoint& address, admin_handler& handler,
                 telemetry::counters& counters);
  ~console_server();
  console_server(const console_server&) = delete;
  console_server& operator=(const console_server&) = delete;

  // Closes connections that are due, retries a bind; returns when it wants to be called again.
  time_point step(time_point now);
  bool listening() const { return listener_.has_value(); }

 private:
  class connection;
  void try_listen(time_point now);
  void accept(const Poco::Net::StreamSocket& socket);
  void evict_one();
  void close_due(connection& candidate, time_point now);
  void drop(connection& closed);
  std::string answer(console_command command);

  net::reactor& reactor_;
  const limits& bounds_;
  admin_handler& handler_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  endpoint address_;
  std::optional<net::listener> listener_;     // none: another process holds the address
  time_point next_bind_ = time_point::max();  // max: bound
  time_point next_sweep_{};
};

}  // namespace marblewharf::admin
