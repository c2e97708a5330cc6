// The sections `dependencies` and `dependency`: the upstreams of fan-outs and transactions.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema dependencies_schema();
schema dependency_schema();

// Must be called after the fleet was added to `settings`, because endpoints refer to its zones and members.
// Throws operator_file_error, or upstream::plan_error if an invalid plan cannot be attributed to one part.
dependencies_config read_dependencies(const parsed_file& file, const config& settings);

}  // namespace marblewharf::sections
