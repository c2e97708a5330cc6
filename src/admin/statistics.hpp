// Formats the request statistics of the console command `show-stat` as lines of `name=value`. Performs no
// I/O.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "telemetry/telemetry.hpp"

namespace marblewharf::admin {

// `class_names`: in the order of the settings, which is also the order of the counters' vectors. The values
// of a class that is missing in the counters are 0. `pending`: the number of requests that were neither
// answered nor cancelled.
std::string render_statistics(const telemetry::counters& counters,
                              const std::vector<std::string>& class_names, std::size_t pending);

}  // namespace marblewharf::admin
