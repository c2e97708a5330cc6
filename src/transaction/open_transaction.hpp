// A transaction that has started but not ended: its state machine and the data that the coordinator needs for
// it. Used by the event loop's thread only.
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

// The participant of a transaction in the settings.
struct participant_place {
  std::size_t dependency = 0;      // index of its dependency
  std::size_t endpoint_index = 0;  // index of the endpoint that gets all requests of the transaction
};

// A participant of one transaction and the request to it that is in flight.
struct participant_call {
  std::size_t dependency = 0;                 // index of the participant's dependency
  endpoint address;                           // all requests of the transaction go to this endpoint
  std::size_t endpoint_index = 0;             // index of `address`
  std::shared_ptr<uwsgi::exchange> exchange;  // null: no request is in flight
  time_point sent_at{};                       // when the last request was sent
  fan_out::sub_response result;               // the participant's response to the commit
};

struct open_transaction {
  explicit open_transaction(std::vector<participant_kind> kinds)
      : machine(std::move(kinds)), calls(machine.participants()) {}

  // The indices of the participants' dependencies, in the order of `calls`.
  std::vector<std::size_t> dependencies() const;

  transaction_id id;
  std::uint64_t number = 0;  // the second half of the id; increases also across restarts
  std::size_t request_class = 0;
  std::string key;      // the request's key, including its tenant and class
  std::string payload;  // the request's payload
  state_machine machine;
  request_id client = 0;  // the request to answer; 0: none
  time_point begun_at{};
  time_point decision_deadline = time_point::max();
  time_point retry_at{};
  time_point due_at{};  // the earlier of decision_deadline and retry_at; key in the coordinator's timers
  duration retry_interval{};  // between the next retry and the one after it (exponential backoff)
  bool needs_calls = false;   // recovered, and waiting for calls in flight at its participants
  bool committed = false;
  log_record last_logged{};             // last durable record; 0: none
  std::uint64_t reserved_bytes = 0;     // disk space for all of its records
  std::vector<participant_call> calls;  // by participant
};

// Null: requests of this class are not transactions.
const transaction_plan* find_plan(const transactions_config& writes, std::size_t request_class);

// What a client asks for.
struct transaction_request {
  std::size_t request_class = 0;
  std::string payload;
  std::string key;  // includes the tenant and the class
};

// Creates a transaction that has not started.
std::shared_ptr<open_transaction> make_transaction(const config& settings, const transaction_id& id,
                                                   transaction_request asked,
                                                   const std::vector<participant_place>& places);

// The response to the client, composed of the participants' responses to their commits.
std::string compose_result(const open_transaction& transaction, const config& settings);

// The batch to write for a log record of the transaction. `salt`: the salt of the log's folder.
store::batch make_log_batch(const open_transaction& transaction, log_record record, const config& settings,
                            std::uint64_t salt);

}  // namespace marblewharf::transaction
