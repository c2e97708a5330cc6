// The node as a whole: fronts, backends and the dispatcher in one reactor, until it is told to leave.
#pragma once

#include "config/config.hpp"
#include "net/tap.hpp"

namespace marblewharf::node {

// Heeds the signals that node::catch_signals() notes. Returns when the node has left; throws what keeps it
// from starting.
void serve(const config& settings, net::tap* tap);

}  // namespace marblewharf::node
