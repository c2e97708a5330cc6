// The fan-out client: a backend that runs requests whose class has a plan as sub-requests to dependencies
// over uwsgi. Requests of other classes go to the next backend. The state machine makes the decisions; the
// client makes the calls.
//
// For the dispatcher the whole fan-out of a request is one dependency call: the dispatcher decides whether
// and when the call starts, and how long it may last. If the call is skipped, only fallbacks without a call
// are used.
//
// Used by the event loop's thread only.
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
  // `request_dispatcher`: receives the ends of runs. `next_backend`: runs requests of classes without a plan.
  client(net::reactor& reactor, const config& settings, dispatcher& request_dispatcher,
         backend& next_backend);
  ~client() override;

  // Interface of backend.
  std::optional<std::string> choose_server(const request& client_request,
                                           const std::vector<std::string>& unreachable) override;
  void run(request_id id, const request& client_request) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& client_request) override {
    return next_backend_.inquire(id, client_request);
  }
  void place_call(request_id id, duration limit) override;
  void skip_call(request_id id) override;
  void end_waiting_run(request_id id) override;

  // Runs the timers that are due. Returns the time at which it must be called again.
  time_point step(time_point now);

  // The number of requests that have not ended.
  std::size_t running() const { return runs_.size(); }
  const state_machine& machine() const { return state_machine_; }
  // Logs a line of counters for each dependency.
  void log_counters() const;
  // Updates the reachability of the endpoints after a change in the cluster. `routable`: returns whether
  // calls may go to a place (a zone or a member).
  void update_reachability(const std::function<bool(const std::string&)>& routable);
  // Sets this node's quota share of calls in flight at a dependency.
  void set_share(std::size_t dependency, double share) { state_machine_.set_share(dependency, share); }
  // The current use of a dependency's calls, and the demand for more.
  struct call_load {
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
    std::uint64_t rejected = 0;  // rejected for lack of capacity since the start of the process
  };
  call_load calls_at(std::size_t dependency) const {
    return {state_machine_.in_flight(dependency), state_machine_.waiting(dependency),
            state_machine_.counts(dependency).without_capacity};
  }
  // Lines for the console command show-stat: calls by locality level, for dependencies with known places.
  std::string statistics() const;

 private:
  struct run_state {
    request client_request;
    std::size_t plan = 0;
    time_point begun_at{};
    time_point fan_out_begun_at{};
    bool fan_out_begun = false;
  };

  void begin_fan_out(request_id id, time_point deadline);
  void apply_actions();
  void apply(const start_call& start);
  void apply(const cancel_call& cancel);
  void apply(const request_finished& finished);
  void apply(const endpoint_changed& change);
  std::string encode_call(const request& client_request, const start_call& start) const;
  void on_exchange_ended(call_id id, uwsgi::exchange_end end, const uwsgi::response_head* head,
                         std::string_view response);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& next_backend_;
  state_machine state_machine_;
  std::vector<std::optional<std::size_t>> plan_of_class_;
  std::unordered_map<request_id, run_state> runs_;
  std::unordered_map<call_id, std::shared_ptr<uwsgi::exchange>> calls_;
  bool applying_ = false;
};

}  // namespace marblewharf::fan_out
