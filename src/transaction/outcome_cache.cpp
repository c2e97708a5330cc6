#include "transaction/outcome_cache.hpp"

namespace marblewharf::transaction {

void outcome_cache::on_begin(const key& request_key, std::uint64_t number) {
  const auto earlier = entries_.find(request_key);
  if (earlier != entries_.end() && earlier->second.number > number) return;
  entries_[request_key] = {number, status::open};
}

void outcome_cache::on_abort(const key& request_key, std::uint64_t number) {
  const auto found = entries_.find(request_key);
  if (found == entries_.end()) return;
  if (found->second.number == number && found->second.state == status::open) entries_.erase(found);
}

void outcome_cache::on_commit(const key& request_key, std::uint64_t number, timestamp expiry) {
  const auto found = entries_.find(request_key);
  if (found == entries_.end() || found->second.number != number) return;
  found->second.state = status::committed;
  expiries_.push_back({expiry, number, request_key});
}

outcome_cache::outcome outcome_cache::find(const key& request_key) const {
  const auto found = entries_.find(request_key);
  return found == entries_.end() ? outcome{} : found->second;
}

void outcome_cache::expire(timestamp now) {
  while (!expiries_.empty() && expiries_.front().expiry <= now) {
    const pending_expiry next = expiries_.front();
    expiries_.pop_front();
    const auto found = entries_.find(next.request_key);
    // A later transaction of the same key has another number and is kept.
    if (found != entries_.end() && found->second.number == next.number) entries_.erase(found);
  }
}

}  // namespace marblewharf::transaction
