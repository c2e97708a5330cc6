// Stores the results of keyed requests in memory until their idempotency window has passed, for a node whose
// settings have keyed classes but whose operator's file has no folder. With `shared_keys`, the processes of a
// node that replace one another know each other's keys and results; without, a restart loses them.
//
// Here the fingerprint of a request is part of its key. Only the backend can authenticate a client, so a
// request with the same key and other content is neither a duplicate nor a conflict: both requests run.
//
// No I/O, no clock. The dispatcher gets its replies from the next step(), never during the call itself. Not
// thread-safe: owned by the dispatcher's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/key_table_service.hpp"
#include "idempotency/shared_keys.hpp"

namespace marblewharf::idempotency {

struct memory_service_options {
  // By request class: how long after the first arrival duplicates are recognized; 0 = not keyed.
  std::vector<duration> windows;
  duration longest_wait{};            // maximum time from the arrival of a request until it is read
  std::size_t memory = 0;             // bytes of all entries and results together
  std::size_t largest_result = 4096;  // bytes
  // Maximum number of open keys. A key is open from the arrival of its request to the result.
  std::size_t max_open_keys = 1024;
  // Random, so that clients cannot choose keys that collide. The same in all processes that share keys.
  std::uint64_t salt = 0;
  // Names by index, as the indices may differ between processes with different settings.
  std::vector<std::string> classes{}, tenants{};
};

class memory_service : public key_table_service {
 public:
  // `shared`: null if this process shares its keys with no other. `now`: until the first step().
  memory_service(memory_service_options options, telemetry::counters& counters,
                 std::unique_ptr<shared_keys> shared = nullptr, time_point now = {});

  // Publishes events to the other processes, sends the pending replies and removes expired keys and results.
  void step(time_point now);
  // When step() has to be called next: at once if replies are pending, at intervals while another process
  // is waited for; time_point::max() if there is nothing to do.
  time_point due() const;

  // ---- idempotency_store ----------------------------------------------------------------------------------
  claim_result claim(request_id id, const request& claimant) override;
  void write_intent(request_id primary, const request& claimant) override;
  bool record_result(request_id primary, bool succeeded, std::string_view result) override;
  void mark_outcome_unknown(request_id primary) override;
  void release_key(request_id primary) override;
  void abandon(request_id id) override;
  duration schedule_inquiry_retry(request_id) override { return {}; }
  void fetch_result(request_id id) override { requested_results_.push_back(id); }

  // The memory taken by the stored results, including their share of the tables.
  std::size_t bytes() const { return bytes_; }

 private:
  struct stored_result {
    bool succeeded = false;
    std::string bytes;
    aging_time expiry = 0;
  };
  struct expiring_key {
    aging_time expiry = 0;
    key_id key;
  };
  struct result_reader {
    key_id key;
    time_point arrived{};
    bool run_by_peer = false;  // another process has run the key
  };
  enum class reply_status { sent, awaits_peer };

  static std::size_t size_of(const stored_result& result);
  void publish_free_memory();
  void remove_expired();
  key_id key_of(const request& claimant) const;
  claim_result claim_peer_run(request_id id, const key_id& key, const request& claimant,
                              peer_run_state state);
  void publish_event(request_id primary, const key_event& event);
  void reply_to_intents();
  void reply_to_readers();
  reply_status reply_to_reader(request_id id);
  reply_status reply_from_peer(request_id id, const key_id& key);

  memory_service_options options_;
  const std::unique_ptr<shared_keys> shared_;  // null if this process shares its keys with no other
  time_point now_;
  // Requests that will fetch a result, unless their client cancels.
  std::unordered_map<request_id, result_reader> readers_;
  std::unordered_map<key_id, stored_result, key_id_hash> results_;
  std::deque<expiring_key> expiry_queue_;  // the results, in the order in which they were stored
  std::size_t bytes_ = 0;
  // Replies that the next step() sends.
  std::vector<request_id> written_intents_;
  std::vector<request_id> recorded_results_;
  std::vector<request_id> requested_results_;
  std::vector<request_id> readers_awaiting_peer_;  // the key's run in another process has not ended
};

}  // namespace marblewharf::idempotency
