#include "transaction/log_folder.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "transaction/legacy_log.hpp"

namespace marblewharf::transaction {
namespace {

constexpr double space_amplification = 2;  // disk space relative to live data (docs/store.md)
// Outcomes are kept on disk for this much longer than in memory, so that the result of every outcome in
// memory can be read.
constexpr std::chrono::nanoseconds extra_retention = std::chrono::seconds(2);

void commit_all(store::tables& tables, const std::string& folder,
                const std::vector<const store::batch*>& batches, std::int64_t now) {
  for (const store::tables::committed& committed : tables.commit_all(batches, now)) {
    if (!committed.fault.empty()) throw store::io_error(committed.fault);
    if (!committed.result.accepted)
      throw store::io_error(folder + ": not enough space to migrate the legacy log: increase writes.space");
  }
}

// Writes the rows of the legacy log and returns their number. The batch that marks the migration as complete
// is written last. A repeated migration writes the same batches as the one that failed.
std::size_t migrate(store::tables& tables, const std::string& folder, const legacy_log& legacy,
                    std::int64_t now) {
  const std::vector<store::batch> batches = legacy.migrate(now, tables.salt());
  std::vector<const store::batch*> rows;
  rows.reserve(batches.size());
  for (const store::batch& batch : batches) rows.push_back(&batch);
  const store::batch* migrated = rows.back();
  rows.pop_back();
  commit_all(tables, folder, rows, now);
  commit_all(tables, folder, {migrated}, now);
  return rows.size();
}

std::vector<outcome_found> read_outcomes(const store::tables& tables, const std::string& folder,
                                         std::int64_t now) {
  std::vector<outcome_found> outcomes;
  tables.visit_keys(outcome_table, now, [&](const std::string& key, std::int64_t expiry) {
    const auto id = parse_outcome_id(key);
    if (!id) throw store::damaged(folder + ": table outcome has a row with an invalid key");
    outcomes.push_back({*id, expiry - extra_retention.count()});
  });
  std::sort(outcomes.begin(), outcomes.end(),
            [](const outcome_found& a, const outcome_found& b) { return a.expiry < b.expiry; });
  return outcomes;
}

std::vector<open_transaction_found> read_open_transactions(const store::tables& tables,
                                                           const std::string& folder, std::int64_t now) {
  std::vector<open_transaction_found> open;
  const auto read = [&](const std::string& id, const std::string& value) {
    auto begin = parse_begin_record(id, value);
    const auto row = tables.get(record_table, id, now);
    const auto last = row ? parse_log_record(*row) : std::optional(log_record::begin);
    if (!begin || !last)
      throw store::damaged(folder + ": the records of open transaction " + id + " are invalid");
    open.push_back({std::move(*begin), *last});
    return true;
  };
  tables.scan(open_table, "", "", now, std::nullopt, read);
  return open;
}

}  // namespace

log_folder open_log_folder(store::file_system& fs, const log_folder_options& options, std::int64_t unix_now) {
  legacy_log legacy;
  store::tables_options tables_options;
  tables_options.folder = options.folder;
  tables_options.disk = {options.segment_bytes, options.space_bytes, space_amplification};
  tables_options.lifetimes = {{outcome_table, options.outcome_retention + extra_retention}};
  // No limit of keys: the outcome cache and admission already limit outcomes and open transactions.
  tables_options.max_keys = std::numeric_limits<std::size_t>::max();
  tables_options.salt = options.salt;
  tables_options.on_legacy_record = [&legacy](std::uint32_t type, std::string_view body) {
    legacy.add_record(type, body);
  };
  log_folder found;
  found.tables = std::make_unique<store::tables>(fs, std::move(tables_options), unix_now);
  store::tables& tables = *found.tables;
  const std::int64_t now = std::max(unix_now, tables.latest_time());
  if (!legacy.empty() && !tables.get(meta_table, migrated_key, now))
    found.migrated_rows = migrate(tables, options.folder, legacy, now);
  found.outcomes = read_outcomes(tables, options.folder, now);
  found.open = read_open_transactions(tables, options.folder, now);
  return found;
}

}  // namespace marblewharf::transaction
