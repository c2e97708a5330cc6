// Admission control of transactions.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/request.hpp"
#include "store/table_service.hpp"
#include "transaction/outcome_cache.hpp"
#include "upstream/in_flight_calls.hpp"

namespace marblewharf::transaction {

enum class rejection_reason {
  log_not_writable,   // another process holds the folder, or the disk fails
  log_full,           // not enough disk space for all records of all open transactions
  outcomes_full,      // the outcome cache is full
  participants_busy,  // a participant is at its limit of calls in flight
};
struct rejection {
  rejection_reason reason{};
  duration retry_after{};
};

struct admission_inputs {
  const std::optional<store::table_service::condition>& log;  // none: the log is not open
  std::uint64_t bytes_needed = 0;  // disk space for this transaction and all open ones
  const outcome_cache& outcomes;
  outcome_cache::timestamp now = 0;
  duration disk_retry_after{};         // retry-after while the log is not writable
  duration participant_retry_after{};  // retry-after while a participant is busy
};

// Decides whether a transaction may start. A transaction cannot be stopped once it has started, so all
// resources that it may need must be available in advance; otherwise it is rejected before any participant is
// contacted. None: the transaction is admitted, and one call in flight at each of `participants` was acquired
// for it.
std::optional<rejection> admit(const admission_inputs& inputs, const std::vector<std::size_t>& participants,
                               upstream::in_flight_calls& calls);

}  // namespace marblewharf::transaction
