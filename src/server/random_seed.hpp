// Random numbers for seeds and salts.
#pragma once

#include <cstdint>

namespace marblewharf::server {

// Returns 64 random bits from std::random_device.
std::uint64_t random_seed();

}  // namespace marblewharf::server
