// The figures on requests that the console's `show-stat` gives, as lines of `name=value`. Free of I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "telemetry/telemetry.hpp"

namespace marblewharf::admin {

// `class_names` in the settings' order, which is that of the counters' vectors; a class that the counters do
// not have yet counts as 0. `pending`: requests whose caller is still owed an answer.
std::string render_statistics(const telemetry::counters& counters,
                              const std::vector<std::string>& class_names, std::size_t pending);

}  // namespace marblewharf::admin
