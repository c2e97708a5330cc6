// The folder of writes over several participants, as a start finds it: tables open for more, what is under
// way, and what is known to be over. A folder that an older program left is moved up on the way
// (docs/store.md).
//
// Blocks on the disk. Moments are nanoseconds of Unix time, held at the latest that the folder knows of.
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
  std::uint64_t segment = std::uint64_t{8} << 20, space = std::uint64_t{256} << 20;  // bytes
  std::chrono::nanoseconds keep{};  // an outcome, from its write's end
  std::uint64_t salt = 0;           // for a new folder
};

struct found_write {
  begun_write what;
  log_mark last{};
};
struct found_outcome {
  outcome_id what;
  std::int64_t expiry = 0;
};
struct log_folder {
  std::unique_ptr<store::tables> tables;
  std::vector<found_write> open;
  std::vector<found_outcome> over;  // in the order in which they age
  std::size_t moved = 0;            // rows made of an older program's marks
};

// Throws store::held, io_error (also where there is no room to move up) or damaged. What was begun and broken
// off is done anew by the next call.
log_folder open_log_folder(store::file_system& fs, const log_folder_options& o, std::int64_t unix_now);

}  // namespace marblewharf::transaction
