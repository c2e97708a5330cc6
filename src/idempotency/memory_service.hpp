// Stores the results of keyed requests in memory until their idempotency window has passed: for a node whose
// settings name keyed classes and whose operator's file names no folder. A restart loses them.
//
// The fingerprint of a request is a part of its key here. Only the backend can tell whose request it is, so
// one with another's key and other content is neither a duplicate nor a conflict: both run.
//
// Free of I/O and clocks. Replies to the dispatcher are given by the next step(), never in the call itself.
// Not synchronized: owned by the dispatcher's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/key_table_service.hpp"

namespace marblewharf::idempotency {

struct memory_service_options {
  std::vector<duration> windows;  // by class: how long after the first arrival a duplicate may arrive; 0 =
                                  // not keyed
  duration longest_wait{};        // between a request's arrival and the time when it is read, at most
  std::size_t memory = 0;         // bytes of all entries and results together
  std::size_t largest_result = 4096;  // bytes
  std::size_t open = 1024;            // keyed requests between their arrival and their result
  std::uint64_t salt = 0;             // random, so that nobody outside can choose keys that collide
};

class memory_service : public key_table_service {
 public:
  memory_service(memory_service_options options, telemetry::counters& counters);

  // Gives the replies that are pending and removes what has expired.
  void step(time_point now);
  // Replies are pending: step() is wanted at once.
  bool has_pending_replies() const {
    return !written_intents_.empty() || !recorded_results_.empty() || !requested_results_.empty();
  }

  // ---- idempotency_store ----------------------------------------------------------------------------------
  claim_result claim(request_id id, const request& what) override;
  void write_intent(request_id primary, const request& what) override;
  bool record_result(request_id primary, bool succeeded, std::string_view result) override;
  void release_key(request_id primary) override;
  duration schedule_inquiry_retry(request_id) override { return {}; }
  void fetch_result(request_id id) override { requested_results_.push_back(id); }

  // Of the stored results, with their share of the tables.
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
  };

  static std::size_t size_of(const stored_result& result);
  // What expired before this can no longer be asked for: requests that arrived earlier have all been read.
  aging_time expiry_horizon() const { return (now_ - options_.longest_wait).count(); }
  void publish_room();
  void remove_expired();
  void reply_to_reader(request_id id);

  memory_service_options options_;
  time_point now_{};
  std::unordered_map<request_id, result_reader> readers_;  // of results, unless their clients cancel before
  std::unordered_map<key_id, stored_result, key_id_hash> results_;
  std::deque<expiring_key> expiry_queue_;  // of results, in the order in which they were stored
  std::size_t bytes_ = 0;
  // Replies for the next step.
  std::vector<request_id> written_intents_;
  std::vector<request_id> recorded_results_;
  std::vector<request_id> requested_results_;
};

}  // namespace marblewharf::idempotency
