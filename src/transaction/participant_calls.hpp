// Sends the requests of two-phase commit to participants over uwsgi, and chooses the endpoint of each at
// which a transaction runs. Owned by the event loop's thread.
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

// What a participant's response means. `body`: of a yes.
struct participant_response {
  participant_reply reply = participant_reply::unknown;
  std::string body;
};

// 2xx: yes; 409: no, for good; anything else, or no whole response, does not tell.
participant_response interpret_response(uwsgi::exchange_end end, const uwsgi::response_head* head,
                                        std::string_view response);

class participant_calls {
 public:
  using response_handler = std::function<void(const transaction_id& id, const send_request& request,
                                              const participant_response& response)>;

  // `seed`: of the choice of endpoints. `on_response`: a request ended by itself, from the event loop; its
  // exchange is still there, and is to be closed by close().
  participant_calls(net::reactor& reactor, const config& settings, std::uint64_t seed,
                    response_handler on_response);

  // Chooses an endpoint for each participant, once, before the transaction begins: what a participant has
  // prepared, only that endpoint knows.
  void choose_endpoints(open_transaction& transaction);
  // From then to unbind() the transaction counts as load of its endpoints, with a request in flight or not:
  // its requests begin once it is on disk, and all that arrive meanwhile would choose the same endpoint.
  void bind(const open_transaction& transaction);
  void unbind(const open_transaction& transaction);

  // False: no connection could be begun, and `on_response` is not called.
  bool send(open_transaction& transaction, const send_request& request);
  // Ends the exchange of a participant.
  void close(open_transaction& transaction, std::size_t participant);
  // A request ended: how its endpoint fares decides where later transactions go.
  void on_request_ended(const open_transaction& transaction, std::size_t participant,
                        upstream::call_outcome outcome);

  // `routable`: whether calls may go to a place (a zone or a member), by the cluster's view.
  void set_reachable(const std::function<bool(const std::string&)>& routable);

 private:
  upstream::endpoint_set* endpoints_of(const open_transaction& transaction, std::size_t participant);
  std::string encode_request(const open_transaction& transaction, const send_request& request) const;

  net::reactor& reactor_;
  const config& config_;
  std::mt19937_64 random_;
  const response_handler on_response_;
  std::vector<upstream::endpoint_set> endpoint_sets_;  // by dependency
};

}  // namespace marblewharf::transaction
