#include "server/serve.hpp"

#include "server/price_node.hpp"
#include "server/signals.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

void serve(const config& settings, net::traffic_observer* traffic_observer) {
  if (shutdown_requested()) {
    telemetry::log("stop", "shutdown notice received before the start; exiting");
    return;
  }
  price_node node(settings, traffic_observer);
  node.run();
}

}  // namespace marblewharf::server
