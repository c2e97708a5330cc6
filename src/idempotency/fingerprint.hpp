// The hash of what a request asks for: a repeat has the same, whoever reuses its key for something else has
// not.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace marblewharf::idempotency {

// Of the parts in their order; where one ends and the next begins counts too.
std::uint64_t fingerprint_of(std::span<const std::string_view> parts);

// Why a key cannot be used; null: it can. Any bytes may stand in it.
const char* fault_of_key(std::string_view key, std::size_t longest);

}  // namespace marblewharf::idempotency
