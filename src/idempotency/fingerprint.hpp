// The hash of what a request asks for: each duplicate of a request has the same, and a request that uses
// another's key for something else has not.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace marblewharf::idempotency {

// Of the parts in their order. The border between two parts counts, too.
std::uint64_t fingerprint_of(std::span<const std::string_view> parts);

// Why a client's key cannot be used, in words for its sender; null: it can. Any bytes may occur in a key.
const char* fault_of_key(std::string_view key, std::size_t longest);

}  // namespace marblewharf::idempotency
