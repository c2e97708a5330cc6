// The operator's file: settings in addition to the platform's configuration, as `name = value` lines within
// sections, with `#` comments and units (`90s`, `64MiB`). The readers of the sections are in config/sections.
#pragma once

#include <string>

#include "config/config.hpp"

namespace marblewharf {

// Adds the settings of the file at `path` to a configuration that was read from the platform's file. Throws
// operator_file_error, which names file, line and key of the first fault; `settings` is then incomplete and
// must not be used.
void apply_operator_file(config& settings, const std::string& path);

}  // namespace marblewharf
