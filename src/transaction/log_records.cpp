#include "transaction/log_records.hpp"

#include <charconv>
#include <utility>

#include "idempotency/records.hpp"
#include "store/table_records.hpp"
#include "transaction/length_prefixed.hpp"

namespace marblewharf::transaction {
namespace {

constexpr std::size_t number_size = sizeof(std::uint64_t);
// In place of the endpoints of earlier versions: the participants follow. No endpoint is called so.
constexpr std::string_view participants_marker = "participants";
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

std::string encode_participants(const std::vector<recorded_participant>& participants) {
  std::string encoded;
  for (const recorded_participant& participant : participants) {
    append_text(encoded, participant.name);
    append_text(encoded, participant.address);
    store::put(encoded, std::uint32_t{participant.one_phase});
    store::put(encoded, participant.endpoints);
  }
  return encoded;
}

bool consume_number(std::string_view& in, std::uint32_t& out) {
  if (in.size() < sizeof out) return false;
  out = store::get<std::uint32_t>(in, 0);
  in.remove_prefix(sizeof out);
  return true;
}

bool parse_participants(std::string_view in, std::vector<recorded_participant>& participants) {
  while (!in.empty()) {
    recorded_participant& participant = participants.emplace_back();
    std::uint32_t one_phase = 0;
    const bool complete = consume_text(in, participant.name) && consume_text(in, participant.address) &&
                          consume_number(in, one_phase) && consume_number(in, participant.endpoints);
    if (!complete || one_phase > 1) return false;
    participant.one_phase = one_phase != 0;
  }
  return !participants.empty();
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
  for (const std::string* text : {&begin.request_class, &begin.key, &begin.payload})
    append_text(value, *text);
  if (begin.participants.empty()) {
    append_text(value, begin.endpoints);
  } else {
    append_text(value, participants_marker);
    append_text(value, encode_participants(begin.participants));
  }
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
  if (id.size() != transaction_id_size) return std::nullopt;
  if (begin.endpoints != participants_marker) return value.empty() ? std::optional(begin) : std::nullopt;
  begin.endpoints.clear();
  std::string participants;
  const bool complete = consume_text(value, participants) && value.empty();
  if (!complete || !parse_participants(participants, begin.participants)) return std::nullopt;
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
  constexpr std::size_t names_bytes = 2048;  // reserved for class, key and participants
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
