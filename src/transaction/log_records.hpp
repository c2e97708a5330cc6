// Encoding of transactions on disk: table rows, written in one batch per log record (docs/store.md).
//
// Free of I/O and clocks. Numbers in values are little-endian. Numbers in keys are big-endian, so that keys
// sort in numerical order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/tables.hpp"
#include "transaction/outcome_cache.hpp"
#include "transaction/state_machine.hpp"

namespace marblewharf::transaction {

// Begin records of open transactions.
inline constexpr const char* open_table = "open";
// The last log record of open transactions, unless it is `begin`.
inline constexpr const char* record_table = "mark";
// Results of committed transactions.
inline constexpr const char* outcome_table = "outcome";
inline constexpr const char* meta_table = "meta";
// Key in meta_table; present once the migration of the legacy log is complete.
inline constexpr const char* migrated_key = "moved";

// 32 hexadecimal digits; the second half is the transaction's number.
using transaction_id = std::string;
inline constexpr std::size_t transaction_id_size = 32;
// Returns the transaction's number; 0 if `id` is not a transaction id.
std::uint64_t number_of(std::string_view id);

// A participant of a transaction as the settings had it when the transaction began.
struct recorded_participant {
  std::string name;     // of its dependency
  std::string address;  // host:port of the endpoint that gets all requests of the transaction
  bool one_phase = false;
  std::uint32_t endpoints = 1;  // the number of endpoints that the participant had
  bool operator==(const recorded_participant&) const = default;
};
// The data that recovery needs to continue a transaction.
struct begin_record {
  transaction_id id;
  std::string request_class;
  std::string key;      // the request's key, including its tenant and class
  std::string payload;  // the request's payload
  // Of earlier versions, which did not record names: the endpoints of the participants (host:port, separated
  // by spaces) in the order of the plan. Empty: the first endpoint of each participant.
  std::string endpoints{};
  std::vector<recorded_participant> participants{};  // in the order of the plan
};
// The result of a committed transaction.
struct result_record {
  std::string key;  // the request's key; distinguishes keys with the same hash
  std::string result;
};
struct outcome_id {
  std::uint64_t number = 0;  // the transaction's number
  outcome_cache::key key;    // hash with the folder's salt
};
struct committed_outcome {
  outcome_id id;
  result_record result;
};

// Each batch must be durable before any action that depends on it.
store::batch begin_batch(const begin_record& begin);
// `record` must not be begin or end.
store::batch record_batch(const transaction_id& id, log_record record);
// Removes the transaction's rows and adds its outcome in the same batch. Without an outcome (the transaction
// was aborted) no record of the transaction remains.
store::batch end_batch(const transaction_id& id, const std::optional<committed_outcome>& outcome);

// The parse functions return none if the bytes are not a valid row of this kind.
std::optional<begin_record> parse_begin_record(const transaction_id& id, std::string_view value);
std::optional<log_record> parse_log_record(std::string_view value);
std::optional<result_record> parse_result_record(std::string_view value);
std::string encode_outcome_id(const outcome_id& id);
std::optional<outcome_id> parse_outcome_id(std::string_view key);

// The maximum disk space in bytes of all rows of a transaction, for the given sizes of its request and of the
// longest possible result.
std::uint64_t disk_space_of_transaction(std::size_t payload_bytes, std::size_t longest_result_bytes);

// The hash that identifies a request's key in a folder.
outcome_cache::key hash_key(std::string_view key, std::uint64_t salt);

}  // namespace marblewharf::transaction
