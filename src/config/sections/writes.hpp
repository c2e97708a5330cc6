// The section `writes` and the participants that classes name: transactions over several upstreams.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema writes_schema();

// Sets `settings.writes` where a class has participants. `settings` has the dependencies and `keyed` already.
void read_writes(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
