// The sections `dependencies` and `dependency`: the upstreams of fan-outs and transactions.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema dependencies_schema();
schema dependency_schema();

// `settings` has the fleet already: its zones and members are places of endpoints. Throws
// operator_file_error, or upstream::plan_error for a plan whose fault belongs to no part.
dependencies_config read_dependencies(const parsed_file& file, const config& settings);

}  // namespace marblewharf::sections
