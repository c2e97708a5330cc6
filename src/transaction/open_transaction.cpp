#include "transaction/open_transaction.hpp"

#include <utility>

#include "fan_out/response_assembly.hpp"
#include "net/reactor.hpp"

namespace marblewharf::transaction {
namespace {

std::vector<participant_kind> kinds_of(const config& settings, const std::vector<participant_place>& places) {
  std::vector<participant_kind> kinds;
  for (const participant_place& place : places) {
    const bool one_phase = settings.dependencies->upstreams[place.dependency].one_phase;
    kinds.push_back(one_phase ? participant_kind::one_phase : participant_kind::two_phase);
  }
  return kinds;
}

std::vector<recorded_participant> participants_of(const open_transaction& transaction,
                                                  const config& settings) {
  std::vector<recorded_participant> participants;
  for (const participant_call& call : transaction.calls) {
    const auto& dependency = settings.dependencies->upstreams[call.dependency];
    participants.push_back({dependency.name, name_of(call.address), dependency.one_phase,
                            static_cast<std::uint32_t>(dependency.endpoints.size())});
  }
  return participants;
}

}  // namespace

const transaction_plan* find_plan(const transactions_config& writes, std::size_t request_class) {
  for (const transaction_plan& plan : writes.plans)
    if (plan.request_class == request_class) return &plan;
  return nullptr;
}

std::vector<std::size_t> open_transaction::dependencies() const {
  std::vector<std::size_t> indices;
  indices.reserve(calls.size());
  for (const participant_call& call : calls) indices.push_back(call.dependency);
  return indices;
}

std::shared_ptr<open_transaction> make_transaction(const config& settings, const transaction_id& id,
                                                   transaction_request asked,
                                                   const std::vector<participant_place>& places) {
  auto transaction = std::make_shared<open_transaction>(kinds_of(settings, places));
  transaction->id = id;
  transaction->number = number_of(id);
  transaction->request_class = asked.request_class;
  transaction->payload = std::move(asked.payload);
  transaction->key = std::move(asked.key);
  transaction->begun_at = net::steady_now();
  transaction->retry_interval = settings.transactions->retry_delay;
  transaction->retry_at = transaction->begun_at + transaction->retry_interval;
  for (std::size_t i = 0; i < places.size(); ++i) {
    participant_call& call = transaction->calls[i];
    call.dependency = places[i].dependency;
    call.endpoint_index = places[i].endpoint_index;
    call.address = settings.dependencies->upstreams[call.dependency].endpoints[call.endpoint_index];
  }
  return transaction;
}

std::string compose_result(const open_transaction& transaction, const config& settings) {
  upstream::request_plan plan;
  std::vector<fan_out::sub_response> results;
  for (const participant_call& call : transaction.calls) {
    plan.parts.push_back(
        {settings.dependencies->upstreams[call.dependency].name, call.dependency, false, {}});
    results.push_back(call.result);
  }
  return fan_out::assemble_response(plan, results);
}

store::batch make_log_batch(const open_transaction& transaction, log_record record, const config& settings,
                            std::uint64_t salt) {
  if (record == log_record::begin) {
    const std::string& class_name = settings.policy_settings.classes[transaction.request_class].name;
    return begin_batch({.id = transaction.id,
                        .request_class = class_name,
                        .key = transaction.key,
                        .payload = transaction.payload,
                        .participants = participants_of(transaction, settings)});
  }
  if (record != log_record::end) return record_batch(transaction.id, record);
  if (!transaction.committed) return end_batch(transaction.id, std::nullopt);
  const outcome_id id{transaction.number, hash_key(transaction.key, salt)};
  return end_batch(transaction.id,
                   committed_outcome{id, {transaction.key, compose_result(transaction, settings)}});
}

}  // namespace marblewharf::transaction
