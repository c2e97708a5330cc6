#include "idempotency/memory_service.hpp"

#include <algorithm>
#include <utility>

#include "idempotency/records.hpp"

namespace marblewharf::idempotency {
namespace {

constexpr duration age_every = std::chrono::milliseconds(100);
constexpr std::uint64_t same_content = 0;  // it is in the key
constexpr std::size_t entry_bytes = 512;   // of the tables, beside a result's own bytes

key_table_options ledger_options_of(const memory_service_options& o) {
  key_table_options l;
  l.entries = o.memory / entry_bytes;
  l.open = o.open;
  l.result_room = o.largest_result + entry_bytes;
  return l;
}

}  // namespace

memory_service::memory_service(memory_service_options options, telemetry::counters& counters)
    : options_(std::move(options)), counters_(counters), ledger_(ledger_options_of(options_)) {
  report_room();
}

void memory_service::report_room() {
  const std::size_t room = options_.memory - std::min(options_.memory, bytes_);
  const moment next = ageing_.empty() ? 0 : ageing_.front().expiry + options_.longest_wait.count();
  ledger_.set_disk({.writable = true, .room = room, .next_ageing = next});
}

idempotency_store::opinion memory_service::arrive(request_id id, const request& what) {
  const duration window = options_.windows.at(what.request_class);
  const std::string tenant = std::to_string(what.tenant);
  const std::string request_class = std::to_string(what.request_class);
  const key_id key = hash_of(tenant, request_class, what.key + std::to_string(what.content), options_.salt);
  // By the time at which it arrived, not when it is read: the window opens and ends by arrivals.
  const idempotency::opinion o = ledger_.arrive(key, same_content, id, window, what.arrived.count());
  switch (o.how) {
    case idempotency::standing::first: leaders_[id] = key; return {.how = standing::first, .leader = id};
    case idempotency::standing::joins:
      ++counters_.repeats_joined;
      return {.how = standing::joins, .leader = o.leader};
    case idempotency::standing::answered:
      ++counters_.repeats_answered;
      answered_[id] = {key, what.arrived};
      return {.how = standing::answered};
    case idempotency::standing::in_doubt:
    case idempotency::standing::asks:  // there is nobody to ask
      ++counters_.repeats_in_doubt;
      return {.how = standing::in_doubt};
    case idempotency::standing::conflict:  // there is none: other content is another key
    case idempotency::standing::no_room: break;
  }
  ++counters_.no_room;
  return {.how = standing::no_room, .come_back = o.come_back};
}

void memory_service::intend(request_id leader, const request&) {
  ledger_.intend(leaders_.at(leader));
  intended_.push_back(leader);
}

bool memory_service::record(request_id leader, bool served, std::string_view result) {
  const key_id key = leaders_.at(leader);
  if (!ledger_.record(key)) return false;
  const moment expiry = ledger_.expiry_of(key);
  kept_result& kept = results_[key];  // one that aged, and whose key came anew, gives way
  if (kept.expiry != 0) bytes_ -= kept.bytes.size() + entry_bytes;
  kept = {served, std::string(result), expiry};
  bytes_ += kept.bytes.size() + entry_bytes;
  ageing_.push_back({expiry, key});
  recorded_.push_back(leader);
  return true;
}

void memory_service::doubt(request_id leader) {
  ledger_.doubt(leaders_.at(leader));
}

void memory_service::release(request_id leader) {
  ledger_.release(leaders_.at(leader));
}

void memory_service::step(time_point now) {
  now_ = std::max(now_, now);
  for (const request_id id : std::exchange(intended_, {})) {
    const auto at = leaders_.find(id);
    if (at == leaders_.end()) continue;
    ledger_.intended(at->second);
    events_->on_intended(id, true);
  }
  for (const request_id id : std::exchange(recorded_, {})) {
    const auto at = leaders_.find(id);
    if (at == leaders_.end()) continue;
    ledger_.recorded(at->second, {}, horizon());
    events_->on_recorded(id);
  }
  for (const request_id id : std::exchange(fetched_, {})) tell_fetched(id);
  forget_aged();
  report_room();
  counters_.results_known = ledger_.size();
  counters_.results_in_doubt = ledger_.doubtful();
  counters_.results_bytes = bytes_;
}

void memory_service::tell_fetched(request_id id) {
  const auto asked = answered_.find(id);
  if (asked == answered_.end()) return;
  const auto found = results_.find(asked->second.key);
  answered_.erase(asked);
  if (found == results_.end()) {
    events_->on_fetched(id, false, false, {});
  } else {
    events_->on_fetched(id, true, found->second.served, found->second.bytes);
  }
}

void memory_service::forget_aged() {
  if (now_ < next_ageing_) return;
  next_ageing_ = now_ + age_every;
  ledger_.age(horizon());
  std::erase_if(answered_, [this](const auto& r) { return r.second.arrived.count() <= horizon(); });
  while (!ageing_.empty() && ageing_.front().expiry <= horizon()) {
    const due next = ageing_.front();
    ageing_.pop_front();
    const auto at = results_.find(next.key);
    if (at == results_.end() || at->second.expiry != next.expiry) continue;  // its key came anew since
    bytes_ -= at->second.bytes.size() + entry_bytes;
    results_.erase(at);
  }
}

}  // namespace marblewharf::idempotency
