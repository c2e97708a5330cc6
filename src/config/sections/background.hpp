// The section `background`: resource limits of background jobs.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema background_schema();

// Sets `settings.background`; keeps the defaults if the file has no such section.
void read_background(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
