// The program's main loop: one price node from its start to the end of its graceful shutdown.
#pragma once

#include "config/config.hpp"
#include "net/traffic_observer.hpp"

namespace marblewharf::server {

// Runs a node until it has shut down; signals come from server/signals.hpp. `traffic_observer` sees what goes
// over accepted connections; null: nobody does. Throws what keeps the node from starting, such as an address
// that cannot be listened on or a folder that cannot be read.
void serve(const config& settings, net::traffic_observer* traffic_observer);

}  // namespace marblewharf::server
