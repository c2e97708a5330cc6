// The coordinator as a backend: admission and start of transactions, cancellation by clients, and inquiries.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/tenant_name.hpp"
#include "outcome/effect.hpp"
#include "telemetry/telemetry.hpp"
#include "transaction/admission.hpp"
#include "transaction/coordinator.hpp"
#include "upstream/response_deadline.hpp"

namespace marblewharf::transaction {

using telemetry::log;

const transaction_plan* coordinator::plan_of(const request& client_request) const {
  return find_plan(*config_.transactions, client_request.request_class);
}

// The key with the names of its tenant and class, which are also the scope of keys in the idempotency store.
// Names are used because the indices may change between restarts: a transaction that is not found under its
// key would be reported as never run.
std::string coordinator::scoped_key(const request& client_request) const {
  std::string key(tenant_name(config_.policy_settings, client_request.tenant));
  key += '\0';
  key += config_.policy_settings.classes[client_request.request_class].name;
  key += '\0';
  key += client_request.key;
  return key;
}

// Admits a transaction and acquires its calls in flight, or returns the retry-after of its rejection.
std::optional<duration> coordinator::try_admit(const transaction_plan& plan, const request& client_request) {
  const std::uint64_t own_bytes =
      disk_space_of_transaction(client_request.payload.size(), config_.bounds.max_write_buffer_bytes);
  const admission_inputs inputs{.log = log_.condition(),
                                .bytes_needed = reserved_bytes_ + own_bytes,
                                .outcomes = outcomes_,
                                .now = aging_now(),
                                .disk_retry_after = config_.keyed->disk_retry_interval,
                                .participant_retry_after = config_.transactions->retry_delay};
  const std::optional<rejection> rejected = admit(inputs, plan.participants, in_flight_);
  return rejected ? std::optional(rejected->retry_after) : std::nullopt;
}

std::optional<std::string> coordinator::choose_server(const request& client_request,
                                                      const std::vector<std::string>& unreachable) {
  if (plan_of(client_request) != nullptr) return log_.is_open() ? log_name() : std::string();
  return fan_out_.choose_server(client_request, unreachable);
}

void coordinator::run(request_id id, const request& client_request) {
  const transaction_plan* plan = plan_of(client_request);
  if (plan == nullptr) {
    fan_out_.run(id, client_request);
    return;
  }
  if (const auto retry_after = try_admit(*plan, client_request)) {
    ++rejected_;
    reactor_.wake();
    dispatcher_.on_backend_rejected(id, *retry_after);
    return;
  }
  const auto transaction = begin(id, client_request);
  transaction->machine.begin();
  advance(transaction);
}

// Numbers increase, also across restarts, because the aging clock never goes back. A number on disk is
// therefore never used again.
transaction_id coordinator::next_id() const {
  const std::uint64_t number = std::max(last_number_, static_cast<std::uint64_t>(aging_now())) + 1;
  char text[transaction_id_size + 1];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(random_),
                static_cast<unsigned long long>(number));
  return text;
}

std::shared_ptr<open_transaction> coordinator::begin(request_id id, const request& client_request) {
  const transaction_plan& plan = *plan_of(client_request);
  auto transaction = make_transaction(
      config_, next_id(), {client_request.request_class, client_request.payload, scoped_key(client_request)},
      participants_.choose_places(plan.participants, net::steady_now()));
  last_number_ = std::max(last_number_, transaction->number);
  transaction->client = id;
  participants_.bind(*transaction);
  transaction->decision_deadline = upstream::response_deadline(
      client_request, config_.policy_settings.classes[client_request.request_class], plan.reserve);
  transaction->reserved_bytes =
      disk_space_of_transaction(client_request.payload.size(), config_.bounds.max_write_buffer_bytes);
  reserved_bytes_ += transaction->reserved_bytes;
  update_fan_out_share(*transaction);
  waiting_clients_[id] = transaction->id;
  open_transactions_[transaction->id] = transaction;
  outcomes_.on_begin(hash_of(transaction->key), transaction->number);
  schedule(*transaction);
  return transaction;
}

// A transaction cannot be stopped: it continues without its client, and its outcome remains available by its
// key.
void coordinator::pause(request_id id) {
  const auto found = waiting_clients_.find(id);
  if (found == waiting_clients_.end()) {
    fan_out_.pause(id);
    return;
  }
  if (const auto transaction = open_transactions_.find(found->second);
      transaction != open_transactions_.end())
    transaction->second->client = 0;
  waiting_clients_.erase(found);
  reactor_.wake();
  dispatcher_.on_run_ended(id, run_end::aborted, {}, {});
}

void coordinator::resume(request_id id) {
  if (!waiting_clients_.contains(id)) fan_out_.resume(id);
}

bool coordinator::inquire(request_id id, const request& client_request) {
  if (plan_of(client_request) == nullptr) return fan_out_.inquire(id, client_request);
  reactor_.wake();
  if (!log_.is_open()) {  // the outcomes in the folder of another process are not known
    dispatcher_.on_inquiry_reply(id, inquiry_outcome::unknown, {});
    return true;
  }
  const std::string key = scoped_key(client_request);
  const outcome_cache::key hash = hash_of(key);
  const outcome_cache::outcome outcome = outcomes_.find(hash);
  switch (outcome.state) {
    case outcome_cache::status::unknown:
      dispatcher_.on_inquiry_reply(id, outcome_of_missing(client_request), {});
      break;
    case outcome_cache::status::open: dispatcher_.on_inquiry_reply(id, inquiry_outcome::unknown, {}); break;
    case outcome_cache::status::committed: inquire_result(id, key, {outcome.number, hash}); break;
  }
  return true;
}

// The log identifies itself by its salt: another folder, or an emptied one, has another salt.
std::string coordinator::log_name() const {
  char name[log_name_bytes + 1];
  std::snprintf(name, sizeof name, "writes:%016llx", static_cast<unsigned long long>(salt_));
  return name;
}

// A transaction that is not in the log was aborted, or its begin record was never durable, so that no
// participant was contacted. This says nothing about a request that was not sent to this log.
inquiry_outcome coordinator::outcome_of_missing(const request& client_request) const {
  outcome::effect inquired = outcome::effect::recovered(client_request.server);
  if (!inquired.apply({outcome::event::not_run, {{log_name(), 0}, 0}}))
    log("writes", "the outcome of a request stays unknown: it was sent to %s, not to the log %s",
        client_request.server.empty() ? "an unknown server" : client_request.server.c_str(),
        log_name().c_str());
  return inquired.inquiry_conclusion();
}

void coordinator::inquire_result(request_id id, const std::string& key, const outcome_id& outcome) {
  if (!log_.read_result(id, key, outcome)) dispatcher_.on_inquiry_reply(id, inquiry_outcome::unknown, {});
}

}  // namespace marblewharf::transaction
