// The section `part`: a sub-response of a fan-out and its fallbacks.
#pragma once

#include "admission_policy/policy.hpp"
#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema part_schema();

// Adds a plan for each class that a part names. Must be called after all upstreams were added to
// `dependencies`. Throws the same errors as read_dependencies().
void read_parts(const parsed_file& file, const admission_policy::settings& policy_settings,
                dependencies_config& dependencies);

}  // namespace marblewharf::sections
