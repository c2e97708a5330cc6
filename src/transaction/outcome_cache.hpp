// Outcomes of transactions by the key of their request, kept for as long as duplicates may arrive. A key that
// is not in the cache means that its transaction never started or was aborted at all participants. Therefore
// no key may be evicted before it expires; transactions that exceed the capacity are rejected instead.
//
// Free of I/O and clocks: times are passed in. Results are on disk; the cache contains only the numbers of
// their transactions. Not thread-safe. Uses about 100 bytes per key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marblewharf::transaction {

class outcome_cache {
 public:
  using timestamp = std::int64_t;  // nanoseconds of the aging clock
  // Hash of a request's key, including its tenant and class.
  struct key {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const key&) const = default;
  };
  enum class status {
    unknown,    // never started, or aborted
    open,       // started, but not ended
    committed,  // the result is on disk, under the transaction's number
  };
  struct outcome {
    std::uint64_t number = 0;  // the transaction's number
    status state = status::unknown;
  };

  explicit outcome_cache(std::size_t capacity) : capacity_(capacity) {}

  bool has_capacity() const { return entries_.size() < capacity_; }
  // Adds an open transaction. Numbers increase from transaction to transaction, also across restarts. Of two
  // transactions of a key, the one with the higher number is kept, in whatever order they are added, because
  // recovery reads transactions from the folder in any order.
  void on_begin(const key& request_key, std::uint64_t number);
  // The transaction was aborted or never started. Has no effect on a committed transaction.
  void on_abort(const key& request_key, std::uint64_t number);
  // The transaction was committed at all participants. `expiry` must not be before that of any previous call.
  void on_commit(const key& request_key, std::uint64_t number, timestamp expiry);

  outcome find(const key& request_key) const;
  // Removes expired outcomes. Open transactions do not expire.
  void expire(timestamp now);
  // The time at which the next outcome expires; 0: no outcome will expire.
  timestamp next_expiry() const { return expiries_.empty() ? 0 : expiries_.front().expiry; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct pending_expiry {
    timestamp expiry = 0;
    std::uint64_t number = 0;
    key request_key;
  };
  struct key_hash {
    std::size_t operator()(const key& request_key) const { return request_key.low; }  // already a hash
  };

  std::size_t capacity_;
  std::unordered_map<key, outcome, key_hash> entries_;
  std::deque<pending_expiry> expiries_;  // of committed transactions, earliest first
};

}  // namespace marblewharf::transaction
