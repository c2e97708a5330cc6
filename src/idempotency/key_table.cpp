#include "idempotency/key_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace marblewharf::idempotency {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t unknown_window = 0;  // the window of the queue for recovered keys
constexpr std::chrono::nanoseconds min_retry_after = 1s;
constexpr unsigned max_pause_doublings = 10;

}  // namespace

// ---- Recovery ---------------------------------------------------------------------------------------------

// A key may have several records in one folder, if it expired or was released and was claimed again. The
// latest record applies.
void key_table::recover_intent(const key_id& key, std::uint64_t fingerprint, aging_time expiry,
                               server_index server, aging_time now) {
  if (expiry <= now) return;
  entry& recovered = entries_[key];
  recovered = entry{};
  recovered.fingerprint = fingerprint;
  recovered.expiry = expiry;
  recovered.server = server;
  recovered.state = key_state::outcome_unknown;
}

void key_table::recover_result(const key_id& key, std::uint64_t fingerprint, aging_time expiry,
                               const store::position& result_at, aging_time now) {
  if (expiry <= now) return;
  entry& recovered = entries_[key];
  recovered = entry{};
  recovered.fingerprint = fingerprint;
  recovered.expiry = expiry;
  recovered.result_at = result_at;
  recovered.state = key_state::completed;
}

void key_table::recover_release(const key_id& key) {
  entries_.erase(key);
}

void key_table::finish_recovery() {
  std::vector<expiring_key> recovered;
  recovered.reserve(entries_.size());
  outcomes_unknown_ = 0;
  for (const auto& [key, known] : entries_) {
    recovered.push_back({known.expiry, key});
    if (known.state == key_state::outcome_unknown) ++outcomes_unknown_;
  }
  std::sort(recovered.begin(), recovered.end(),
            [](const expiring_key& a, const expiring_key& b) { return a.expiry < b.expiry; });
  expiry_queues_[unknown_window].assign(recovered.begin(), recovered.end());
}

// ---- Requests ---------------------------------------------------------------------------------------------

key_claim key_table::claim(const key_id& key, std::uint64_t fingerprint, request_id id,
                           std::chrono::nanoseconds window, aging_time now) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return claim_new(key, fingerprint, id, window, now);
  const bool expired = found->second.expiry <= now && !is_open(found->second.state);
  if (!expired) return claim_known(found->second, fingerprint, id, now);
  erase(found);
  return claim_new(key, fingerprint, id, window, now);
}

key_claim key_table::claim_known(entry& known, std::uint64_t fingerprint, request_id id, aging_time now) {
  if (known.fingerprint != fingerprint) return {.status = claim_status::key_conflict};
  if (is_open(known.state)) return {.status = claim_status::coalesced, .primary = known.primary};
  if (known.state == key_state::completed)
    return {.status = claim_status::completed, .result_at = known.result_at};
  const bool may_inquire = options_.inquiry_tries > 0 && now >= known.inquire_after;
  const bool can_record_result = can_reserve(options_.max_result_bytes) && open_ < options_.max_open_keys;
  if (!may_inquire || !can_record_result) return {.status = claim_status::outcome_unknown};
  enter(known, key_state::inquiring);
  known.primary = id;
  return {.status = claim_status::inquiry_primary, .primary = id, .server = known.server};
}

key_claim key_table::claim_new(const key_id& key, std::uint64_t fingerprint, request_id id,
                               std::chrono::nanoseconds window, aging_time now) {
  const bool has_capacity = can_reserve(bytes_to_reserve(key_state::queued)) &&
                            entries_.size() < options_.max_keys && open_ < options_.max_open_keys;
  if (!has_capacity) return no_capacity(now);
  entry added;
  added.fingerprint = fingerprint;
  added.expiry = now + window.count();
  added.primary = id;
  added.state = key_state::queued;
  // The queue first: it may list keys that the table does not have, if emplace() throws.
  expiry_queues_[window.count()].push_back({added.expiry, key});
  entries_.emplace(key, added);
  ++open_;
  reserved_bytes_ += bytes_to_reserve(added.state);
  return {.status = claim_status::primary, .primary = id};
}

bool key_table::can_reserve(std::uint64_t bytes) const {
  return disk_.writable && reserved_bytes_ + bytes <= disk_.free_bytes;
}

// Advises when capacity may be available again: when the disk is tried again, when a segment frees its space,
// or after a short time, in which open keys may complete.
key_claim key_table::no_capacity(aging_time now) const {
  std::chrono::nanoseconds wait = min_retry_after;
  if (!disk_.writable) {
    wait = std::max(wait, options_.retry_disk);
  } else if (open_ < options_.max_open_keys && disk_.next_segment_expiry > now) {
    wait = std::max(wait, std::chrono::nanoseconds(disk_.next_segment_expiry - now));
  }
  return {.status = claim_status::no_capacity, .retry_after = wait};
}

