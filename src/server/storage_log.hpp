// Tells operators at the start how the repeats of each keyed class are recognized.
#pragma once

#include <string>

#include "config/config.hpp"

namespace marblewharf::server {

// Describes each class that the platform's settings call keyed or whose results are stored: where, for how
// long, and where the key stands on each front. Empty if there is no such class.
std::string describe_result_storage(const config& settings);

// Logs the description under the event "results", unless it is empty.
void log_result_storage(const config& settings);

}  // namespace marblewharf::server
