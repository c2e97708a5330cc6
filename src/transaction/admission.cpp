#include "transaction/admission.hpp"

#include <algorithm>

namespace marblewharf::transaction {
namespace {

constexpr duration min_retry_after = std::chrono::seconds(1);

// The retry-after when space or memory is exhausted: capacity becomes free when the next outcome expires.
duration until_next_expiry(const admission_inputs& inputs) {
  return std::max<duration>(min_retry_after, duration(inputs.outcomes.next_expiry() - inputs.now));
}

}  // namespace

std::optional<rejection> admit(const admission_inputs& inputs, const std::vector<std::size_t>& participants,
                               upstream::in_flight_calls& calls) {
  if (!inputs.log || !inputs.log->writable)
    return rejection{rejection_reason::log_not_writable, inputs.disk_retry_after};
  const auto growth = static_cast<std::int64_t>(inputs.bytes_needed);
  const store::verdict space = inputs.log->rules.admit(inputs.log->disk, inputs.bytes_needed, growth);
  if (!space.accepted) {
    const duration retry_after = space.retry_after ? std::max<duration>(min_retry_after, *space.retry_after)
                                                   : until_next_expiry(inputs);
    return rejection{rejection_reason::log_full, retry_after};
  }
  if (!inputs.outcomes.has_capacity())
    return rejection{rejection_reason::outcomes_full, until_next_expiry(inputs)};
  if (!calls.try_acquire(participants))
    return rejection{rejection_reason::participants_busy, inputs.participant_retry_after};
  return std::nullopt;
}

}  // namespace marblewharf::transaction
