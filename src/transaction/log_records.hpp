// What a transaction has on disk: rows of tables, one batch for each log record (docs/store.md).
//
// Free of I/O and clocks. Numbers in values are little-endian; in keys they are big-endian, so that the order
// of keys is the order of numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/tables.hpp"
#include "transaction/outcome_cache.hpp"
#include "transaction/state_machine.hpp"

namespace marblewharf::transaction {

inline constexpr const char* open_table = "open";        // begin records of transactions that have not ended
inline constexpr const char* record_table = "mark";      // their last log record, where it is not `begin`
inline constexpr const char* outcome_table = "outcome";  // results of committed transactions
inline constexpr const char* meta_table = "meta";
inline constexpr const char* migrated_key = "moved";  // of meta: the legacy log's records are in the tables

// 32 hexadecimal digits; the second half is the transaction's number.
using transaction_id = std::string;
inline constexpr std::size_t transaction_id_size = 32;
// 0 where `id` is no transaction's id.
std::uint64_t number_of(std::string_view id);

// All that recovery needs to go on with a transaction.
struct begin_record {
  transaction_id id;
  std::string request_class;
  std::string key;      // of the request, with its scope
  std::string payload;  // of the request
  // Of the participants, in the plan's order: host:port with a blank between. Empty: the first endpoint of
  // each.
  std::string endpoints;
};
// The result of a committed transaction.
struct result_record {
  std::string key;  // of the request: tells apart keys with the same hash
  std::string result;
};
struct outcome_id {
  std::uint64_t number = 0;  // of the transaction
  outcome_cache::key key;    // hash under the folder's salt
};
struct committed_outcome {
  outcome_id id;
  result_record result;
};

// Each batch must be durable before anything that follows from it.
store::batch begin_batch(const begin_record& begin);
// `record`: neither begin nor end.
store::batch record_batch(const transaction_id& id, log_record record);
// Removes the transaction's rows and adds its outcome, in one batch. No outcome: it was aborted, and nothing
// is kept of it.
store::batch end_batch(const transaction_id& id, const std::optional<committed_outcome>& outcome);

// None where the bytes are no such row.
std::optional<begin_record> parse_begin_record(const transaction_id& id, std::string_view value);
std::optional<log_record> parse_log_record(std::string_view value);
std::optional<result_record> parse_result_record(std::string_view value);
std::string encode_outcome_id(const outcome_id& id);
std::optional<outcome_id> parse_outcome_id(std::string_view key);

// Bytes on disk that all rows of a transaction may take together, given the sizes of its request and of the
// longest result.
std::uint64_t disk_space_of_transaction(std::size_t payload_bytes, std::size_t longest_result_bytes);

// The hash by which a request's key is known in a folder.
outcome_cache::key hash_key(std::string_view key, std::uint64_t salt);

}  // namespace marblewharf::transaction
