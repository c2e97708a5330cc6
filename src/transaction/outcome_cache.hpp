// The outcomes of transactions by the key of their request, for as long as a duplicate may ask, and within a
// bound. A key that is not here never began, or its transaction was aborted at all participants; so no key
// may be dropped before it expires, and a transaction for which there is no room is rejected.
//
// Free of I/O and clocks: times are handed in. Results are on disk; here are only their transactions'
// numbers. One thread at a time. About 100 bytes a key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marblewharf::transaction {

class outcome_cache {
 public:
  using timestamp = std::int64_t;  // ns of the aging clock
  // The hash of a request's key with its scope.
  struct key {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const key&) const = default;
  };
  enum class status {
    unknown,    // never begun, or aborted
    open,       // begun, and not ended
    committed,  // its result is on disk under its number
  };
  struct outcome {
    std::uint64_t number = 0;  // of the transaction
    status state = status::unknown;
  };

  explicit outcome_cache(std::size_t capacity) : capacity_(capacity) {}

  bool has_room() const { return entries_.size() < capacity_; }
  // Numbers rise from transaction to transaction, also over restarts. A later transaction of a key replaces
  // an earlier one, and never the other way round, in whatever order a folder has them.
  void on_begin(const key& request_key, std::uint64_t number);
  // The transaction was aborted, or never began after all. A committed one stays committed.
  void on_abort(const key& request_key, std::uint64_t number);
  // The transaction ended at all participants. `expiry`: not before that of any earlier call.
  void on_commit(const key& request_key, std::uint64_t number, timestamp expiry);

  outcome find(const key& request_key) const;
  // Removes what has expired. Open transactions do not expire.
  void expire(timestamp now);
  // When the next outcome expires; 0: none does.
  timestamp next_expiry() const { return expiries_.empty() ? 0 : expiries_.front().expiry; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct pending_expiry {
    timestamp expiry = 0;
    std::uint64_t number = 0;
    key request_key;
  };
  struct key_hash {
    std::size_t operator()(const key& k) const { return k.low; }  // it is a hash already
  };

  std::size_t capacity_;
  std::unordered_map<key, outcome, key_hash> entries_;
  std::deque<pending_expiry> expiries_;  // of committed transactions, the earliest first
};

}  // namespace marblewharf::transaction