// ---- Transitions ------------------------------------------------------------------------------------------

std::uint64_t key_table::bytes_to_reserve(key_state state) const {
  switch (state) {
    case key_state::queued:
    case key_state::writing_intent: return options_.max_intent_bytes + options_.max_result_bytes;
    case key_state::running:
    case key_state::recording_result:
    case key_state::inquiring: return options_.max_result_bytes;
    case key_state::outcome_unknown:
    case key_state::completed: return 0;
  }
  return 0;
}

void key_table::enter(entry& changed, key_state to) {
  reserved_bytes_ -= bytes_to_reserve(changed.state);
  reserved_bytes_ += bytes_to_reserve(to);
  open_ -= is_open(changed.state);
  open_ += is_open(to);
  outcomes_unknown_ -= changed.state == key_state::outcome_unknown;
  outcomes_unknown_ += to == key_state::outcome_unknown;
  changed.state = to;
  if (!is_open(to)) changed.primary = 0;
}

bool key_table::transition(const key_id& key, key_state from, key_state to) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.state != from) return false;
  enter(found->second, to);
  return true;
}

bool key_table::begin_intent(const key_id& key, server_index server) {
  const bool begun = transition(key, key_state::queued, key_state::writing_intent) ||
                     transition(key, key_state::running, key_state::writing_intent);
  if (begun) entries_.at(key).server = server;
  return begun;
}

bool key_table::intent_written(const key_id& key) {
  return transition(key, key_state::writing_intent, key_state::running);
}

bool key_table::begin_recording(const key_id& key) {
  return transition(key, key_state::running, key_state::recording_result) ||
         transition(key, key_state::inquiring, key_state::recording_result) ||
         transition(key, key_state::outcome_unknown, key_state::recording_result);
}

bool key_table::result_recorded(const key_id& key, const store::position& result_at, aging_time now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.state != key_state::recording_result) return false;
  found->second.result_at = result_at;
  enter(found->second, key_state::completed);
  if (found->second.expiry <= now) erase(found);  // the key expired while it was open
  return true;
}

bool key_table::mark_outcome_unknown(const key_id& key) {
  return transition(key, key_state::running, key_state::outcome_unknown);
}

bool key_table::release(const key_id& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  const key_state state = found->second.state;
  if (state == key_state::completed || state == key_state::recording_result) return false;
  erase(found);
  return true;
}

void key_table::abandon(const key_id& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || !is_open(found->second.state)) return;
  if (found->second.state == key_state::queued) {
    erase(found);
  } else {
    enter(found->second, key_state::outcome_unknown);
  }
}

// Counts a failed inquiry and returns the pause before the next one. Returns 0 once `inquiry_tries` is
// reached: then there is no further inquiry until a duplicate arrives after the pause has passed. The pause
// doubles with each failed inquiry, up to a limit.
std::chrono::nanoseconds key_table::schedule_inquiry_retry(const key_id& key, aging_time now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.state != key_state::inquiring) return 0ns;
  entry& inquired = found->second;
  const unsigned doublings = std::min<unsigned>(inquired.inquiries_failed, max_pause_doublings);
  const std::chrono::nanoseconds pause = options_.inquiry_pause * (1u << doublings);
  if (++inquired.inquiries_failed < options_.inquiry_tries) return pause;
  // The counter is incremented once more before it is limited again.
  constexpr unsigned max_failed = std::numeric_limits<std::uint8_t>::max() - 1;
  inquired.inquiries_failed =
      static_cast<std::uint8_t>(std::min<unsigned>(inquired.inquiries_failed, max_failed));
  inquired.inquire_after = now + pause.count();
  enter(inquired, key_state::outcome_unknown);
  return 0ns;
}

// ---- Expiry -----------------------------------------------------------------------------------------------

void key_table::expire(aging_time now) {
  for (auto& [window, queue] : expiry_queues_) {
    while (!queue.empty() && queue.front().expiry <= now) {
      const expiring_key next = queue.front();
      queue.pop_front();
      const auto found = entries_.find(next.key);
      if (found == entries_.end()) continue;
      const bool claimed_anew = found->second.expiry != next.expiry;
      if (!claimed_anew && !is_open(found->second.state)) erase(found);
    }
  }
}

void key_table::erase(entry_map::iterator erased) {
  const key_state last = erased->second.state;
  reserved_bytes_ -= bytes_to_reserve(last);
  open_ -= is_open(last);
  outcomes_unknown_ -= last == key_state::outcome_unknown;
  entries_.erase(erased);
}

}  // namespace marblewharf::idempotency
