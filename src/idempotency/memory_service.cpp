#include "idempotency/memory_service.hpp"

#include <algorithm>
#include <utility>

#include "idempotency/records.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr std::uint64_t no_fingerprint = 0;         // the fingerprint is part of the key
constexpr std::size_t table_bytes_per_entry = 512;  // in addition to the bytes of the result

key_table_options table_options_of(const memory_service_options& options) {
  key_table_options table;
  table.max_keys = options.memory / table_bytes_per_entry;
  table.max_open_keys = options.max_open_keys;
  table.max_result_bytes = options.largest_result + table_bytes_per_entry;
  return table;
}

}  // namespace

memory_service::memory_service(memory_service_options options, telemetry::counters& counters)
    : key_table_service(table_options_of(options), counters), options_(std::move(options)) {
  publish_free_memory();
}

std::size_t memory_service::size_of(const stored_result& result) {
  return result.bytes.size() + table_bytes_per_entry;
}

// The table reserves memory for results in the same way as space on a disk.
void memory_service::publish_free_memory() {
  const std::size_t free_bytes = options_.memory - std::min(options_.memory, bytes_);
  aging_time next_expiry = 0;
  if (!expiry_queue_.empty()) next_expiry = expiry_queue_.front().expiry + options_.longest_wait.count();
  table_.set_disk({.writable = true, .free_bytes = free_bytes, .next_segment_expiry = next_expiry});
}

// The window is measured between arrivals, no matter when the requests are read.
claim_result memory_service::claim(request_id id, const request& claimant) {
  const duration window = options_.windows.at(claimant.request_class);
  const std::string tenant = std::to_string(claimant.tenant);
  const std::string request_class = std::to_string(claimant.request_class);
  const std::string client_key = claimant.key + std::to_string(claimant.fingerprint);
  const key_id key = key_id_of(tenant, request_class, client_key, options_.salt);
  const key_claim claim = claim_key(id, key, no_fingerprint, window, claimant.arrival_time.count());
  if (claim.status == claim_status::completed) readers_[id] = {key, claimant.arrival_time};
  return to_result(claim);
}

void memory_service::write_intent(request_id primary, const request&) {
  table_.begin_intent(primary_key(primary).key);
  written_intents_.push_back(primary);
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
  return true;
}

void memory_service::release_key(request_id primary) {
  table_.release(primary_key(primary).key);
}

void memory_service::step(time_point now) {
  now_ = std::max(now_, now);
  for (const request_id primary : std::exchange(written_intents_, {})) {
    if (!is_primary(primary)) continue;
    table_.intent_written(primary_key(primary).key);
    observer().on_intent_written(primary, true);
  }
  for (const request_id primary : std::exchange(recorded_results_, {})) {
    if (!is_primary(primary)) continue;
    table_.result_recorded(primary_key(primary).key, {}, expiry_horizon());
    observer().on_result_recorded(primary);
  }
  for (const request_id id : std::exchange(requested_results_, {})) reply_to_reader(id);
  if (expiry_is_due(now_)) remove_expired();
  publish_free_memory();
  publish_key_counts();
  counters_.stored_bytes = bytes_;
}

void memory_service::reply_to_reader(request_id id) {
  const auto reader = readers_.find(id);
  if (reader == readers_.end()) return;
  const auto found = results_.find(reader->second.key);
  readers_.erase(reader);
  fetched_result fetched;
  if (found != results_.end()) {
    fetched.outcome = found->second.succeeded ? fetch_outcome::succeeded : fetch_outcome::run_failed;
    fetched.bytes = found->second.bytes;
  }
  observer().on_result_fetched(id, fetched);
}

void memory_service::remove_expired() {
  const aging_time horizon = expiry_horizon();
  table_.expire(horizon);
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
