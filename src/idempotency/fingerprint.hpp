// The hash of a request's content. Duplicates of a request have the same fingerprint; a request that reuses
// the key of another request with other content has a different one.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace marblewharf::idempotency {

// The hash of all parts, in order. It also depends on the boundaries between parts.
std::uint64_t fingerprint_of(std::span<const std::string_view> parts);

// Returns why a client's key is invalid, as a text for the client, or null if it is valid. A key may contain
// any bytes.
const char* key_error(std::string_view key, std::size_t max_bytes);

}  // namespace marblewharf::idempotency
