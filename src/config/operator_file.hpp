// The operator's file: settings beyond the platform's configuration, as `name = value` lines within sections,
// with
// `#` comments and units (`90s`, `64MiB`). Readers of the sections are in config/sections.
#pragma once

#include <string>

#include "config/config.hpp"

namespace marblewharf {

// Adds what the file at `path` says to a configuration that was read from the platform. Throws
// operator_file_error naming file, line and key of the first fault; `settings` is then not to be used.
void apply_operator_file(config& settings, const std::string& path);

}  // namespace marblewharf
