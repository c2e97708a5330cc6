// The section `writes` and the key `participants` of classes: transactions over several upstreams.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema writes_schema();

// Sets `settings.writes` if a class has participants. Must be called after the dependencies and `keyed` were
// added to `settings`.
void read_writes(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
