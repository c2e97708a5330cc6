// The operators' console: a second listening address, one line a connection, one answer, then the close.
//
// Runs on the reactor's thread beside the fronts, with its own listener and its own bound on connections, so
// that callers of the console and clients never hold each other up. Owned by the node; the desk it asks
// outlives it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admin/console_command.hpp"
#include "config/config.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::admin {

// What the console asks of the node. Called on the reactor's thread.
class admin_handler {
 public:
  virtual ~admin_handler() = default;
  virtual bool ready() = 0;           // this process takes clients
  virtual std::string figures() = 0;  // lines of `name=value`, each ending in "\n"
  virtual std::string drain() = 0;    // the text after "200 "
  virtual std::string resume() = 0;   // the same
  // Lines of the fleet, each ending in "\n"; none where the node is in no fleet.
  virtual std::optional<std::string> members() = 0;
  virtual std::optional<std::string> zones() = 0;
  // The same of budgets; none where none is named.
  virtual std::optional<std::string> budgets() = 0;
};

class console_server {
 public:
  // Binds `at` alone (no SO_REUSEPORT): two processes never share one console, so an answer always comes from
  // the process that was asked. Where a process before this one still holds the address (a replacement), the
  // console opens once it lets go, tried again every `console_bind_retry` from step(). Throws
  // std::runtime_error naming the address that cannot be listened on for any other reason.
  console_server(net::reactor& r, const limits& bounds, const endpoint& at, admin_handler& d,
                 telemetry::counters& counters);
  ~console_server();
  console_server(const console_server&) = delete;
  console_server& operator=(const console_server&) = delete;

  // Ends connections that brought no whole line in time, binds where the address was held; returns when it
  // wants to be called again.
  time_point step(time_point now);
  bool listening() const { return listener_.has_value(); }

 private:
  class connection;
  void accept(const Poco::Net::StreamSocket& socket);
  void drop(connection& c);
  void make_room();
  std::string answer(admin::console_command call);

  net::reactor& reactor_;
  const limits& bounds_;
  admin_handler& desk_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  void try_listen(time_point now);

  endpoint at_;
  std::optional<net::listener> listener_;
  time_point next_bind_ = time_point::max();
  time_point next_sweep_{};
};

}  // namespace marblewharf::admin
