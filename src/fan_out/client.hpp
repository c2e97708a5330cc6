// The fan-out client: a backend that runs requests of planned classes as sub-requests to dependencies that
// speak uwsgi; all other requests go to the backend behind it. The state machine decides, this makes the
// calls.
//
// The fan-out of a request is one dependency call to the dispatcher: that says when it may begin and for how
// long, or that the request goes on without it; then only fallbacks that need no call are used.
//
// Owned by the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/state_machine.hpp"
#include "net/reactor.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::fan_out {

class client : public backend {
 public:
  // `requests`: where ends are reported. `behind`: runs the requests of classes without a plan.
  client(net::reactor& reactor, const config& settings, dispatcher& requests, backend& behind);
  ~client() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& what) override { return behind_.inquire(id, what); }
  void place_call(request_id id, duration limit) override;
  void skip_call(request_id id) override;

  // Does what is due; returns when it wants to be called again.
  time_point step(time_point now);

  std::size_t running() const { return runs_.size(); }
  const state_machine& decisions() const { return state_machine_; }
  // Logs a line of counters for each dependency.
  void print() const;
  // The cluster's view has changed. `routable`: whether calls may go to a place (a zone or a member).
  void routes_changed(const std::function<bool(const std::string&)>& routable);
  // This node's quota share of calls in flight at a dependency.
  void set_share(std::size_t dependency, double most) { state_machine_.set_share(dependency, most); }
  // What fan-out has and wants of a dependency's calls.
  struct calls {
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
    std::uint64_t turned_away = 0;  // for want of capacity, since the start
  };
  calls calls_at(std::size_t dependency) const {
    return {state_machine_.in_flight(dependency), state_machine_.waiting(dependency),
            state_machine_.counts(dependency).without_capacity};
  }
  // Lines for show-stat: calls by locality, of dependencies whose endpoints have places.
  std::string figures() const;

 private:
  struct run_state {
    request what;
    std::size_t plan = 0;
    time_point begun_at{};
    time_point fan_out_begun_at{};
    bool fan_out_begun = false;
  };

  void begin_fan_out(request_id id, time_point deadline);
  void apply_actions();
  void apply(const start_call& start);
  void apply(const cancel_call& cancel);
  void apply(const request_finished& end);
  void apply(const endpoint_changed& change);
  std::string encode_call(const request& what, const start_call& start) const;
  void on_exchange_ended(call_id id, uwsgi::exchange_end end, const uwsgi::response_head* head,
                         std::string_view response);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& behind_;
  state_machine state_machine_;
  std::vector<std::optional<std::size_t>> plan_of_class_;
  std::unordered_map<request_id, run_state> runs_;
  std::unordered_map<call_id, std::shared_ptr<uwsgi::exchange>> calls_;
  bool applying_ = false;
};

}  // namespace marblewharf::fan_out
