// The section `background`: how much background work may use, and when.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema background_schema();

// Leaves the defaults where the file has no such section.
void read_background(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
