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

void versions::count(const version& v, int sign) {
  if (!v.where) return;
  keys_ += static_cast<std::size_t>(sign);
  live_ += static_cast<std::uint64_t>(sign) * v.where->bytes;
}

// Whether a snapshot sees what stands from `since` to before `before`.
bool versions::seen(sequence since, sequence before) const {
  const auto s = snapshots_.lower_bound(since);
  return s != snapshots_.end() && *s < before;
}

// Lets go of what no snapshot sees. True: nothing of the key is left.
bool versions::prune(chain& c) const {
  std::vector<version> kept;
  for (std::size_t i = 0; i < c.older.size(); ++i) {
    const sequence until = i + 1 < c.older.size() ? c.older[i + 1].since : c.now.since;
    // An erasure is the same as nothing where nothing older is left.
    if (seen(c.older[i].since, until) && (c.older[i].where || !kept.empty()))
      kept.push_back(std::move(c.older[i]));
  }
  c.older = std::move(kept);
  return c.older.empty() && !c.now.where;
}

void versions::set(const std::string& table, const std::string& key, version v) {
  last_ = std::max(last_, v.since);
  table_map& t = tables_[table];
  const auto [at, fresh] = t.try_emplace(key);
  chain& c = at->second;
  count(v, 1);
  if (!fresh) {
    count(c.now, -1);
    c.older.push_back(std::move(c.now));
  }
  c.now = std::move(v);
  if (prune(c)) {
    with_older_.erase({table, key});
    t.erase(at);
    if (t.empty()) tables_.erase(table);
  } else if (!c.older.empty()) {
    with_older_.emplace(table, key);
  }
}

void versions::put(const std::string& table, const std::string& key, place where, sequence s) {
  set(table, key, {s, std::move(where)});
}

void versions::erase(const std::string& table, const std::string& key, sequence s) {
  set(table, key, {s, std::nullopt});
}

void versions::on_disk(const std::string& table, const std::string& key, sequence s, const position& at) {
  chain* c = chain_of(table, key);
  if (c == nullptr) return;
  const auto settle = [&](version& v) {
    if (v.since != s || !v.where) return;
    v.where->at = at;
    v.where->waiting = nullptr;
  };
  settle(c->now);
  for (version& v : c->older) settle(v);
}

const place* versions::as_of(const chain& c, std::optional<sequence> s) {
  const version* v = &c.now;
  if (s && c.now.since > *s) {
    v = nullptr;
    for (const version& o : c.older)
      if (o.since <= *s) v = &o;
  }
  return v != nullptr && v->where ? &*v->where : nullptr;
}

const place* versions::find(const std::string& table, const std::string& key,
                            std::optional<sequence> s) const {
  const chain* c = chain_of(table, key);
  return c == nullptr ? nullptr : as_of(*c, s);
}

void versions::scan(const std::string& table, const std::string& from, const std::string& to,
                    std::optional<sequence> s, const visitor& each) const {
  const auto t = tables_.find(table);
  if (t == tables_.end()) return;
  for (auto i = t->second.lower_bound(from); i != t->second.end() && (to.empty() || i->first < to); ++i) {
    const place* p = as_of(i->second, s);
    if (p != nullptr && !each(i->first, *p)) return;
  }
}

std::optional<std::pair<std::string, std::string>> versions::behind(const std::string& table,
                                                                    const std::string& key) const {
  for (auto t = tables_.lower_bound(table); t != tables_.end(); ++t) {
    const auto i = t->first == table ? t->second.upper_bound(key) : t->second.begin();
    if (i != t->second.end()) return std::pair(t->first, i->first);
  }
  return std::nullopt;
}

versions::standing versions::at(const std::string& table, const std::string& key, const position& p) const {
  const chain* c = chain_of(table, key);
  if (c == nullptr) return standing::none;
  const auto is = [&](const version& v) {
    return v.where && v.where->waiting == nullptr && v.where->at == p;
  };
  if (is(c->now)) return standing::current;
  return std::any_of(c->older.begin(), c->older.end(), is) ? standing::seen_by_snapshot : standing::none;
}

void versions::move(const std::string& table, const std::string& key, const position& to) {
  if (chain* c = chain_of(table, key); c != nullptr && c->now.where) c->now.where->at = to;
}

void versions::forget(const std::string& table, const std::string& key) {
  const chain* c = chain_of(table, key);
  if (c == nullptr) return;
  count(c->now, -1);
  with_older_.erase({table, key});
  const auto t = tables_.find(table);
  t->second.erase(key);
  if (t->second.empty()) tables_.erase(t);
}

void versions::forget_before(std::uint64_t segment) {
  std::vector<std::pair<std::string, std::string>> gone;
  for (const auto& [table, keys] : tables_)
    for (const auto& [key, c] : keys)
      if (c.now.where && c.now.where->at.segment < segment) gone.emplace_back(table, key);
  for (const auto& [table, key] : gone) forget(table, key);
}

sequence versions::open_snapshot() {
  snapshots_.insert(last_);
  return last_;
}

void versions::close_snapshot(sequence s) {
  const auto at = snapshots_.find(s);
  if (at == snapshots_.end()) return;
  snapshots_.erase(at);
  for (auto i = with_older_.begin(); i != with_older_.end();) {
    const auto t = tables_.find(i->first);
    const auto found = t->second.find(i->second);
    const bool gone = prune(found->second);
    if (!gone && !found->second.older.empty()) {
      ++i;
      continue;
    }
    if (gone) t->second.erase(found);
    if (t->second.empty()) tables_.erase(t);
    i = with_older_.erase(i);
  }
}

}  // namespace marblewharf::store
