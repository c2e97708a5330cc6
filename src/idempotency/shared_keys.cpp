#include "idempotency/shared_keys.hpp"

#include <utility>

namespace marblewharf::idempotency {
namespace {

// Another process holds the log's lock only while it appends, unless it is suspended.
constexpr duration lock_timeout = std::chrono::milliseconds(50);
constexpr duration liveness_check_interval = std::chrono::milliseconds(10);

}  // namespace

void shared_keys::add_intent(request_id primary, const key_id& key, time_point arrival, aging_time expiry,
                             time_point now) {
  intents_.push_back({primary, key, arrival, expiry, now});
}

void shared_keys::add_event(const key_event& event, aging_time expiry) {
  events_.push_back({expiry, encode(event)});
}

void shared_keys::withdraw_intent(request_id primary) {
  std::erase_if(intents_, [primary](const pending_intent& intent) { return intent.primary == primary; });
}

std::vector<shared_keys::intent_outcome> shared_keys::publish(time_point now, aging_time horizon) {
  std::vector<intent_outcome> outcomes;
  if (has_pending_events()) outcomes = try_publish(now, horizon);
  blocked_ = has_pending_events();
  return outcomes;
}

std::vector<shared_keys::intent_outcome> shared_keys::try_publish(time_point now, aging_time horizon) {
  const auto lock = log_->try_lock(now.count());
  if (!lock) return reject_blocked_intents(now);
  read_events(now);
  std::erase_if(events_, [horizon](const auto& event) { return event.expiry <= horizon; });
  log_->remove_expired(*lock, horizon);
  return append_pending(*lock);
}

std::vector<shared_keys::intent_outcome> shared_keys::reject_blocked_intents(time_point now) {
  std::vector<intent_outcome> rejected;
  std::erase_if(intents_, [&](const pending_intent& intent) {
    const bool blocked = now - intent.since >= lock_timeout;
    if (blocked) rejected.push_back({intent.primary, false});
    return blocked;
  });
  return rejected;
}

// Intents follow the events: an earlier release of the same key that came later would undo the intent.
std::vector<shared_keys::intent_outcome> shared_keys::append_pending(
    const store::shared_log::append_lock& lock) {
  const bool events_appended = append_events(lock);
  std::vector<intent_outcome> outcomes;
  std::vector<store::shared_log::draft> drafts;
  for (const pending_intent& intent : std::exchange(intents_, {})) {
    const bool may_run = events_appended && !forbids_run(peers_.find(intent.key), intent.arrival);
    outcomes.push_back({intent.primary, may_run});
    if (may_run) drafts.push_back({intent.expiry, encode({key_event_type::intent, intent.key})});
  }
  if (drafts.empty() || log_->append(lock, drafts)) return outcomes;
  for (intent_outcome& outcome : outcomes) outcome.published = false;
  return outcomes;
}

bool shared_keys::forbids_run(const peer_run* run, time_point arrival) {
  return run != nullptr && run->state != peer_run_state::released && run->expiry > arrival.count();
}

// Events that cannot be written stay pending: until they are, other processes take the runs for unfinished.
bool shared_keys::append_events(const store::shared_log::append_lock& lock) {
  if (events_.empty()) return true;
  if (!log_->append(lock, events_)) return false;
  events_.clear();
  return true;
}

void shared_keys::read_events(time_point now) {
  for (const store::shared_record& record : log_->read_new(now.count())) peers_.apply(record);
}

// The events are read once more after the owner was found to have ended, because its last event may have been
// its result.
const peer_run* shared_keys::find(const key_id& key, time_point now) {
  const peer_run* run = peers_.find(key);
  if (run == nullptr || run->state != peer_run_state::running || is_alive(run->owner, now)) return run;
  read_events(now);
  peers_.on_owner_ended(key);
  return peers_.find(key);
}

bool shared_keys::is_alive(store::log_member owner, time_point now) {
  liveness& known = owners_[owner];
  if (now - known.checked_at >= liveness_check_interval) known = {log_->is_alive(owner), now};
  return known.alive;
}

void shared_keys::expire(time_point now, aging_time horizon) {
  peers_.expire(horizon);
  std::erase_if(
      owners_, [now](const auto& owner) { return now - owner.second.checked_at >= liveness_check_interval; });
  if (!log_->has_expired(horizon)) return;
  if (const auto lock = log_->try_lock(now.count())) log_->remove_expired(*lock, horizon);
}

std::optional<shared_keys::run_result> shared_keys::read_result(const peer_run& completed) const {
  const std::optional<std::string> body = log_->read(completed.event_at);
  if (!body) return std::nullopt;
  const std::optional<key_event> event = decode_key_event(*body);
  if (!event || event->type != key_event_type::result) return std::nullopt;
  return run_result{event->succeeded, std::string(event->result)};
}

}  // namespace marblewharf::idempotency
