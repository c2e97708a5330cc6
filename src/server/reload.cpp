#include "server/reload.hpp"

#include <exception>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

void reload_addresses(const config& current, runtime::link& runtime_link,
                      registry::registry_client& registry_client) {
  try {
    const config fresh = load_config();
    // Both are resolved before either is used, so that a bad one changes nothing.
    const auto runtime_address = net::address_of(fresh.runtime, "runtime");
    const auto registry_address = net::address_of(fresh.directory, "directory");
    telemetry::log("reload", "runtime at %s, catalog at %s", runtime_address.toString().c_str(),
                   registry_address.toString().c_str());
    if (fresh.name != current.name || fresh.listen != current.listen)
      telemetry::log("reload", "name or listen differs: that takes a restart");
    runtime_link.move(runtime_address);
    registry_client.move(registry_address);
  } catch (const std::exception& error) {
    telemetry::log("reload", "the old configuration stays: %s", error.what());
  }
}

}  // namespace marblewharf::server
