#include "transaction/outcome_cache.hpp"

namespace marblewharf::transaction {

void outcome_cache::begin(const key& k, std::uint64_t which) {
  const auto before = table_.find(k);
  if (before != table_.end() && before->second.which > which) return;
  table_[k] = {which, standing::under_way};
}

void outcome_cache::undone(const key& k, std::uint64_t which) {
  const auto at = table_.find(k);
  if (at != table_.end() && at->second.which == which && at->second.how == standing::under_way)
    table_.erase(at);
}

void outcome_cache::committed(const key& k, std::uint64_t which, moment expiry) {
  const auto found = table_.find(k);
  if (found == table_.end() || found->second.which != which) return;
  found->second.how = standing::committed;
  ageing_.push_back({expiry, which, k});
}

outcome_cache::known outcome_cache::of(const key& k) const {
  const auto at = table_.find(k);
  return at == table_.end() ? known{} : known{at->second.how, at->second.which};
}

void outcome_cache::age(moment now) {
  while (!ageing_.empty() && ageing_.front().expiry <= now) {
    const due next = ageing_.front();
    ageing_.pop_front();
    const auto at = table_.find(next.k);
    // Not one that began anew since: that has a number of its own.
    if (at != table_.end() && at->second.which == next.which) table_.erase(at);
  }
}

}  // namespace marblewharf::transaction
