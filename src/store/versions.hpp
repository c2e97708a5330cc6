// The index of a store of tables: an ordered map from keys to the log positions of their values, with the
// current version and the versions that open snapshots see.
//
// No I/O, no clock. Not thread-safe: owned by one thread. A key takes one tree node of about 200 bytes, plus
// the bytes of the key beyond 15.
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

using sequence = std::uint64_t;  // increases with each commit; restarts with the process

// Refers to a value, on disk or in memory.
struct value_ref {
  position location;                            // valid if `buffered` is null
  std::int64_t expiry = 0;                      // ns; 0 = never
  std::uint64_t record_bytes = 0;               // size of its record on disk
  std::shared_ptr<const std::string> buffered;  // the value itself, until it is written to disk
};

class versions {
 public:
  // `commit` must not be lower than in any earlier call.
  void put(const std::string& table, const std::string& key, value_ref value, sequence commit);
  void erase(const std::string& table, const std::string& key, sequence commit);
  // Records that the value written by `commit` is on disk now. No effect if that version has been removed.
  void mark_on_disk(const std::string& table, const std::string& key, sequence commit,
                    const position& location);

  // The value as of a snapshot, or the current one. Null: no such key. Does not check the expiry; that is up
  // to the caller.
  const value_ref* find(const std::string& table, const std::string& key,
                        std::optional<sequence> as_of = std::nullopt) const;
  // Visits the keys in [first, end) in order, until `visit` returns false. An empty `end` means no bound.
  using visitor = std::function<bool(const std::string& key, const value_ref&)>;
  void scan(const std::string& table, const std::string& first, const std::string& end,
            std::optional<sequence> as_of, const visitor& visit) const;
  // The next table and key after this one, in the order of all tables; nothing after the last one.
  std::optional<std::pair<std::string, std::string>> next_key(const std::string& table,
                                                              const std::string& key) const;

  // Whether the record at a log position is the current value of its key, is seen by a snapshot only, or is
  // dead.
  enum class liveness { dead, snapshot_only, current };
  liveness liveness_of(const std::string& table, const std::string& key, const position& location) const;
  // Records that the current value was copied to another position.
  void relocate(const std::string& table, const std::string& key, const position& location);
  // Removes a key with all its versions.
  void discard(const std::string& table, const std::string& key);
  // Removes the keys whose current value is in an earlier segment than this one.
  void discard_before(std::uint64_t segment);

  // A snapshot sees everything up to the last commit.
  sequence open_snapshot();
  void close_snapshot(sequence snapshot);
  std::size_t snapshots() const { return snapshots_.size(); }

  std::size_t keys() const { return keys_; }                // number of keys with a current value
  std::uint64_t live_bytes() const { return live_bytes_; }  // size of these keys' current records on disk
  sequence last() const { return last_; }                   // number of the last commit

 private:
  struct version {
    sequence since = 0;
    std::optional<value_ref> value;  // nothing: erased
  };
  struct chain {
    version current;
    std::vector<version> older;  // oldest first; only versions that a snapshot sees
  };
  using table_map = std::map<std::string, chain>;

  void set(const std::string& table, const std::string& key, version next);
  void count(const version& counted, int sign);
  bool seen_by_snapshot(sequence since, sequence end) const;
  bool prune(chain& c) const;
  const chain* chain_of(const std::string& table, const std::string& key) const;
  chain* chain_of(const std::string& table, const std::string& key);
  static const value_ref* as_of(const chain& c, std::optional<sequence> snapshot);

  std::map<std::string, table_map> tables_;
  std::set<std::pair<std::string, std::string>> keys_with_history_;  // keys with older versions
  std::multiset<sequence> snapshots_;
  std::size_t keys_ = 0;
  std::uint64_t live_bytes_ = 0;
  sequence last_ = 0;
};

}  // namespace marblewharf::store
