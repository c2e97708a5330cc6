// A transaction that has begun and not ended: its state machine, and what the coordinator knows beside it.
// Owned by the event loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/state_machine.hpp"
#include "transaction/log_records.hpp"
#include "transaction/state_machine.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::transaction {

// A participant of one transaction, and the request to it that is in flight.
struct participant_call {
  endpoint address;                // all requests of the transaction go to this endpoint
  std::size_t endpoint_index = 0;  // of `address`; past the last where it is not configured any more
  std::shared_ptr<uwsgi::exchange> exchange;  // null: no request is in flight
  time_point sent_at{};                       // of the last request
  fan_out::sub_response result;               // of its commit
};

struct open_transaction {
  open_transaction(std::vector<participant_kind> kinds, const write_plan& its_plan)
      : plan(&its_plan), machine(std::move(kinds)), calls(its_plan.participants.size()) {}

  transaction_id id;
  std::uint64_t number = 0;  // the second half of the id: rises over restarts, too
  std::size_t request_class = 0;
  std::string key;      // of the request, with its scope
  std::string payload;  // of the request
  const write_plan* plan;
  state_machine machine;
  request_id client = 0;  // 0: none is to be answered any more
  time_point begun_at{};
  time_point decide_by = time_point::max();
  time_point retry_at{};
  time_point due_at{};       // the earlier of decide_by and retry_at, as the coordinator's timers have it
  duration retry_pause{};    // from the next retry to the one after it
  bool needs_calls = false;  // recovered, and waits for calls in flight at its participants
  bool committed = false;
  log_record last_logged{};             // the last durable record; 0: none
  std::uint64_t reserved_bytes = 0;     // on disk, for all of its records
  std::vector<participant_call> calls;  // in the order of the plan
};

// Null: no transaction of this class is configured.
const write_plan* find_plan(const writes_config& writes, std::size_t request_class);

// Not begun yet, with the first endpoint of each participant. Null where the class has no plan.
std::shared_ptr<open_transaction> make_transaction(const config& settings, const transaction_id& id,
                                                   std::size_t request_class, std::string payload,
                                                   std::string key);

// The response to the client: what the participants' commits brought.
std::string compose_result(const open_transaction& transaction, const config& settings);

// What is written for a log record of the transaction. `salt`: of the log's folder.
store::batch make_log_batch(const open_transaction& transaction, log_record record, const config& settings,
                            std::uint64_t salt);

}  // namespace marblewharf::transaction
