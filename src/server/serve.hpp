// The node as a whole: fronts, backends and the dispatcher in one reactor, until it is told to leave.
#pragma once

#include "config/config.hpp"
#include "net/traffic_observer.hpp"

namespace marblewharf::server {

// Heeds the signals that node::catch_signals() notes. Returns when the node has left; throws what keeps it
// from starting.
void serve(const config& settings, net::traffic_observer* traffic_observer);

}  // namespace marblewharf::server
