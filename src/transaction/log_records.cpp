#include "transaction/log_records.hpp"

#include <charconv>
#include <utility>

#include "idempotency/records.hpp"
#include "store/table_records.hpp"
#include "transaction/length_prefixed.hpp"

namespace marblewharf::transaction {
namespace {

constexpr std::size_t number_size = sizeof(std::uint64_t);
constexpr std::size_t outcome_id_size = 3 * number_size;

void append_big_endian(std::string& out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(number >> shift & 0xff);
}

std::uint64_t read_big_endian(std::string_view in) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < number_size; ++i) number = number << 8 | static_cast<unsigned char>(in[i]);
  return number;
}

std::uint64_t disk_space_of_row(std::size_t key_bytes, std::size_t value_bytes) {
  return store::max_bytes_on_disk(store::row_header_size + store::max_table_name_bytes + key_bytes +
                                  value_bytes);
}

}  // namespace

std::uint64_t number_of(std::string_view id) {
  constexpr int hexadecimal = 16;
  std::uint64_t number = 0;
  if (id.size() == transaction_id_size)
    std::from_chars(id.data() + transaction_id_size / 2, id.data() + transaction_id_size, number,
                    hexadecimal);
  return number;
}

store::batch begin_batch(const begin_record& begin) {
  std::string value;
  for (const std::string* text : {&begin.request_class, &begin.key, &begin.payload, &begin.endpoints})
    append_text(value, *text);
  store::batch batch;
  batch.put(open_table, begin.id, std::move(value));
  return batch;
}

store::batch record_batch(const transaction_id& id, log_record record) {
  store::batch batch;
  batch.put(record_table, id, std::string(1, static_cast<char>(record)));
  return batch;
}

store::batch end_batch(const transaction_id& id, const std::optional<committed_outcome>& outcome) {
  store::batch batch;
  batch.erase(open_table, id);
  batch.erase(record_table, id);
  if (!outcome) return batch;
  std::string value;
  append_text(value, outcome->result.key);
  append_text(value, outcome->result.result);
  batch.put(outcome_table, encode_outcome_id(outcome->id), std::move(value));
  return batch;
}

std::optional<begin_record> parse_begin_record(const transaction_id& id, std::string_view value) {
  begin_record begin;
  begin.id = id;
  for (std::string* text : {&begin.request_class, &begin.key, &begin.payload, &begin.endpoints})
    if (!consume_text(value, *text)) return std::nullopt;
  if (id.size() != transaction_id_size || !value.empty()) return std::nullopt;
  return begin;
}

std::optional<log_record> parse_log_record(std::string_view value) {
  if (value.size() != 1) return std::nullopt;
  const auto record = static_cast<log_record>(value[0]);
  if (record != log_record::last_agent && record != log_record::commit && record != log_record::abort)
    return std::nullopt;
  return record;
}

std::optional<result_record> parse_result_record(std::string_view value) {
  result_record result;
  if (!consume_text(value, result.key) || !consume_text(value, result.result) || !value.empty())
    return std::nullopt;
  return result;
}

std::string encode_outcome_id(const outcome_id& id) {
  std::string key;
  for (const std::uint64_t number : {id.number, id.key.high, id.key.low}) append_big_endian(key, number);
  return key;
}

std::optional<outcome_id> parse_outcome_id(std::string_view key) {
  if (key.size() != outcome_id_size) return std::nullopt;
  outcome_id id;
  id.number = read_big_endian(key);
  id.key.high = read_big_endian(key.substr(number_size));
  id.key.low = read_big_endian(key.substr(2 * number_size));
  return id;
}

std::uint64_t disk_space_of_transaction(std::size_t payload_bytes, std::size_t longest_result_bytes) {
  constexpr std::size_t names_bytes = 1024;  // reserved for class, key and endpoints
  constexpr std::uint64_t records = 3;       // last_agent, commit, abort
  constexpr std::uint64_t erased_rows = 2;
  return disk_space_of_row(transaction_id_size, payload_bytes + names_bytes) +
         (records + erased_rows) * disk_space_of_row(transaction_id_size, 1) +
         disk_space_of_row(outcome_id_size, names_bytes + longest_result_bytes);
}

outcome_cache::key hash_key(std::string_view key, std::uint64_t salt) {
  const idempotency::key_id hash = idempotency::key_id_of({}, {}, key, salt);
  return {hash.low, hash.high};
}

}  // namespace marblewharf::transaction
