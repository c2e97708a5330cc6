// The operator's file: settings of our own parts, in lines of `name = value` within sections, `#` comments,
// and units (`90s`, `64MiB`). libconfuse reads it; what a value means is decided here, and whatever is wrong
// with one is said with file, line and key.
#pragma once

#include <string>

#include "config/config.hpp"

namespace marblewharf {

// Adds what the file says to a configuration that was read from the platform. Throws bad_config.
void apply_operator_file(config& c, const std::string& path);

}  // namespace marblewharf
