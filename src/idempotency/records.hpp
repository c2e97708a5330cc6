// The on-disk records of idempotency keys: encoding and decoding. Each record is complete by itself, so that
// segments can be deleted independently of each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "idempotency/key_table.hpp"
#include "store/segment.hpp"

namespace marblewharf::idempotency {

// The values are part of the on-disk format.
enum class record_type : std::uint32_t { intent = 1, result = 2, release = 3 };

struct key_record {
  record_type type{};
  key_id key;
  std::uint64_t fingerprint = 0;
  aging_time expiry = 0;
  aging_time written_at = 0;
  bool succeeded = false;  // in a result: whether the run succeeded
  // In an intent: the key as the client sent it, and its scope.
  std::string_view tenant{}, request_class{}, client_key{};
  // In an intent: the server that the request is sent to. Empty: the backend does not distinguish servers, or
  // an earlier version wrote the record.
  std::string_view server{};
  std::string_view result{};  // in a result: the stored bytes
};

store::record encode(const key_record& written);
// Returns nothing if the bytes are not a record of this type; since their checksums are valid, another
// program wrote them. The views in the record point into `body`.
std::optional<key_record> decode(std::uint32_t type, std::string_view body);

// The hash that identifies a key in its scope.
key_id key_id_of(std::string_view tenant, std::string_view request_class, std::string_view client_key,
                 std::uint64_t salt);

// The size on disk of the largest possible record.
struct intent_text_bytes {
  std::size_t key = 0, tenant = 0, request_class = 0, server = 0;
};
std::uint64_t max_intent_bytes(const intent_text_bytes& longest);
std::uint64_t max_result_bytes(std::size_t largest_result);

}  // namespace marblewharf::idempotency
