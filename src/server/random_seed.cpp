#include "server/random_seed.hpp"

#include <random>

namespace marblewharf::server {

std::uint64_t random_seed() {
  constexpr unsigned half_bits = 32;
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return high << half_bits | low;
}

}  // namespace marblewharf::server
