#include "transaction/open_transaction.hpp"

#include <utility>

#include "fan_out/response_assembly.hpp"
#include "net/reactor.hpp"

namespace marblewharf::transaction {
namespace {

std::vector<participant_kind> participant_kinds(const config& settings, const transaction_plan& plan) {
  std::vector<participant_kind> kinds;
  for (const std::size_t dependency : plan.participants) {
    const bool one_phase = settings.dependencies->upstreams[dependency].one_phase;
    kinds.push_back(one_phase ? participant_kind::one_phase : participant_kind::two_phase);
  }
  return kinds;
}

std::string join_endpoints(const open_transaction& transaction) {
  std::string joined;
  for (const participant_call& call : transaction.calls) {
    if (!joined.empty()) joined += ' ';
    joined += name_of(call.address);
  }
  return joined;
}

}  // namespace

const transaction_plan* find_plan(const transactions_config& writes, std::size_t request_class) {
  for (const transaction_plan& plan : writes.plans)
    if (plan.request_class == request_class) return &plan;
  return nullptr;
}

std::shared_ptr<open_transaction> make_transaction(const config& settings, const transaction_id& id,
                                                   std::size_t request_class, std::string payload,
                                                   std::string key) {
  const transaction_plan* plan = find_plan(*settings.transactions, request_class);
  if (plan == nullptr) return nullptr;
  auto transaction = std::make_shared<open_transaction>(participant_kinds(settings, *plan), *plan);
  transaction->id = id;
  transaction->number = number_of(id);
  transaction->request_class = request_class;
  transaction->payload = std::move(payload);
  transaction->key = std::move(key);
  transaction->begun_at = net::steady_now();
  transaction->retry_interval = settings.transactions->retry_delay;
  transaction->retry_at = transaction->begun_at + transaction->retry_interval;
  for (std::size_t i = 0; i < transaction->calls.size(); ++i)
    transaction->calls[i].address = settings.dependencies->upstreams[plan->participants[i]].endpoints.front();
  return transaction;
}

std::string compose_result(const open_transaction& transaction, const config& settings) {
  upstream::request_plan plan;
  std::vector<fan_out::sub_response> results;
  for (std::size_t i = 0; i < transaction.calls.size(); ++i) {
    const std::size_t dependency = transaction.plan->participants[i];
    plan.parts.push_back({settings.dependencies->upstreams[dependency].name, dependency, false, {}});
    results.push_back(transaction.calls[i].result);
  }
  return fan_out::assemble_response(plan, results);
}

store::batch make_log_batch(const open_transaction& transaction, log_record record, const config& settings,
                            std::uint64_t salt) {
  if (record == log_record::begin) {
    const std::string& class_name = settings.policy_settings.classes[transaction.request_class].name;
    return begin_batch(
        {transaction.id, class_name, transaction.key, transaction.payload, join_endpoints(transaction)});
  }
  if (record != log_record::end) return record_batch(transaction.id, record);
  if (!transaction.committed) return end_batch(transaction.id, std::nullopt);
  const outcome_id id{transaction.number, hash_key(transaction.key, salt)};
  return end_batch(transaction.id,
                   committed_outcome{id, {transaction.key, compose_result(transaction, settings)}});
}

}  // namespace marblewharf::transaction
