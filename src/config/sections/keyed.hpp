// The section `keyed`: durable idempotency, with results in a folder on disk.
#pragma once

#include <chrono>
#include <vector>

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema keyed_schema();

// Enables durable idempotency in `settings` if the file has the section. `windows`: idempotency windows by
// class; 0: the class is not keyed. Throws operator_file_error also if there is a section without keyed
// classes, or keyed classes without a section.
void read_keyed(const parsed_file& file, config& settings, std::vector<std::chrono::nanoseconds> windows);

}  // namespace marblewharf::sections
