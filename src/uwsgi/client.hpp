// Runs requests on uwsgi servers, one connection for each attempt. A request with an effect is given to one
// server only: once a byte of it may have arrived it is never sent again.
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
  client(net::reactor& r, const config& settings, dispatcher& d);
  ~client() override;

  void run(request_id id, const request& what) override;
  // The protocol knows no pause: the attempt is broken off for good.
  void pause(request_id id) override;
  void resume(request_id) override {}
  // Sends the request's vars with the one that the settings name put in, and no body. 404: it never ran
  // there; 2xx: this is its response; anything else: the server does not know yet.
  bool inquire(request_id id, const request& what) override;

  std::size_t running() const { return attempts_.size(); }

 private:
  struct attempt;

  std::size_t least_loaded() const;
  void try_next(const std::shared_ptr<attempt>& a);
  void on_end(const std::shared_ptr<attempt>& a, exchange_end how, const response_head* head,
              std::string_view response);
  void finish(attempt& a, run_end how, std::string_view response, unsigned status);
  void begin(const std::shared_ptr<attempt>& a);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  std::unordered_map<request_id, std::shared_ptr<attempt>> attempts_;
  std::vector<unsigned> load_;  // by server
  std::size_t last_ = 0;        // of equals, the next in turn
};

}  // namespace marblewharf::uwsgi
