// Runs requests on uwsgi servers, with one connection for each attempt. A request that is not safe to repeat
// is never sent again once a byte of it may have arrived at a server. A keyed request is sent only to the
// server that its intent names.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "outcome/effect.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::uwsgi {

class client : public backend {
 public:
  // All arguments outlive the client.
  client(net::reactor& reactor, const config& settings, dispatcher& requests, telemetry::counters& counters);
  ~client() override;

  // backend
  std::optional<std::string> choose_server(const request& details,
                                           const std::vector<std::string>& unreachable) override;
  void run(request_id id, const request& details) override;
  // Aborts the attempt, because the protocol has no pause.
  void pause(request_id id) override;
  void resume(request_id) override {}
  // Asks for the outcome of a keyed request: sends the request's vars, the inquiry var of the settings and no
  // body to the server that got the request. Response status 2xx: the response is the request's result; 404:
  // the server never saw the request, so it never ran. If the server is not known, one server after another
  // is asked for the result, and no 404 proves anything. False if the server is not in the settings.
  bool inquire(request_id id, const request& details) override;

  std::size_t running() const { return attempts_.size(); }

 private:
  struct attempt;

  // The least loaded server that is not among `excluded`; none if all are.
  std::optional<std::size_t> least_loaded(const std::vector<std::string>& excluded) const;
  std::optional<std::size_t> server_named(std::string_view name) const;
  // Connects to the next server that has not been tried yet; finishes the attempt if there is none.
  void try_next_server(const std::shared_ptr<attempt>& current);
  void continue_at_next_server(const std::shared_ptr<attempt>& current);
  void observe(attempt& current, outcome::event what) const;
  void on_end(const std::shared_ptr<attempt>& ended, exchange_end end, const response_head* head,
              std::string_view response);
  void on_run_end(const std::shared_ptr<attempt>& current, exchange_end end, const response_head* head,
                  std::string_view response);
  void on_inquiry_end(const std::shared_ptr<attempt>& current, exchange_end end, const response_head* head,
                      std::string_view response);
  void finish_unanswered(attempt& finished);
  // Report the conclusion from the events that were observed.
  void finish(attempt& finished, std::string_view response);
  void finish_inquiry(attempt& finished, std::string_view response);
  // Closes the attempt's connection and forgets the attempt.
  void remove(attempt& finished);
  // `server`: the only server to try; none: all, beginning with the least loaded one.
  void begin(const std::shared_ptr<attempt>& new_attempt, std::optional<std::size_t> server);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  std::unordered_map<request_id, std::shared_ptr<attempt>> attempts_;
  std::vector<std::string> server_names_;
  std::vector<unsigned> load_;   // attempts in progress, by server
  std::size_t last_server_ = 0;  // server used last; equally loaded servers are used in turn
};

}  // namespace marblewharf::uwsgi
