// The sections `fleet` and `zone`: the cluster that the node is a member of.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema fleet_schema();
schema zone_schema();

// Sets `settings.fleet` if the file has the section. Throws operator_file_error also if there are sections
// `zone` but no section `fleet`, or if the node's address is not a member of its own zone.
void read_fleet(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
