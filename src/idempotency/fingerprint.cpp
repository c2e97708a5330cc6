#include "idempotency/fingerprint.hpp"

#include <xxhash.h>

namespace marblewharf::idempotency {

std::uint64_t fingerprint_of(std::span<const std::string_view> parts) {
  std::uint64_t hash = 0;
  for (const std::string_view part : parts)
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  return hash;
}

const char* key_error(std::string_view key, std::size_t max_bytes) {
  if (key.empty()) return "no key";
  return key.size() > max_bytes ? "a key that is too long" : nullptr;
}

}  // namespace marblewharf::idempotency
