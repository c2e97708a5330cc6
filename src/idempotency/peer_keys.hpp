// What this process knows of the keys that other processes of the same node have run, from the events that
// they published. Performs no I/O, has no clock. Not thread-safe.
//
// The outcome of a run is unknown until an event proves it:
//
//   from             event of the process that runs the key      to
//   ---------------  ------------------------------------------  ---------------
//   (unknown key)    intent                                      running
//   running          result                                      completed
//   running          outcome_unknown, or the process has ended   outcome_unknown
//   outcome_unknown  result: the end was reported late           completed
//   running,         release: proven not to have run             released
//   outcome_unknown
//   released         intent                                      running
//   any              expire()                                    (unknown key)
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "idempotency/key_events.hpp"
#include "idempotency/key_table.hpp"
#include "store/shared_log_format.hpp"

namespace marblewharf::idempotency {

enum class peer_run_state : std::uint8_t {
  running,
  completed,
  outcome_unknown,
  released,  // never ran: the key is free
};

// The run of a key in another process.
struct peer_run {
  peer_run_state state = peer_run_state::running;
  store::log_member owner = 0;  // the process that runs the key
  aging_time expiry = 0;
  store::shared_position event_at;  // if completed: the event with the result
};

class peer_keys {
 public:
  // Applies a record of another process. Ignores records that are not events.
  void apply(const store::shared_record& record);
  // The process has ended, and all its records were applied before.
  void on_owner_ended(const key_id& key);
  // Removes runs that expired at `horizon` or before.
  void expire(aging_time horizon);

  // Returns null if the key is unknown, which proves nothing about its run: it may have expired.
  const peer_run* find(const key_id& key) const;
  std::size_t size() const { return runs_.size(); }

 private:
  void begin(const key_id& key, const store::shared_record& record);
  void complete(const key_id& key, const store::shared_record& record);

  std::unordered_map<key_id, peer_run, key_id_hash> runs_;
  std::multimap<aging_time, key_id> expiries_;
};

}  // namespace marblewharf::idempotency
