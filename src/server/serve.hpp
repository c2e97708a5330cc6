// Runs a price node from its start to the end of its graceful shutdown.
#pragma once

#include "config/config.hpp"
#include "net/traffic_observer.hpp"

namespace marblewharf::server {

// Runs a node until its graceful shutdown is complete. install_signal_handlers() (server/signals.hpp) has to
// be called before. `traffic_observer` sees the bytes on accepted connections; may be null. Throws an
// exception derived from std::exception if the node cannot start, for example because a listening address is
// in use or a folder cannot be read.
void serve(const config& settings, net::traffic_observer* traffic_observer);

}  // namespace marblewharf::server
