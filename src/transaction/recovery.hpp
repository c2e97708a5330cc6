// Recovery of the transaction log, at start-up or after another process has released its folder.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "idempotency/aging_clock.hpp"
#include "store/tables.hpp"
#include "transaction/log_folder.hpp"
#include "transaction/open_transaction.hpp"

namespace marblewharf::transaction {

// An open transaction whose participants are not in the settings. Its outcome is unknown.
struct unresumed_transaction {
  std::uint64_t number = 0;
  std::string key;  // the request's key
};

struct recovered_log {
  std::unique_ptr<store::tables> tables;
  idempotency::aging_clock clock;
  std::vector<outcome_found> outcomes;  // in order of expiry
  // Open transactions, with the endpoints at which they started. Their state machines have not been resumed
  // yet.
  std::vector<std::shared_ptr<open_transaction>> open;
  std::vector<unresumed_transaction> unresumed;
};

// Blocks on disk I/O. If the settings no longer have the plan or a participant of an open transaction, a
// message is logged and the records of the transaction remain on disk unchanged. `salt`: used for a new
// folder. Throws store::folder_locked if another process holds the folder, store::io_error or store::damaged.
recovered_log recover_log(store::file_system& fs, const config& settings,
                          std::chrono::nanoseconds outcome_retention, std::uint64_t salt);

}  // namespace marblewharf::transaction
