// What became of writes over several participants, by their keys: for as long as a repeat may ask, and within
// a bound. A key that is not here never began, or was undone at all participants; so none may be dropped
// before its time, and where there is no room a write is turned away instead.
//
// Free of I/O and clocks: moments are handed in, results stand on disk, and only the numbers of their writes
// here. One thread at a time. About 100 bytes a key.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marblewharf::transaction {

class outcome_cache {
 public:
  using moment = std::int64_t;  // ns of the ageing clock
  // A key with its scope, as a hash.
  struct key {
    std::uint64_t low = 0, high = 0;
    bool operator==(const key&) const = default;
  };
  enum class standing {
    unknown,    // never begun, or undone
    under_way,  // begun, and not over
    committed,  // its result is on disk under its number
  };
  struct known {
    standing how = standing::unknown;
    std::uint64_t which = 0;  // the write's number
  };

  explicit outcome_cache(std::size_t most) : most_(most) {}

  bool room() const { return table_.size() < most_; }
  // Write `which` of this key begins; numbers rise from write to write, also over restarts. An earlier one of
  // the key tells nothing any more, and never takes the place of a later one, in whatever order a folder has
  // them.
  void begin(const key& k, std::uint64_t which);
  // It was undone, or never began after all. What is committed stays so.
  void undone(const key& k, std::uint64_t which);
  // It is over at all participants. `expiry`: not before that of any told before.
  void committed(const key& k, std::uint64_t which, moment expiry);

  known of(const key& k) const;
  // Forgets what has aged. What is under way does not age.
  void age(moment now);
  // When the next one ages; 0: none is over.
  moment next_ageing() const { return ageing_.empty() ? 0 : ageing_.front().expiry; }
  std::size_t size() const { return table_.size(); }

 private:
  struct entry {
    std::uint64_t which = 0;
    standing how = standing::under_way;
  };
  struct due {
    moment expiry = 0;
    std::uint64_t which = 0;
    key k;
  };
  struct hash {
    std::size_t operator()(const key& k) const { return k.low; }  // it is a hash already
  };

  std::size_t most_;
  std::unordered_map<key, entry, hash> table_;
  std::deque<due> ageing_;  // of those that are over, the oldest first
};

}  // namespace marblewharf::transaction
