// The last step of a front's graceful shutdown: ends the client connections.
#pragma once

#include "net/connections.hpp"

namespace marblewharf::fronts {

// Ends each connection on which no answer is pending; the front discards bytes that arrive on an ended
// connection. Returns whether all connections are ended. `Connection` has the members ended(), end() and
// has_pending_answer(); the latter is also true if a request has not been read yet.
template <typename Connection>
bool end_connections(net::connections<Connection>& connections) {
  bool all_ended = true;
  connections.each([&](Connection& connection) {
    if (connection.ended()) return;
    if (connection.has_pending_answer()) {
      all_ended = false;
    } else {
      connection.end();
    }
  });
  return all_ended;
}

}  // namespace marblewharf::fronts
