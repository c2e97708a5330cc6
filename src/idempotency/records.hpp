// The records of a key on disk: typed values to bytes and back. Each says all that recovery needs, so that a
// segment may go whatever stands in others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "idempotency/key_table.hpp"
#include "store/segment.hpp"

namespace marblewharf::idempotency {

enum class record_type : std::uint32_t { intent = 1, result = 2, release = 3 };

struct kept {
  record_type what{};
  key_id key;
  std::uint64_t content = 0;
  moment expiry = 0;
  moment at = 0;                                       // when it was written
  bool served = false;                                 // of a result; else the run failed
  std::string_view tenant{}, request_class{}, name{};  // of an intent: the key as it came, and its scope
  std::string_view bytes{};                            // of a result
};

store::record encode(const kept& k);
// None where it is no record of ours: its checksums were right, so its writer was another program.
std::optional<kept> decode(std::uint32_t type, std::string_view body);

// The hash by which a key is known.
key_id hash_of(std::string_view tenant, std::string_view request_class, std::string_view name,
               std::uint64_t salt);

// Room on disk that the largest record takes.
std::uint64_t intent_room(std::size_t longest_key, std::size_t longest_tenant, std::size_t longest_class);
std::uint64_t result_room(std::size_t largest_result);

}  // namespace marblewharf::idempotency
