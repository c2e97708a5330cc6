#include "server/reload.hpp"

#include <exception>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

void reload_addresses(const config& current, runtime::link& runtime_link,
                      registry::registry_client& registry_client) {
  try {
    const config reloaded = load_config();
    // Resolves both addresses before it uses them, so that an invalid address changes nothing.
    const auto runtime_address = net::resolve_address(reloaded.runtime, "runtime");
    const auto registry_address = net::resolve_address(reloaded.registry, "directory");
    telemetry::log("reload", "runtime at %s, registry at %s", runtime_address.toString().c_str(),
                   registry_address.toString().c_str());
    if (reloaded.name != current.name || reloaded.listen != current.listen)
      telemetry::log("reload", "a changed name or listen address takes effect only after a restart");
    runtime_link.set_address(runtime_address);
    registry_client.set_address(registry_address);
  } catch (const std::exception& error) {
    telemetry::log("reload", "failed, the current configuration stays in effect: %s", error.what());
  }
}

}  // namespace marblewharf::server
