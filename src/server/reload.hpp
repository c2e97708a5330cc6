// SIGHUP: reads the configuration again and moves to the addresses it names.
#pragma once

#include "config/config.hpp"
#include "registry/registry_client.hpp"
#include "runtime/link.hpp"

namespace marblewharf::server {

// Reads the configuration file and points the link and the registry client to the addresses it names, the
// only settings that may change while the process runs. `current`: the settings the process started with. A
// file that cannot be used changes nothing and is logged.
void reload_addresses(const config& current, runtime::link& runtime_link,
                      registry::registry_client& registry_client);

}  // namespace marblewharf::server
