// Runs requests on uwsgi servers, with one connection for each attempt. A request that is not safe to repeat
// is never sent again once a byte of it may have arrived at a server.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::uwsgi {

class client : public backend {
 public:
  // All arguments outlive the client.
  client(net::reactor& reactor, const config& settings, dispatcher& requests);
  ~client() override;

  // backend
  void run(request_id id, const request& details) override;
  // Aborts the attempt, because the protocol has no pause.
  void pause(request_id id) override;
  void resume(request_id) override {}
  // Asks for the outcome of a keyed request: sends the request's vars, the inquiry var of the settings and no
  // body to one server after another, because it is not known which of them the request was sent to. Response
  // status 2xx: the response is the request's result; 404: this server never saw the request. The request is
  // proven never to have run only if all servers say so.
  bool inquire(request_id id, const request& details) override;

  std::size_t running() const { return attempts_.size(); }

 private:
  struct attempt;

  std::size_t least_loaded() const;
  // Connects to the next server that has not been tried yet; finishes the attempt if there is none.
  void try_next_server(const std::shared_ptr<attempt>& current);
  void continue_at_next_server(const std::shared_ptr<attempt>& current);
  void on_inquiry_response(const std::shared_ptr<attempt>& current, unsigned status,
                           std::string_view response);
  void finish_unanswered(attempt& finished);
  void on_end(const std::shared_ptr<attempt>& ended, exchange_end end, const response_head* head,
              std::string_view response);
  void finish(attempt& finished, run_end end, std::string_view response);
  void finish_inquiry(attempt& finished, inquiry_outcome outcome, std::string_view response);
  // Closes the attempt's connection and forgets the attempt.
  void remove(attempt& finished);
  void begin(const std::shared_ptr<attempt>& new_attempt);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  std::unordered_map<request_id, std::shared_ptr<attempt>> attempts_;
  std::vector<unsigned> load_;   // attempts in progress, by server
  std::size_t last_server_ = 0;  // server used last; equally loaded servers are used in turn
};

}  // namespace marblewharf::uwsgi
