#include "idempotency/peer_keys.hpp"

namespace marblewharf::idempotency {

void peer_keys::apply(const store::shared_record& record) {
  const std::optional<key_event> event = decode_key_event(record.body);
  if (!event) return;
  if (event->type == key_event_type::intent) {
    begin(event->key, record);
    return;
  }
  if (event->type == key_event_type::result) {
    complete(event->key, record);
    return;
  }
  const auto found = runs_.find(event->key);
  if (found == runs_.end() || found->second.owner != record.writer) return;
  const bool released = event->type == key_event_type::release;
  found->second.state = released ? peer_run_state::released : peer_run_state::outcome_unknown;
}

void peer_keys::begin(const key_id& key, const store::shared_record& record) {
  runs_[key] = {peer_run_state::running, record.writer, record.expiry, {}};
  expiries_.emplace(record.expiry, key);
}

// The segment with the intent may have been removed.
void peer_keys::complete(const key_id& key, const store::shared_record& record) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    begin(key, record);
  } else if (found->second.owner != record.writer) {
    return;  // the key has expired meanwhile, and another process runs it
  }
  peer_run& run = runs_.at(key);
  run.state = peer_run_state::completed;
  run.event_at = record.body_at;
}

void peer_keys::on_owner_ended(const key_id& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end() && found->second.state == peer_run_state::running)
    found->second.state = peer_run_state::outcome_unknown;
}

void peer_keys::expire(aging_time horizon) {
  while (!expiries_.empty() && expiries_.begin()->first <= horizon) {
    const auto [expiry, key] = *expiries_.begin();
    expiries_.erase(expiries_.begin());
    const auto found = runs_.find(key);
    const bool run_anew = found != runs_.end() && found->second.expiry != expiry;
    if (found != runs_.end() && !run_anew) runs_.erase(found);
  }
}

const peer_run* peer_keys::find(const key_id& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

}  // namespace marblewharf::idempotency
