// Opens the folder of the transaction log and reads its tables, the open transactions, and the outcomes of
// committed ones. Migrates a legacy log to tables (docs/store.md).
//
// Blocks on disk I/O. Times are nanoseconds of Unix time. If the clock was set back, the latest time recorded
// in the folder is used instead.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "store/tables.hpp"
#include "transaction/log_records.hpp"

namespace marblewharf::transaction {

struct log_folder_options {
  std::string folder;
  std::uint64_t segment_bytes = std::uint64_t{8} << 20;
  std::uint64_t space_bytes = std::uint64_t{256} << 20;
  std::chrono::nanoseconds outcome_retention{};  // counted from the end of the transaction
  std::uint64_t salt = 0;                        // used for a new folder
};

struct open_transaction_found {
  begin_record begin;
  log_record last{};
};
struct outcome_found {
  outcome_id id;
  std::int64_t expiry = 0;
};
struct log_folder {
  std::unique_ptr<store::tables> tables;
  std::vector<open_transaction_found> open;
  std::vector<outcome_found> outcomes;  // in order of expiry
  std::size_t migrated_rows = 0;        // rows written by the migration of a legacy log
};

// Throws store::folder_locked if another process holds the folder, store::io_error (also if there is not
// enough space for the migration) or store::damaged. If a migration fails, the next call repeats it.
log_folder open_log_folder(store::file_system& fs, const log_folder_options& options, std::int64_t unix_now);

}  // namespace marblewharf::transaction
