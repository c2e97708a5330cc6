#include "idempotency/memory_service.hpp"

#include <algorithm>
#include <utility>

#include "core/tenant_name.hpp"
#include "idempotency/records.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr std::uint64_t no_fingerprint = 0;         // the fingerprint is part of the key
constexpr std::size_t table_bytes_per_entry = 512;  // in addition to the bytes of the result
constexpr duration peer_poll_interval = std::chrono::milliseconds(10);

key_table_options table_options_of(const memory_service_options& options) {
  key_table_options table;
  table.max_keys = options.memory / table_bytes_per_entry;
  table.max_open_keys = options.max_open_keys;
  table.max_result_bytes = options.largest_result + table_bytes_per_entry;
  return table;
}

}  // namespace

memory_service::memory_service(memory_service_options options, telemetry::counters& counters,
                               std::unique_ptr<shared_keys> shared, time_point now)
    : key_table_service(table_options_of(options), counters, options.longest_wait),
      options_(std::move(options)),
      shared_(std::move(shared)),
      now_(now) {
  publish_free_memory();
}

std::size_t memory_service::size_of(const stored_result& result) {
  return result.bytes.size() + table_bytes_per_entry;
}

// The table reserves memory for results in the same way as space on a disk. A result takes less space in the
// shared log than in the table.
void memory_service::publish_free_memory() {
  std::uint64_t free_bytes = options_.memory - std::min(options_.memory, bytes_);
  if (shared_) free_bytes = std::min(free_bytes, shared_->free_bytes());
  aging_time next_expiry = 0;
  if (!expiry_queue_.empty()) next_expiry = expiry_queue_.front().expiry + longest_wait().count();
  table_.set_disk({.writable = true, .free_bytes = free_bytes, .next_segment_expiry = next_expiry});
}

key_id memory_service::key_of(const request& claimant) const {
  const std::string client_key = claimant.key + std::to_string(claimant.fingerprint);
  return key_id_of(tenant_name(options_.tenants, claimant.tenant),
                   options_.classes.at(claimant.request_class), client_key, options_.salt);
}

claim_result memory_service::claim(request_id id, const request& claimant) {
  const key_id key = key_of(claimant);
  if (shared_) {
    shared_->read_events(now_);
    const peer_run* run = shared_->find(key, now_);
    if (shared_keys::forbids_run(run, claimant.arrival_time))
      return claim_peer_run(id, key, claimant, run->state);
  }
  const duration window = options_.windows.at(claimant.request_class);
  const key_claim claim = claim_key(id, key, no_fingerprint, window, claimant);
  if (claim.status == claim_status::completed) readers_[id] = {key, claimant.arrival_time, false};
  return to_result(claim);
}

// A request whose key runs in another process waits for the result in the same way as it waits for a stored
// result that is being read.
claim_result memory_service::claim_peer_run(request_id id, const key_id& key, const request& claimant,
                                            peer_run_state state) {
  switch (state) {
    case peer_run_state::running: count(claim_status::coalesced); break;
    case peer_run_state::completed: count(claim_status::completed); break;
    case peer_run_state::outcome_unknown:
    case peer_run_state::released:
      count(claim_status::outcome_unknown);
      return {.status = claim_status::outcome_unknown};
  }
  readers_[id] = {key, claimant.arrival_time, true};
  return {.status = claim_status::completed};
}

void memory_service::write_intent(request_id primary, const request& claimant) {
  const claimed_key& claimed = primary_key(primary);
  table_.begin_intent(claimed.key);
  if (shared_) {
    shared_->add_intent(primary, claimed.key, claimant.arrival_time, claimed.expiry, now_);
  } else {
    written_intents_.push_back(primary);
  }
}

// Only keys whose intent was published are known to the other processes.
void memory_service::publish_event(request_id primary, const key_event& event) {
  if (shared_) shared_->add_event(event, primary_key(primary).expiry);
}

bool memory_service::record_result(request_id primary, bool succeeded, std::string_view result) {
  const key_id key = primary_key(primary).key;
  if (!table_.begin_recording(key)) return false;
  const aging_time expiry = table_.expiry_of(key);
  // The result of an expired key may still be stored when the key is claimed again.
  if (const auto old = results_.find(key); old != results_.end()) bytes_ -= size_of(old->second);
  stored_result& stored = results_[key];
  stored = {succeeded, std::string(result), expiry};
  bytes_ += size_of(stored);
  expiry_queue_.push_back({expiry, key});
  recorded_results_.push_back(primary);
  publish_event(primary, {key_event_type::result, key, succeeded, result});
  return true;
}

void memory_service::mark_outcome_unknown(request_id primary) {
  const key_id key = primary_key(primary).key;
  if (table_.mark_outcome_unknown(key)) publish_event(primary, {key_event_type::outcome_unknown, key});
}

void memory_service::release_key(request_id primary) {
  const key_id key = primary_key(primary).key;
  const bool published = table_.contains(key) && table_.state_of(key) != key_state::queued;
  if (table_.release(key) && published) publish_event(primary, {key_event_type::release, key});
}

