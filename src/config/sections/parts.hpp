// The section `part`: a sub-response of a fan-out, and what replaces it where it does not come.
#pragma once

#include "admission_policy/policy.hpp"
#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema part_schema();

// Adds the plans of all classes that parts name. `dependencies` has all upstreams already. Throws as
// read_dependencies().
void read_parts(const parsed_file& file, const admission_policy::settings& known,
                dependencies_config& dependencies);

}  // namespace marblewharf::sections
