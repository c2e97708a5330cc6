// The operators' console: a server with its own listening address. A caller sends one line on each
// connection, receives one answer, and the connection is closed.
//
// Runs on the reactor's thread, like the fronts, but has its own listener and its own limit on connections:
// console callers and clients cannot exhaust each other's connections.
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
  // Binds `address` without SO_REUSEPORT, so that two processes never share a console and a caller knows
  // which process answers. If another process (the predecessor in a hot restart) has bound the address,
  // step() retries the bind every `console_bind_retry`. Throws std::runtime_error, naming the address, if the
  // bind fails for any other reason. The arguments passed by reference, except `address`, outlive the server.
  console_server(net::reactor& reactor, const limits& bounds, const endpoint& address, admin_handler& handler,
                 telemetry::counters& counters);
  ~console_server();
  console_server(const console_server&) = delete;
  console_server& operator=(const console_server&) = delete;

  // Closes connections that are overdue or finished, and retries the bind. Returns when step() has to be
  // called next.
  time_point step(time_point now);
  bool listening() const { return listener_.has_value(); }

 private:
  class connection;
  void try_listen(time_point now);
  void accept(const Poco::Net::StreamSocket& socket);
  void evict_connection();
  void close_if_due(connection& candidate, time_point now);
  void drop(connection& closed);
  std::string answer(console_command command);

  net::reactor& reactor_;
  const limits& bounds_;
  admin_handler& handler_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  endpoint address_;
  std::optional<net::listener> listener_;     // none while another process has bound the address
  time_point next_bind_ = time_point::max();  // time_point::max() once bound
  time_point next_sweep_{};
};

}  // namespace marblewharf::admin
