#include "transaction/legacy_log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "transaction/length_prefixed.hpp"

namespace marblewharf::transaction {
namespace {

// On disk: id, expiry, record, whether it committed; then class, key, payload and endpoints, each with its
// length. Fields that a record does not need are empty; in the first versions a record ends behind the
// payload.
struct legacy_record {
  transaction_id id;
  std::int64_t expiry = 0;
  log_record record{};
  bool committed = false;
  std::string request_class;
  std::string key;
  std::string payload;  // of an end record: the result
  std::string endpoints;
};

std::optional<legacy_record> parse(std::uint32_t type, std::string_view in) {
  constexpr std::uint32_t record_type = 16;
  constexpr std::size_t expiry_offset = transaction_id_size;
  constexpr std::size_t record_offset = expiry_offset + sizeof(std::int64_t);
  constexpr std::size_t committed_offset = record_offset + sizeof(std::uint32_t);
  constexpr std::size_t fixed_size = committed_offset + sizeof(std::uint32_t);
  if (type != record_type || in.size() < fixed_size) return std::nullopt;
  legacy_record parsed;
  parsed.id = in.substr(0, transaction_id_size);
  parsed.expiry = store::get<std::int64_t>(in, expiry_offset);
  parsed.record = static_cast<log_record>(store::get<std::uint32_t>(in, record_offset));
  parsed.committed = store::get<std::uint32_t>(in, committed_offset) != 0;
  in.remove_prefix(fixed_size);
  for (std::string* text : {&parsed.request_class, &parsed.key, &parsed.payload, &parsed.endpoints}) {
    if (in.empty() && text == &parsed.endpoints) break;
    if (!consume_text(in, *text)) return std::nullopt;
  }
  return parsed;
}

}  // namespace

void legacy_log::add_record(std::uint32_t type, std::string_view body) {
  empty_ = false;
  auto parsed = parse(type, body);
  if (!parsed) return;
  const auto known = transactions_.find(parsed->id);
  if (known == transactions_.end()) {
    // Without a class it continues a transaction of which nothing else is left.
    if (parsed->request_class.empty()) return;
    found_transaction& added = transactions_[parsed->id];
    added.begin = {parsed->id, std::move(parsed->request_class), std::move(parsed->key),
                   std::move(parsed->payload), std::move(parsed->endpoints)};
    added.last = parsed->record;
    added.expiry = parsed->expiry;
    return;
  }
  found_transaction& found = known->second;
  found.last = std::max(found.last, parsed->record);
  if (parsed->record != log_record::end) return;
  found.committed = parsed->committed;
  found.expiry = parsed->expiry;
  found.result = std::move(parsed->payload);
}

std::vector<store::batch> legacy_log::migrate(std::int64_t now, std::uint64_t salt) const {
  std::vector<store::batch> batches;
  for (const auto& [id, found] : transactions_) {
    if (found.last != log_record::end) {
      batches.push_back(begin_batch(found.begin));
      if (found.last != log_record::begin) batches.push_back(record_batch(id, found.last));
    } else if (found.committed && found.expiry > now) {
      const outcome_id outcome{number_of(id), hash_key(found.begin.key, salt)};
      batches.push_back(end_batch(id, committed_outcome{outcome, {found.begin.key, found.result}}));
    }
  }
  store::batch migrated;
  migrated.put(meta_table, migrated_key, {});
  batches.push_back(std::move(migrated));
  return batches;
}

}  // namespace marblewharf::transaction
