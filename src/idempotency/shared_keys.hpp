// Shares the keys of keyed requests among the processes of one node, which all take clients while one
// replaces another. Each process publishes an event before it runs a key and when the outcome of the run is
// known, and reads the events of the others. A key that another process has run is not run here.
//
// An intent is published under the log's lock, after all earlier events were read: of two processes that are
// about to run the same key, one runs it. Not thread-safe: owned by the dispatcher's thread. No function
// waits for another process.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/key_events.hpp"
#include "idempotency/peer_keys.hpp"
#include "store/shared_log.hpp"

namespace marblewharf::idempotency {

class shared_keys {
 public:
  struct intent_outcome {
    request_id primary = 0;
    bool published = false;  // false: the primary must not run
  };
  struct run_result {
    bool succeeded = false;
    std::string bytes;
  };

  // Reads the events that were published before `now`.
  shared_keys(std::unique_ptr<store::shared_log> log, time_point now) : log_(std::move(log)) {
    read_events(now);
  }

  // ---- Events of this process, published by the next publish() --------------------------------------------
  // `arrival`: of the request, on the log's clock.
  void add_intent(request_id primary, const key_id& key, time_point arrival, aging_time expiry,
                  time_point now);
  void add_event(const key_event& event, aging_time expiry);
  // Drops the intent of a primary that was not published yet.
  void withdraw_intent(request_id primary);

  // Publishes the pending events. Returns the intents that were published, and those that cannot be, because
  // another process has run the key, the log is full, or another process has blocked it for too long; all
  // others stay pending. `horizon`: the time up to which events have expired.
  std::vector<intent_outcome> publish(time_point now, aging_time horizon);
  bool has_pending_events() const { return !intents_.empty() || !events_.empty(); }
  // Whether the last publish() left events pending, so that the next one should come after a delay.
  bool is_blocked() const { return blocked_; }

  // ---- Runs of other processes ----------------------------------------------------------------------------
  // Reads the events that other processes have published since the last call.
  void read_events(time_point now);
  // Returns the run of a key according to the events that were read, or null if the key is unknown. A run
  // whose process has ended without a result is one with an unknown outcome.
  const peer_run* find(const key_id& key, time_point now);
  // Whether another process has run the key within its window, so that a request that arrived at `arrival`
  // must not run.
  static bool forbids_run(const peer_run* run, time_point arrival);
  // Returns nothing if the result cannot be read.
  std::optional<run_result> read_result(const peer_run& completed) const;
  // Removes what has expired at `horizon` or before, also from the log.
  void expire(time_point now, aging_time horizon);

  // The bytes that events of this process may still take.
  std::uint64_t free_bytes() const { return log_->free_bytes(); }
  std::size_t peer_run_count() const { return peers_.size(); }

 private:
  struct pending_intent {
    request_id primary = 0;
    key_id key;
    time_point arrival{};
    aging_time expiry = 0;
    time_point since{};
  };

  struct liveness {
    bool alive = true;
    time_point checked_at{};
  };

  bool is_alive(store::log_member owner, time_point now);
  std::vector<intent_outcome> try_publish(time_point now, aging_time horizon);
  std::vector<intent_outcome> reject_blocked_intents(time_point now);
  std::vector<intent_outcome> append_pending(const store::shared_log::append_lock& lock);
  bool append_events(const store::shared_log::append_lock& lock);

  std::unique_ptr<store::shared_log> log_;
  peer_keys peers_;
  std::vector<pending_intent> intents_;
  std::vector<store::shared_log::draft> events_;  // pending events other than intents
  std::unordered_map<store::log_member, liveness> owners_;
  bool blocked_ = false;
};

}  // namespace marblewharf::idempotency
