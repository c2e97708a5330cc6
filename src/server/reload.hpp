// Configuration reload on SIGHUP.
#pragma once

#include "config/config.hpp"
#include "registry/registry_client.hpp"
#include "runtime/link.hpp"

namespace marblewharf::server {

// Reads the configuration file and changes the addresses of the runtime and the registry, the only settings
// that take effect while the process runs. `current`: the settings with which the process started. An invalid
// file is logged and changes nothing.
void reload_addresses(const config& current, runtime::link& runtime_link,
                      registry::registry_client& registry_client);

}  // namespace marblewharf::server
