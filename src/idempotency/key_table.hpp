// The state of each idempotency key: the state machine of docs/keyed-results.md. Free of I/O and clocks: what
// the disk did and what time it is are handed in. Not synchronized: one thread at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/key_claim.hpp"
#include "core/request.hpp"
#include "store/position.hpp"

namespace marblewharf::idempotency {

// A key with its scope, as a hash under the store's salt. Two keys are the same if and only if their hashes
// are.
struct key_id {
  std::uint64_t low = 0, high = 0;
  bool operator==(const key_id&) const = default;
};

struct key_id_hash {
  std::size_t operator()(const key_id& key) const { return key.low; }  // it is a hash already
};

using aging_time = std::int64_t;  // ns of the aging clock

// The state of a key that is known. An unknown key has no entry.
//
//   from              step                                      to
//   ----------------  ----------------------------------------  ----------------
//   (unknown)         claim(): primary                          queued
//   queued            begin_intent()                            writing_intent
//   writing_intent    intent_written()                          running
//   running           begin_recording()                         recording_result
//   running           mark_outcome_unknown()                    outcome_unknown
//   outcome_unknown   claim(): inquiry_primary                  inquiring
//   outcome_unknown   begin_recording(): its run ended after    recording_result
//                     all
//   inquiring         begin_recording()                         recording_result
//   inquiring         schedule_inquiry_retry(): none is left    outcome_unknown
//   recording_result  result_recorded()                         completed
//   outcome_unknown,  expire(), or a claim() past its expiry    (unknown)
//   completed
//   all but           release(): it never ran                   (unknown)
//   recording_result
//   and completed
enum class key_state : std::uint8_t {
  queued,            // its primary waits to run
  writing_intent,    // the intent is on its way to the disk
  running,           // the intent is durable, the primary is with a backend
  recording_result,  // the run ended, its result is on its way to the disk
  outcome_unknown,   // it may have run, nobody knows
  inquiring,         // the same, and the backend is being asked
  completed,         // the result is durable
};

// What a request with a key meets. See claim_status.
struct key_claim {
  claim_status status = claim_status::primary;
  request_id primary = 0;                  // of primary, inquiry_primary and coalesced
  store::position result_at{};             // of completed
  std::chrono::nanoseconds retry_after{};  // of no_capacity
};

struct key_table_options {
  std::size_t entries = 1'000'000;     // keys known at once
  std::size_t open = 2048;             // of them neither completed nor of unknown outcome
  std::uint64_t max_intent_bytes = 0;  // of the largest intent on disk
  std::uint64_t max_result_bytes = 0;  // of the largest result on disk
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);  // after a failed write
  unsigned inquiry_tries = 0;                                            // 0 = no backend can be asked
  std::chrono::nanoseconds inquiry_pause{};  // after the first inquiry; doubles with each further one
};

// The condition of the disk after all outcomes that were reported before.
struct disk_state {
  bool writable = false;
  std::uint64_t room = 0;      // bytes that can certainly be written
  aging_time next_ageing = 0;  // when a segment will free its room; 0 = unknown
};

class key_table {
 public:
  explicit key_table(key_table_options options) : options_(options) {}

  // ---- Recovery -------------------------------------------------------------------------------------------
  // The records on disk, in the order in which they were written. Those that expired by `now` are skipped.
  void recover_intent(const key_id& key, std::uint64_t fingerprint, aging_time expiry, aging_time now);
  void recover_result(const key_id& key, std::uint64_t fingerprint, aging_time expiry,
                      const store::position& result_at, aging_time now);
  void recover_release(const key_id& key);
  // All records were read.
  void finish_recovery();

  // ---- Requests -------------------------------------------------------------------------------------------
  // Request `id` arrives with a key. `window`: how long after `now` a duplicate may arrive.
  key_claim claim(const key_id& key, std::uint64_t fingerprint, request_id id,
                  std::chrono::nanoseconds window, aging_time now);

  // Steps of the key's primary. False: the key is not in a state that the step starts from, and nothing was
  // changed.
  bool begin_intent(const key_id& key);
  bool intent_written(const key_id& key);
  bool begin_recording(const key_id& key);
  bool result_recorded(const key_id& key, const store::position& result_at, aging_time now);
  bool mark_outcome_unknown(const key_id& key);
  bool release(const key_id& key);
  // An inquiry brought nothing. Returns the delay before the next one; 0 = that was the last one.
  std::chrono::nanoseconds schedule_inquiry_retry(const key_id& key, aging_time now);

  // ---- Time and disk --------------------------------------------------------------------------------------
  void set_disk(const disk_state& disk) { disk_ = disk; }
  // Removes what has expired. Open keys stay.
  void expire(aging_time now);

  // ---- Figures --------------------------------------------------------------------------------------------
  bool contains(const key_id& key) const { return entries_.contains(key); }
  // Each throws std::out_of_range for a key that is unknown.
  key_state state_of(const key_id& key) const { return entries_.at(key).state; }
  aging_time expiry_of(const key_id& key) const { return entries_.at(key).expiry; }
  std::size_t size() const { return entries_.size(); }
  std::size_t buckets() const { return entries_.bucket_count(); }
  std::size_t open() const { return open_; }
  std::size_t outcomes_unknown() const { return outcomes_unknown_; }
  std::uint64_t reserved_bytes() const { return reserved_bytes_; }

 private:
  struct entry {
    std::uint64_t fingerprint = 0;
    aging_time expiry = 0;
    store::position result_at;
    request_id primary = 0;  // of an open key
    key_state state = key_state::queued;
    std::uint8_t inquiries_failed = 0;  // in a row
    aging_time inquire_after = 0;
  };
  using entry_map = std::unordered_map<key_id, entry, key_id_hash>;
  struct expiring_key {
    aging_time expiry = 0;
    key_id key;
  };

  static bool is_open(key_state state) {
    return state != key_state::outcome_unknown && state != key_state::completed;
  }
  key_claim claim_known(entry& known, std::uint64_t fingerprint, request_id id, aging_time now);
  key_claim claim_new(const key_id& key, std::uint64_t fingerprint, request_id id,
                      std::chrono::nanoseconds window, aging_time now);
  bool can_reserve(std::uint64_t bytes) const;
  key_claim no_capacity(aging_time now) const;
  bool transition(const key_id& key, key_state from, key_state to);
  void enter(entry& changed, key_state to);
  void erase(entry_map::iterator erased);
  std::uint64_t bytes_to_reserve(key_state state) const;

  key_table_options options_;
  disk_state disk_;
  entry_map entries_;
  // By the length of the window, oldest first: keys with one window expire in the order of their arrival.
  std::unordered_map<std::int64_t, std::deque<expiring_key>> expiry_queues_;
  std::size_t open_ = 0;
  std::size_t outcomes_unknown_ = 0;
  std::uint64_t reserved_bytes_ = 0;  // that open keys will still write
};

}  // namespace marblewharf::idempotency
