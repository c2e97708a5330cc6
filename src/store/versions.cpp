#include "store/versions.hpp"

#include <algorithm>

namespace marblewharf::store {

const versions::chain* versions::chain_of(const std::string& table, const std::string& key) const {
  const auto t = tables_.find(table);
  if (t == tables_.end()) return nullptr;
  const auto found = t->second.find(key);
  return found == t->second.end() ? nullptr : &found->second;
}

versions::chain* versions::chain_of(const std::string& table, const std::string& key) {
  return const_cast<chain*>(std::as_const(*this).chain_of(table, key));
}

void versions::count(const version& counted, int sign) {
  if (!counted.value) return;
  keys_ += static_cast<std::size_t>(sign);
  live_bytes_ += static_cast<std::uint64_t>(sign) * counted.value->record_bytes;
}

// Whether a snapshot sees a version that is current in [since, end).
bool versions::seen_by_snapshot(sequence since, sequence end) const {
  const auto s = snapshots_.lower_bound(since);
  return s != snapshots_.end() && *s < end;
}

// Removes older versions that no snapshot sees. Returns true if the key has no versions left.
bool versions::prune(chain& c) const {
  std::vector<version> kept;
  for (std::size_t i = 0; i < c.older.size(); ++i) {
    const sequence until = i + 1 < c.older.size() ? c.older[i + 1].since : c.current.since;
    // An erasure without an older version is the same as no version at all.
    if (seen_by_snapshot(c.older[i].since, until) && (c.older[i].value || !kept.empty()))
      kept.push_back(std::move(c.older[i]));
  }
  c.older = std::move(kept);
  return c.older.empty() && !c.current.value;
}

void versions::set(const std::string& table, const std::string& key, version next) {
  last_ = std::max(last_, next.since);
  table_map& t = tables_[table];
  const auto [at, fresh] = t.try_emplace(key);
  chain& c = at->second;
  count(next, 1);
  if (!fresh) {
    count(c.current, -1);
    c.older.push_back(std::move(c.current));
  }
  c.current = std::move(next);
  if (prune(c)) {
    keys_with_history_.erase({table, key});
    t.erase(at);
    if (t.empty()) tables_.erase(table);
  } else if (!c.older.empty()) {
    keys_with_history_.emplace(table, key);
  }
}

void versions::put(const std::string& table, const std::string& key, value_ref value, sequence commit) {
  set(table, key, {commit, std::move(value)});
}

void versions::erase(const std::string& table, const std::string& key, sequence commit) {
  set(table, key, {commit, std::nullopt});
}

void versions::mark_on_disk(const std::string& table, const std::string& key, sequence commit,
                            const position& location) {
  chain* c = chain_of(table, key);
  if (c == nullptr) return;
  const auto mark = [&](version& v) {
    if (v.since != commit || !v.value) return;
    v.value->location = location;
    v.value->buffered = nullptr;
  };
  mark(c->current);
  for (version& v : c->older) mark(v);
}

const value_ref* versions::as_of(const chain& c, std::optional<sequence> snapshot) {
  const version* v = &c.current;
  if (snapshot && c.current.since > *snapshot) {
    v = nullptr;
    for (const version& o : c.older)
      if (o.since <= *snapshot) v = &o;
  }
  return v != nullptr && v->value ? &*v->value : nullptr;
}

const value_ref* versions::find(const std::string& table, const std::string& key,
                                std::optional<sequence> snapshot) const {
  const chain* c = chain_of(table, key);
  return c == nullptr ? nullptr : as_of(*c, snapshot);
}

void versions::scan(const std::string& table, const std::string& first, const std::string& end,
                    std::optional<sequence> snapshot, const visitor& visit) const {
  const auto t = tables_.find(table);
  if (t == tables_.end()) return;
  for (auto i = t->second.lower_bound(first); i != t->second.end() && (end.empty() || i->first < end); ++i) {
    const value_ref* p = as_of(i->second, snapshot);
    if (p != nullptr && !visit(i->first, *p)) return;
  }
}

std::optional<std::pair<std::string, std::string>> versions::next_key(const std::string& table,
                                                                      const std::string& key) const {
  for (auto t = tables_.lower_bound(table); t != tables_.end(); ++t) {
    const auto i = t->first == table ? t->second.upper_bound(key) : t->second.begin();
    if (i != t->second.end()) return std::pair(t->first, i->first);
  }
  return std::nullopt;
}

versions::liveness versions::liveness_of(const std::string& table, const std::string& key,
                                         const position& location) const {
  const chain* c = chain_of(table, key);
  if (c == nullptr) return liveness::dead;
  const auto is_at = [&](const version& v) {
    return v.value && v.value->buffered == nullptr && v.value->location == location;
  };
  if (is_at(c->current)) return liveness::current;
  return std::any_of(c->older.begin(), c->older.end(), is_at) ? liveness::snapshot_only : liveness::dead;
}

void versions::relocate(const std::string& table, const std::string& key, const position& location) {
  if (chain* c = chain_of(table, key); c != nullptr && c->current.value)
    c->current.value->location = location;
}

void versions::discard(const std::string& table, const std::string& key) {
  const chain* c = chain_of(table, key);
  if (c == nullptr) return;
  count(c->current, -1);
  keys_with_history_.erase({table, key});
  const auto t = tables_.find(table);
  t->second.erase(key);
  if (t->second.empty()) tables_.erase(t);
}

void versions::discard_before(std::uint64_t segment) {
  std::vector<std::pair<std::string, std::string>> discarded;
  for (const auto& [table, keys] : tables_)
    for (const auto& [key, c] : keys)
      if (c.current.value && c.current.value->location.segment < segment) discarded.emplace_back(table, key);
  for (const auto& [table, key] : discarded) discard(table, key);
}

sequence versions::open_snapshot() {
  snapshots_.insert(last_);
  return last_;
}

void versions::close_snapshot(sequence snapshot) {
  const auto at = snapshots_.find(snapshot);
  if (at == snapshots_.end()) return;
  snapshots_.erase(at);
  for (auto i = keys_with_history_.begin(); i != keys_with_history_.end();) {
    const auto t = tables_.find(i->first);
    const auto found = t->second.find(i->second);
    const bool removed = prune(found->second);
    if (!removed && !found->second.older.empty()) {
      ++i;
      continue;
    }
    if (removed) t->second.erase(found);
    if (t->second.empty()) tables_.erase(t);
    i = keys_with_history_.erase(i);
  }
}

}  // namespace marblewharf::store
