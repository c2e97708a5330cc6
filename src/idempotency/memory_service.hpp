// Keeps the results of keyed requests in memory, for as long as a repeat may come: the idempotency table of a
// node whose settings name keyed classes and whose operator's file names no folder. A restart forgets it.
//
// What a request asks for is a part of its key: only the backend can tell whose request it is, so one that
// has somebody else's key is no repeat, and neither gets that one's result nor stands in its way.
//
// The ledger decides; nothing here touches a disk, a clock or a socket. What the dispatcher asks for is
// answered at the next step(), never in the call itself. One thread, the one that calls step().
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/idempotency_store.hpp"
#include "idempotency/key_table.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

struct memory_service_options {
  std::vector<duration> windows;  // by class: how long after its arrival a repeat may come; 0 = not keyed
  duration longest_wait{};        // a request may be read so long after it arrived, and still be answered
  std::size_t memory = 0;         // bytes of all entries and results together
  std::size_t largest_result = 4096;
  std::size_t open = 1024;  // keyed requests from their arrival to their result
  std::uint64_t salt = 0;   // random: nobody outside can choose keys that collide
};

class memory_service : public idempotency_store {
 public:
  memory_service(memory_service_options options, telemetry::counters& counters);

  // Set before the first request; outlives this object.
  void report_to(idempotency_observer& events) { events_ = &events; }

  // Tells the dispatcher what it waits for, forgets what has aged.
  void step(time_point now);
  // Something waits to be told: step() is wanted at once.
  bool has_news() const { return !intended_.empty() || !recorded_.empty() || !fetched_.empty(); }

  // key_book
  opinion arrive(request_id id, const request& what) override;
  void intend(request_id leader, const request& what) override;
  bool record(request_id leader, bool served, std::string_view result) override;
  void doubt(request_id leader) override;
  void release(request_id leader) override;
  duration asked_in_vain(request_id) override { return {}; }
  void fetch(request_id id) override { fetched_.push_back(id); }
  void close(request_id leader) override { leaders_.erase(leader); }

  const key_table& known() const { return ledger_; }
  std::size_t bytes() const { return bytes_; }

 private:
  struct kept_result {
    bool served = false;
    std::string bytes;
    moment expiry = 0;
  };
  struct key_hash {
    std::size_t operator()(const key_id& k) const { return k.low; }
  };
  struct due {
    moment expiry = 0;
    key_id key;
  };
  struct repeat {
    key_id key;
    time_point arrived{};
  };

  // Requests that arrived before this are no longer read: what expired before it is of no use.
  moment horizon() const { return (now_ - options_.longest_wait).count(); }
  void report_room();
  void forget_aged();
  void tell_fetched(request_id id);

  memory_service_options options_;
  telemetry::counters& counters_;
  idempotency_observer* events_ = nullptr;
  key_table ledger_;
  time_point now_{};
  time_point next_ageing_{};
  std::unordered_map<request_id, key_id> leaders_;
  std::unordered_map<request_id, repeat> answered_;  // get a kept result, unless their callers leave before
  std::unordered_map<key_id, kept_result, key_hash> results_;
  std::deque<due> ageing_;  // of results, in the order in which they came
  std::size_t bytes_ = 0;
  std::vector<request_id> intended_, recorded_, fetched_;  // to be told at the next step
};

}  // namespace marblewharf::idempotency
