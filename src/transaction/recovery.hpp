// What the transaction log's folder holds at a start, or when another process lets go of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "config/config.hpp"
#include "idempotency/aging_clock.hpp"
#include "store/tables.hpp"
#include "transaction/log_folder.hpp"
#include "transaction/open_transaction.hpp"

namespace marblewharf::transaction {

struct recovered_log {
  std::unique_ptr<store::tables> tables;
  idempotency::aging_clock clock;
  std::vector<outcome_found> outcomes;  // in the order in which they expire
  // At the endpoints where they began; their state machines have not gone on yet.
  std::vector<std::shared_ptr<open_transaction>> open;
};

// Blocks on the disk. A transaction of a class that has no plan any more is logged, and left as it is on
// disk. `salt`: for a new folder. Throws store::held where another process has the folder, store::io_error or
// store::damaged.
recovered_log recover_log(store::file_system& fs, const config& settings,
                          std::chrono::nanoseconds outcome_retention, std::uint64_t salt);

}  // namespace marblewharf::transaction
