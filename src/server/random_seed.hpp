// Random numbers for seeds and salts.
#pragma once

#include <cstdint>

namespace marblewharf::server {

// 64 bits from the system's source of randomness.
std::uint64_t random_seed();

}  // namespace marblewharf::server
