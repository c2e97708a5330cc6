#include "transaction/legacy_log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "transaction/length_prefixed.hpp"

namespace marblewharf::transaction {
namespace {

// Layout on disk: id, expiry, record type, committed flag; then class, key, payload and endpoints, each
// length-prefixed. Fields that a record type does not use are empty. Records of the first versions have no
// endpoints.
struct legacy_record {
  transaction_id id;
  std::int64_t expiry = 0;
  log_record record{};
  bool committed = false;
  std::string request_class;
  std::string key;
  std::string payload;  // in an end record: the result
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
    // A record without a class is not the first of its transaction; the earlier records have expired.
    if (parsed->request_class.empty()) return;
    found_transaction& transaction = transactions_[parsed->id];
    transaction.begin = {parsed->id, std::move(parsed->request_class), std::move(parsed->key),
                         std::move(parsed->payload), std::move(parsed->endpoints)};
    transaction.last = parsed->record;
    transaction.expiry = parsed->expiry;
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
