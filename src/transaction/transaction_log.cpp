#include "transaction/transaction_log.hpp"

#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf::transaction {

void transaction_log::open(std::shared_ptr<store::table_service> service) {
  service_ = std::move(service);
  std::vector<store::table_service::done> completed;
  condition_ = service_->collect(completed);
}

void transaction_log::stop() {
  if (service_ != nullptr) service_->stop();
}

void transaction_log::append(const transaction_id& id, log_record record, store::batch batch) {
  records_[++last_ticket_] = {id, record};
  unsent_.push_back({last_ticket_, std::move(batch)});
  flush();
}

void transaction_log::flush() {
  while (!unsent_.empty() &&
         service_->commit(unsent_.front().ticket, unsent_.front().batch, store::durability::now))
    unsent_.pop_front();
}

bool transaction_log::read_result(request_id client, const std::string& key, const outcome_id& id) {
  if (!service_->get(++last_ticket_, outcome_table, encode_outcome_id(id))) return false;
  reads_[last_ticket_] = {client, key};
  return true;
}

std::vector<store::table_service::done> transaction_log::collect() {
  std::vector<store::table_service::done> completed;
  const bool was_writable = condition_->writable;
  condition_ = service_->collect(completed);
  if (was_writable != condition_->writable)
    telemetry::log("writes", "%s",
                   condition_->writable ? "disk is writable again, transactions are accepted"
                                        : condition_->fault.c_str());
  return completed;
}

std::optional<transaction_log::event> transaction_log::to_event(const store::table_service::done& done) {
  if (done.operation == store::table_service::kind::commit) {
    const auto found = records_.find(done.ticket);
    if (found == records_.end()) return std::nullopt;
    const pending_record pending = std::move(found->second);
    records_.erase(found);
    return record_written{pending.id, pending.record, done.fault.empty() && done.result.accepted};
  }
  const auto found = reads_.find(done.ticket);
  if (found == reads_.end()) return std::nullopt;
  const pending_read pending = std::move(found->second);
  reads_.erase(found);
  return result_read{pending.client, parse_result(pending, done)};
}

std::optional<std::string> transaction_log::parse_result(const pending_read& read,
                                                         const store::table_service::done& done) const {
  std::optional<result_record> record;
  if (done.value) record = parse_result_record(*done.value);
  if (record && record->key == read.key) return std::move(record->result);
  std::string cause = done.fault;
  if (cause.empty()) cause = record ? "the record belongs to another key" : "the record is missing";
  telemetry::log(
      "writes",
      "the result of a committed transaction cannot be read: %s; the inquiry is answered as unknown",
      cause.c_str());
  return std::nullopt;
}

}  // namespace marblewharf::transaction
