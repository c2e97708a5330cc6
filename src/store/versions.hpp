// The index of a store of tables: which keys there are, in order, and where the value of each stands, now and
// as of each snapshot that is open.
//
// Free of I/O and clocks. Not thread-safe: owned by one thread. A key costs one node of a tree: about 200
// bytes, and its own bytes beyond 15.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/position.hpp"

namespace marblewharf::store {

using sequence = std::uint64_t;  // of commits, in their order; starts anew with the process

// Where a value is.
struct place {
  position at;                                 // counts where `waiting` is empty
  std::int64_t expiry = 0;                     // it is there before that moment only
  std::uint64_t bytes = 0;                     // its record takes on disk
  std::shared_ptr<const std::string> waiting;  // the value itself, while it is not on disk
};

class versions {
 public:
  // `s` is no lower than any before.
  void put(const std::string& table, const std::string& key, place where, sequence s);
  void erase(const std::string& table, const std::string& key, sequence s);
  // The value of commit `s` is on disk now, unless nobody can see it any more.
  void on_disk(const std::string& table, const std::string& key, sequence s, const position& at);

  // As of a snapshot, or now. None: not there; whether it has aged is the caller's to see.
  const place* find(const std::string& table, const std::string& key,
                    std::optional<sequence> as_of = std::nullopt) const;
  // Keys from `from` to before `to` (empty: to the last), in order, until `each` returns false.
  using visitor = std::function<bool(const std::string& key, const place&)>;
  void scan(const std::string& table, const std::string& from, const std::string& to,
            std::optional<sequence> as_of, const visitor& each) const;
  // The first key behind this one, over all tables; none: that was the last.
  std::optional<std::pair<std::string, std::string>> behind(const std::string& table,
                                                            const std::string& key) const;

  // What is at this place of the log: the value of a key as it is now, one that only a snapshot sees, or
  // nothing.
  enum class standing { none, seen_by_snapshot, current };
  standing at(const std::string& table, const std::string& key, const position& p) const;
  // The current value was copied.
  void move(const std::string& table, const std::string& key, const position& to);
  // Has aged: there is none any more, for nobody.
  void forget(const std::string& table, const std::string& key);
  // Keys whose place is in a segment before this one.
  void forget_before(std::uint64_t segment);

  // Sees all up to the last commit.
  sequence open_snapshot();
  void close_snapshot(sequence s);
  std::size_t snapshots() const { return snapshots_.size(); }

  std::size_t keys() const { return keys_; }          // there now
  std::uint64_t live_bytes() const { return live_; }  // of their records
  sequence last() const { return last_; }

 private:
  struct version {
    sequence since = 0;
    std::optional<place> where;  // none: erased
  };
  struct chain {
    version now;
    std::vector<version> older;  // oldest first; only what a snapshot sees
  };
  using table_map = std::map<std::string, chain>;

  void set(const std::string& table, const std::string& key, version v);
  void count(const version& v, int sign);
  bool seen(sequence since, sequence before) const;
  bool prune(chain& c) const;
  const chain* chain_of(const std::string& table, const std::string& key) const;
  chain* chain_of(const std::string& table, const std::string& key);
  static const place* as_of(const chain& c, std::optional<sequence> s);

  std::map<std::string, table_map> tables_;
  std::set<std::pair<std::string, std::string>> with_older_;  // or erased and still here
  std::multiset<sequence> snapshots_;
  std::size_t keys_ = 0;
  std::uint64_t live_ = 0;
  sequence last_ = 0;
};

}  // namespace marblewharf::store