void memory_service::abandon(request_id id) {
  readers_.erase(id);
  if (!is_primary(id)) return;
  const key_id key = primary_key(id).key;
  const bool published = table_.contains(key) && table_.state_of(key) != key_state::queued;
  const aging_time expiry = primary_key(id).expiry;
  key_table_service::abandon(id);
  if (!shared_) return;
  shared_->withdraw_intent(id);
  if (published) shared_->add_event({key_event_type::outcome_unknown, key}, expiry);
}

void memory_service::step(time_point now) {
  now_ = std::max(now_, now);
  reply_to_intents();
  for (const request_id primary : std::exchange(recorded_results_, {})) {
    if (!is_primary(primary)) continue;
    table_.result_recorded(primary_key(primary).key, {}, expiry_horizon(now_));
    observer().on_result_recorded(primary);
  }
  reply_to_readers();
  if (expiry_is_due(now_)) remove_expired();
  publish_free_memory();
  publish_key_counts();
  stored_bytes_.set(bytes_);
  counters_.memory_keys = table_.size();
  counters_.memory_bytes = bytes_;
  if (shared_) counters_.peer_keys = shared_->peer_run_count();
}

time_point memory_service::due() const {
  const bool publishes_events = shared_ && shared_->has_pending_events();
  const bool replies_pending =
      !written_intents_.empty() || !recorded_results_.empty() || !requested_results_.empty();
  if (replies_pending || (publishes_events && !shared_->is_blocked())) return time_point::min();
  const bool awaits_peer = publishes_events || !readers_awaiting_peer_.empty();
  return awaits_peer ? now_ + peer_poll_interval : time_point::max();
}

void memory_service::reply_to_intents() {
  std::vector<shared_keys::intent_outcome> outcomes;
  if (shared_) outcomes = shared_->publish(now_, expiry_horizon(now_));
  for (const request_id primary : std::exchange(written_intents_, {})) outcomes.push_back({primary, true});
  for (const auto& [primary, published] : outcomes) {
    if (!is_primary(primary)) continue;
    const key_id key = primary_key(primary).key;
    if (published) {
      table_.intent_written(key);
    } else {
      table_.release(key);
    }
    observer().on_intent_written(primary, published);
  }
}

void memory_service::reply_to_readers() {
  std::vector<request_id> readers = std::exchange(readers_awaiting_peer_, {});
  const std::vector<request_id> requested = std::exchange(requested_results_, {});
  readers.insert(readers.end(), requested.begin(), requested.end());
  if (shared_ && !readers.empty()) shared_->read_events(now_);
  for (const request_id id : readers)
    if (reply_to_reader(id) == reply_status::awaits_peer) readers_awaiting_peer_.push_back(id);
}

memory_service::reply_status memory_service::reply_to_reader(request_id id) {
  const auto reader = readers_.find(id);
  if (reader == readers_.end()) return reply_status::sent;
  const key_id key = reader->second.key;
  if (reader->second.run_by_peer) return reply_from_peer(id, key);
  const auto found = results_.find(key);
  readers_.erase(reader);
  fetched_result fetched;
  if (found != results_.end()) {
    fetched.outcome = found->second.succeeded ? fetch_outcome::succeeded : fetch_outcome::run_failed;
    fetched.bytes = found->second.bytes;
  }
  observer().on_result_fetched(id, fetched);
  return reply_status::sent;
}

memory_service::reply_status memory_service::reply_from_peer(request_id id, const key_id& key) {
  const peer_run* run = shared_->find(key, now_);
  const peer_run_state state = run != nullptr ? run->state : peer_run_state::outcome_unknown;
  if (state == peer_run_state::running) return reply_status::awaits_peer;
  readers_.erase(id);
  fetched_result fetched;
  std::optional<shared_keys::run_result> result;
  switch (state) {
    case peer_run_state::completed:
      result = shared_->read_result(*run);
      if (!result) break;
      fetched.outcome = result->succeeded ? fetch_outcome::succeeded : fetch_outcome::run_failed;
      fetched.bytes = result->bytes;
      break;
    case peer_run_state::released: fetched.outcome = fetch_outcome::never_ran; break;
    case peer_run_state::running:
    case peer_run_state::outcome_unknown: fetched.outcome = fetch_outcome::outcome_unknown; break;
  }
  observer().on_result_fetched(id, fetched);
  return reply_status::sent;
}

void memory_service::remove_expired() {
  const aging_time horizon = expiry_horizon(now_);
  table_.expire(horizon);
  if (shared_) shared_->expire(now_, horizon);
  std::erase_if(readers_, [horizon](const auto& reader) { return reader.second.arrived.count() <= horizon; });
  while (!expiry_queue_.empty() && expiry_queue_.front().expiry <= horizon) {
    const expiring_key next = expiry_queue_.front();
    expiry_queue_.pop_front();
    const auto found = results_.find(next.key);
    const bool claimed_anew = found != results_.end() && found->second.expiry != next.expiry;
    if (found == results_.end() || claimed_anew) continue;
    bytes_ -= size_of(found->second);
    results_.erase(found);
  }
}

}  // namespace marblewharf::idempotency
