// The decision whether a transaction may begin.
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
  log_not_writable,   // another process has the folder, or the disk fails
  log_full,           // no space on disk for all records of all open transactions
  outcomes_full,      // no room in memory for one more outcome
  participants_busy,  // a participant has as many calls in flight as it may
};
struct rejection {
  rejection_reason reason{};
  duration retry_after{};
};

struct admission_inputs {
  const std::optional<store::table_service::condition>& log;  // none: the log is not open
  std::uint64_t bytes_needed = 0;  // on disk: by this transaction and by all that are open
  const outcome_cache& outcomes;
  outcome_cache::timestamp now = 0;
  duration disk_retry{};         // how long clients wait for a disk that fails
  duration participant_retry{};  // how long clients wait for a busy participant
};

// A transaction that has begun is never stopped, so all that it may need has to be there before: otherwise it
// is rejected, and no participant has been asked. None: it may begin, and has taken a call in flight at each
// of `participants`.
std::optional<rejection> admit(const admission_inputs& inputs, const std::vector<std::size_t>& participants,
                               upstream::in_flight_calls& calls);

}  // namespace marblewharf::transaction
