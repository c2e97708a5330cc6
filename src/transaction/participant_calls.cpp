#include "transaction/participant_calls.hpp"

#include <Poco/Exception.h>

#include <utility>

#include "uwsgi/packet.hpp"

namespace marblewharf::transaction {
namespace {

constexpr const char* path_var = "PATH_INFO";

const char* name_of(participant_request request) {
  switch (request) {
    case participant_request::prepare: return "prepare";
    case participant_request::commit: return "commit";
    case participant_request::abort: return "abort";
  }
  return "";
}

}  // namespace

participant_response interpret_response(uwsgi::exchange_end end, const uwsgi::response_head* head,
                                        std::string_view response) {
  constexpr unsigned first_success_status = 200;
  constexpr unsigned last_success_status = 299;
  constexpr unsigned conflict_status = 409;
  if (end != uwsgi::exchange_end::complete) return {};
  if (head->status >= first_success_status && head->status <= last_success_status)
    return {participant_reply::yes, std::string(response.substr(head->size))};
  if (head->status == conflict_status) return {participant_reply::no, {}};
  return {};
}

participant_calls::participant_calls(net::reactor& reactor, const config& settings, std::uint64_t seed,
                                     response_handler on_response)
    : reactor_(reactor), config_(settings), random_(seed), on_response_(std::move(on_response)) {
  for (const upstream::dependency_rules& rules : config_.dependencies->rules)
    endpoint_sets_.emplace_back(rules.endpoints, rules.health, rules.near);
}

std::vector<participant_place> participant_calls::choose_places(const std::vector<std::size_t>& dependencies,
                                                                time_point now) {
  std::vector<participant_place> places;
  places.reserve(dependencies.size());
  for (const std::size_t dependency : dependencies)
    places.push_back({dependency, endpoint_sets_[dependency].choose(now, random_(), true).value_or(0)});
  return places;
}

void participant_calls::bind(const open_transaction& transaction) {
  for (const participant_call& call : transaction.calls)
    endpoint_sets_[call.dependency].on_bound(call.endpoint_index);
}

void participant_calls::unbind(const open_transaction& transaction) {
  for (const participant_call& call : transaction.calls)
    endpoint_sets_[call.dependency].on_unbound(call.endpoint_index);
}

// Returns the client's request with the variables for the step and the transaction id.
std::string participant_calls::encode_request(const open_transaction& transaction,
                                              const send_request& request) const {
  const auto packet = uwsgi::next_packet(transaction.payload, config_.bounds);
  if (!packet) return {};
  const transactions_config& writes = *config_.transactions;
  const std::size_t dependency = transaction.calls[request.participant].dependency;
  const std::string& path = config_.dependencies->upstreams[dependency].path;
  std::vector<std::pair<std::string, std::string>> vars = packet->vars;
  std::erase_if(vars, [&](const auto& var) {
    return var.first == writes.step_var || var.first == writes.id_var ||
           (!path.empty() && var.first == path_var);
  });
  vars.emplace_back(writes.step_var, name_of(request.request));
  vars.emplace_back(writes.id_var, transaction.id);
  if (!path.empty()) vars.emplace_back(path_var, path);
  return uwsgi::encode_packet(vars, packet->body);
}

bool participant_calls::send(open_transaction& transaction, const send_request& request) {
  std::string bytes = encode_request(transaction, request);
  participant_call& call = transaction.calls[request.participant];
  // An earlier request may still be in flight. Its response is no longer needed, so it counts as cancelled.
  if (call.exchange != nullptr)
    on_request_ended(transaction, request.participant, upstream::call_outcome::cancelled);
  endpoint_sets_[call.dependency].on_start(call.endpoint_index);
  call.sent_at = net::steady_now();
  const auto on_end = [this, id = transaction.id, request](uwsgi::exchange_end end,
                                                           const uwsgi::response_head* head,
                                                           std::string_view response) {
    on_response_(id, request, interpret_response(end, head, response));
  };
  try {
    call.exchange =
        std::make_shared<uwsgi::exchange>(reactor_, config_.bounds, call.address, std::move(bytes), on_end);
  } catch (const Poco::Exception&) {
    on_request_ended(transaction, request.participant, upstream::call_outcome::failed);
    return false;
  }
  return true;
}

void participant_calls::close(open_transaction& transaction, std::size_t participant) {
  participant_call& call = transaction.calls[participant];
  call.exchange->close();
  reactor_.retire(std::move(call.exchange));
  call.exchange = nullptr;
}

void participant_calls::on_request_ended(const open_transaction& transaction, std::size_t participant,
                                         upstream::call_outcome outcome) {
  const participant_call& call = transaction.calls[participant];
  const time_point now = net::steady_now();
  endpoint_sets_[call.dependency].on_end(call.endpoint_index, now, now - call.sent_at, outcome);
}

void participant_calls::set_reachable(const std::function<bool(const std::string&)>& routable) {
  for (std::size_t dependency = 0; dependency < endpoint_sets_.size(); ++dependency) {
    const std::vector<std::string>& places = config_.dependencies->upstreams[dependency].places;
    for (std::size_t i = 0; i < places.size(); ++i)
      endpoint_sets_[dependency].set_reachable(i, routable(places[i]));
  }
}

}  // namespace marblewharf::transaction
