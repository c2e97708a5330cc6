// The state of each idempotency key: the state machine of docs/keyed-results.md. No I/O, no clock: disk
// results and times are passed in. Not thread-safe: one thread at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/claim_status.hpp"
#include "core/request.hpp"
#include "store/position.hpp"

namespace marblewharf::idempotency {

// The hash of a key and its scope, salted per store. Keys with equal hashes are treated as the same key.
struct key_id {
  std::uint64_t low = 0, high = 0;
  bool operator==(const key_id&) const = default;
};

struct key_id_hash {
  std::size_t operator()(const key_id& key) const { return key.low; }  // already a hash
};

using aging_time = std::int64_t;  // ns on the aging_clock

// A server of the backend, by its index in server_names.
using server_index = std::uint32_t;
inline constexpr server_index unnamed_server = 0;  // an intent that names no server

// The state of a known key. An unknown key has no entry.
//
//   from              step                                      to
//   ----------------  ----------------------------------------  ----------------
//   (unknown)         claim(): primary                          queued
//   queued            begin_intent()                            writing_intent
//   writing_intent    intent_written()                          running
//   running           begin_intent(): for another server        writing_intent
//   running           begin_recording()                         recording_result
//   running           mark_outcome_unknown()                    outcome_unknown
//   outcome_unknown   claim(): inquiry_primary                  inquiring
//   outcome_unknown   begin_recording(): end reported late      recording_result
//   inquiring         begin_recording()                         recording_result
//   inquiring         schedule_inquiry_retry(): no retry left   outcome_unknown
//   recording_result  result_recorded()                         completed
//   outcome_unknown,  expire(), or a claim() past its expiry    (unknown)
//   completed
//   queued            abandon()                                 (unknown)
//   all other open    abandon()                                 outcome_unknown
//   all but           release(): it never ran                   (unknown)
//   recording_result
//   and completed
enum class key_state : std::uint8_t {
  queued,            // the primary waits to run
  writing_intent,    // the intent is being written to disk
  running,           // the intent is durable, the primary runs on a backend
  recording_result,  // the run ended, its result is being written to disk
  outcome_unknown,   // the primary may or may not have run
  inquiring,         // outcome unknown, and the backend is being asked
  completed,         // the result is durable
};

// The result of claiming a key for a request. See claim_status.
struct key_claim {
  claim_status status = claim_status::primary;
  request_id primary = 0;                  // set for primary, inquiry_primary and coalesced
  store::position result_at{};             // set for completed
  server_index server = unnamed_server;    // set for inquiry_primary
  std::chrono::nanoseconds retry_after{};  // set for no_capacity
};

struct key_table_options {
  std::size_t max_keys = 1'000'000;  // maximum number of known keys
  std::size_t max_open_keys = 2048;  // maximum number of open keys: neither completed nor of unknown outcome
  std::uint64_t max_intent_bytes = 0;                                    // size of the largest intent on disk
  std::uint64_t max_result_bytes = 0;                                    // size of the largest result on disk
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);  // delay after a failed write
  unsigned inquiry_tries = 0;                                            // 0 = no backend supports inquiries
  std::chrono::nanoseconds inquiry_pause{};  // after the first inquiry; doubles with each inquiry
};

// The state of the disk after all writes whose results were reported before.
struct disk_state {
  bool writable = false;
  std::uint64_t free_bytes = 0;        // that can certainly be written
  aging_time next_segment_expiry = 0;  // when a segment frees its space; 0 = unknown
};

class key_table {
 public:
  explicit key_table(key_table_options options) : options_(options) {}

  // ---- Recovery -------------------------------------------------------------------------------------------
  // Called for each record on disk, in the order in which they were written. Records that have expired by
  // `now` are skipped.
  void recover_intent(const key_id& key, std::uint64_t fingerprint, aging_time expiry, server_index server,
                      aging_time now);
  void recover_result(const key_id& key, std::uint64_t fingerprint, aging_time expiry,
                      const store::position& result_at, aging_time now);
  void recover_release(const key_id& key);
  // Called after the last record.
  void finish_recovery();

  // ---- Requests -------------------------------------------------------------------------------------------
  // Claims a key for the arriving request `id`. `window`: how long after `now` duplicates are recognized.
  key_claim claim(const key_id& key, std::uint64_t fingerprint, request_id id,
                  std::chrono::nanoseconds window, aging_time now);

  // State transitions of the key's primary; see key_state. False: the key is not in a state from which the
  // transition starts, and nothing was changed.
  bool begin_intent(const key_id& key, server_index server = unnamed_server);
  bool intent_written(const key_id& key);
  bool begin_recording(const key_id& key);
  bool result_recorded(const key_id& key, const store::position& result_at, aging_time now);
  bool mark_outcome_unknown(const key_id& key);
  bool release(const key_id& key);
  // The handling of the primary failed: a queued key is free again, the outcome of any other open key is
  // unknown.
  void abandon(const key_id& key);
  // An inquiry did not reveal the outcome. Returns the delay before the next inquiry; 0 = there is none.
  std::chrono::nanoseconds schedule_inquiry_retry(const key_id& key, aging_time now);

  // ---- Time and disk --------------------------------------------------------------------------------------
  void set_disk(const disk_state& disk) { disk_ = disk; }
  // Removes expired keys. Open keys stay.
  void expire(aging_time now);

  // ---- Statistics -----------------------------------------------------------------------------------------
  bool contains(const key_id& key) const { return entries_.contains(key); }
  // state_of() and expiry_of() throw std::out_of_range for an unknown key.
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
    request_id primary = 0;  // set for an open key
    key_state state = key_state::queued;
    std::uint8_t inquiries_failed = 0;     // consecutively
    server_index server = unnamed_server;  // the server that the intent names
    aging_time inquire_after = 0;          // no inquiry before this time
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
  // One queue per window length, oldest key first: keys with the same window expire in order of arrival.
  std::unordered_map<std::int64_t, std::deque<expiring_key>> expiry_queues_;
  std::size_t open_ = 0;
  std::size_t outcomes_unknown_ = 0;
  std::uint64_t reserved_bytes_ = 0;  // for the records that open keys have yet to write
};

}  // namespace marblewharf::idempotency
