// The coordinator as a backend: requests come in, transactions begin, clients leave and inquire.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "transaction/admission.hpp"
#include "transaction/coordinator.hpp"
#include "upstream/response_deadline.hpp"

namespace marblewharf::transaction {

const write_plan* coordinator::plan_of(const request& what) const {
  return find_plan(*config_.writes, what.request_class);
}

// The key within its tenant and class, as the idempotency store scopes it. By name: numbers may change from
// one start to the next, and a transaction that is not found counts as one that never ran.
std::string coordinator::key_of(const request& what) const {
  const auto& tenants = config_.settings.tenants;
  std::string key = what.tenant < tenants.size() ? tenants[what.tenant].name : std::string();
  key += '\0';
  key += config_.settings.classes[what.request_class].name;
  key += '\0';
  key += what.key;
  return key;
}

// The retry-after of a transaction that may not begin now.
std::optional<duration> coordinator::reject_for(const write_plan& plan, const request& what) {
  const std::uint64_t own_bytes = disk_space_of_transaction(what.payload.size(), config_.bounds.write_buffer);
  const admission_inputs inputs{.log = log_.condition(),
                                .bytes_needed = reserved_bytes_ + own_bytes,
                                .outcomes = outcomes_,
                                .now = aging_now(),
                                .disk_retry = config_.keyed->retry_disk,
                                .participant_retry = config_.writes->retry};
  const std::optional<rejection> rejected = admit(inputs, plan.participants, in_flight_);
  return rejected ? std::optional(rejected->retry_after) : std::nullopt;
}

void coordinator::run(request_id id, const request& what) {
  const write_plan* plan = plan_of(what);
  if (plan == nullptr) {
    fan_out_.run(id, what);
    return;
  }
  if (const auto retry_after = reject_for(*plan, what)) {
    ++rejected_;
    reactor_.wake();
    dispatcher_.on_backend_rejected(id, *retry_after);
    return;
  }
  const auto transaction = begin(id, what);
  transaction->machine.begin();
  advance(transaction);
}

// Numbers rise over restarts, too: the clock does, and no number on disk is reached again.
transaction_id coordinator::next_id() const {
  const std::uint64_t number = std::max(last_number_, static_cast<std::uint64_t>(aging_now())) + 1;
  char text[transaction_id_size + 1];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(random_),
                static_cast<unsigned long long>(number));
  return text;
}

std::shared_ptr<open_transaction> coordinator::begin(request_id id, const request& what) {
  auto transaction = make_transaction(config_, next_id(), what.request_class, what.payload, key_of(what));
  last_number_ = std::max(last_number_, transaction->number);
  transaction->client = id;
  participants_.choose_endpoints(*transaction);
  transaction->decide_by = upstream::response_deadline(what, config_.settings.classes[what.request_class],
                                                       transaction->plan->reserve);
  transaction->reserved_bytes = disk_space_of_transaction(what.payload.size(), config_.bounds.write_buffer);
  reserved_bytes_ += transaction->reserved_bytes;
  update_fan_out_share(*transaction);
  running_[id] = transaction->id;
  open_[transaction->id] = transaction;
  outcomes_.on_begin(hash_of(transaction->key), transaction->number);
  schedule(*transaction);
  return transaction;
}

// A transaction cannot be stopped: it goes on to its end, and the key tells its outcome later.
void coordinator::pause(request_id id) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    fan_out_.pause(id);
    return;
  }
  if (const auto transaction = open_.find(found->second); transaction != open_.end())
    transaction->second->client = 0;
  running_.erase(found);
  reactor_.wake();
  dispatcher_.on_end(id, run_end::aborted, {}, {});
}

void coordinator::resume(request_id id) {
  if (!running_.contains(id)) fan_out_.resume(id);
}

bool coordinator::inquire(request_id id, const request& what) {
  if (plan_of(what) == nullptr) return fan_out_.inquire(id, what);
  reactor_.wake();
  if (!log_.is_open()) {  // what another process has in the folder is not known here
    dispatcher_.on_inquired(id, inquiry_end::unknown, {});
    return true;
  }
  const std::string key = key_of(what);
  const outcome_cache::key hash = hash_of(key);
  const outcome_cache::outcome outcome = outcomes_.find(hash);
  switch (outcome.state) {
    // No record of it was ever durable, so no participant was asked; or it was aborted.
    case outcome_cache::status::unknown: dispatcher_.on_inquired(id, inquiry_end::never_ran, {}); break;
    case outcome_cache::status::open: dispatcher_.on_inquired(id, inquiry_end::unknown, {}); break;
    case outcome_cache::status::committed: inquire_result(id, key, {outcome.number, hash}); break;
  }
  return true;
}

void coordinator::inquire_result(request_id id, const std::string& key, const outcome_id& outcome) {
  if (!log_.read_result(id, key, outcome)) dispatcher_.on_inquired(id, inquiry_end::unknown, {});
}

}  // namespace marblewharf::transaction
