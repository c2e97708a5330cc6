// The last step of a front's graceful shutdown.
#pragma once

#include "net/connections.hpp"

namespace marblewharf::fronts {

// Ends each connection that nothing is owed on; what comes on it from then on is discarded. Returns whether
// all are ended. Connection has ended(), owes_answer(), which counts a request that was not read yet, and
// end().
template <typename Connection>
bool end_connections(net::connections<Connection>& connections) {
  bool all_ended = true;
  connections.each([&](Connection& connection) {
    if (connection.ended()) return;
    if (connection.owes_answer()) {
      all_ended = false;
    } else {
      connection.end();
    }
  });
  return all_ended;
}

}  // namespace marblewharf::fronts
