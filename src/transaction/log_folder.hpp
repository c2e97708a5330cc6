// Opens the folder of the transaction log: its tables, the transactions that have not ended, and the outcomes
// of those that have. A folder with a legacy log is migrated on the way (docs/store.md).
//
// Blocks on the disk. Times are nanoseconds of Unix time; a clock that was set back is held at the latest
// time that the folder knows of.
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
  std::chrono::nanoseconds outcome_retention{};  // from the end of the transaction
  std::uint64_t salt = 0;                        // for a new folder
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
  std::vector<outcome_found> outcomes;  // in the order in which they expire
  std::size_t migrated_rows = 0;        // made of a legacy log
};

// Throws store::held where another process has the folder, store::io_error (also where there is no space for
// the migration) or store::damaged. A migration that fails is done anew by the next call.
log_folder open_log_folder(store::file_system& fs, const log_folder_options& options, std::int64_t unix_now);

}  // namespace marblewharf::transaction
