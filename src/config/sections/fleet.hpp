// The sections `fleet` and `zone`: the cluster that the node is a member of.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema fleet_schema();
schema zone_schema();

// Sets `settings.fleet` where the file has the section. Zones without it are a fault, and so is a node whose
// address is no member of its own zone.
void read_fleet(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
