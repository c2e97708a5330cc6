// The figures that the console's `show-stat` gives, as lines of `name=value`. Free of I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "telemetry/telemetry.hpp"

namespace marblewharf::admin {

// `classes` by the settings' order, as the counters' vectors; `pending` is what was taken and has not ended.
std::string render_statistics(const telemetry::counters& c, const std::vector<std::string>& classes,
                              std::size_t pending);

}  // namespace marblewharf::admin
