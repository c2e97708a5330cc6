// The section `keyed`: idempotency that outlives the process, in a folder on disk.
#pragma once

#include <chrono>
#include <vector>

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema keyed_schema();

// Turns durable idempotency on in `settings` where the file has the section. `windows`: of idempotency, by
// class; 0: not keyed. The section and keyed classes go together.
void read_keyed(const parsed_file& file, config& settings, std::vector<std::chrono::nanoseconds> windows);

}  // namespace marblewharf::sections
