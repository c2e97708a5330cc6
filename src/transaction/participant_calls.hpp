// Sends the requests of two-phase commit to participants over uwsgi, and selects the endpoint of each
// participant for a transaction. Used by the event loop's thread only.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "net/reactor.hpp"
#include "transaction/open_transaction.hpp"
#include "upstream/endpoint_set.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::transaction {

// The meaning of a participant's response. `body`: the body of the response, if the reply is yes.
struct participant_response {
  participant_reply reply = participant_reply::unknown;
  std::string body;
};

// 2xx means yes; 409 means no, which is final. Any other status, or an incomplete response, means unknown.
participant_response interpret_response(uwsgi::exchange_end end, const uwsgi::response_head* head,
                                        std::string_view response);

class participant_calls {
 public:
  using response_handler = std::function<void(const transaction_id& id, const send_request& request,
                                              const participant_response& response)>;

  // `seed`: seeds the random selection of endpoints. `on_response`: called from the event loop when a request
  // has ended without close(); its exchange still exists, and the handler must call close().
  participant_calls(net::reactor& reactor, const config& settings, std::uint64_t seed,
                    response_handler on_response);

  // Selects an endpoint for each participant of a new transaction. The endpoint is never changed, because
  // only the endpoint that prepared the transaction knows its state.
  std::vector<participant_place> choose_places(const std::vector<std::size_t>& dependencies, time_point now);
  // From bind() to unbind() the transaction counts as load of its endpoints, with or without a request in
  // flight. Its requests start only after its begin record is durable; without this, all transactions that
  // arrive in the meantime would select the same endpoint.
  void bind(const open_transaction& transaction);
  void unbind(const open_transaction& transaction);

  // False: the connection could not be started; `on_response` is not called.
  bool send(open_transaction& transaction, const send_request& request);
  // Closes the exchange with a participant.
  void close(open_transaction& transaction, std::size_t participant);
  // Reports the end of a request to the health tracking of its endpoint, which affects the selection for
  // later transactions.
  void on_request_ended(const open_transaction& transaction, std::size_t participant,
                        upstream::call_outcome outcome);

  // Updates the reachability of the endpoints. `routable`: returns whether calls may go to a place (a zone or
  // a member), according to the cluster.
  void set_reachable(const std::function<bool(const std::string&)>& routable);

 private:
  std::string encode_request(const open_transaction& transaction, const send_request& request) const;

  net::reactor& reactor_;
  const config& config_;
  std::mt19937_64 random_;
  const response_handler on_response_;
  std::vector<upstream::endpoint_set> endpoint_sets_;  // by dependency
};

}  // namespace marblewharf::transaction
