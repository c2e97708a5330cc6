// Runs requests of planned classes by gathering their parts from dependencies that speak uwsgi; all others go
// on to the backend behind it. The conductor decides, this makes the calls.
//
// A run's gathering is one call to the decision module: it says when it may begin and for how long, or that
// the answer goes without it; then only what stands in without a call is used.
#pragma once

#include <functional>
#include <memory>
#include <string>
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
  client(net::reactor& r, const config& settings, dispatcher& d, backend& behind);
  ~client() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& what) override { return behind_.inquire(id, what); }
  void place_call(request_id id, duration limit) override;
  void skip_call(request_id id) override;

  // Lets time pass; returns when it wants to be called again.
  time_point step(time_point now);

  std::size_t running() const { return runs_.size(); }
  const state_machine& decisions() const { return state_machine_; }
  // A line of counters for each dependency.
  void print() const;
  // The view of the fleet has changed: `routable` tells of a place (a zone or a member) whether calls may go
  // there.
  void routes_changed(const std::function<bool(const std::string&)>& routable);
  // This node's share of calls at a dependency, and what it has and wants of them.
  void set_share(std::size_t dependency, double most) { state_machine_.set_share(dependency, most); }
  struct calls {
    std::size_t in_flight = 0, waiting = 0;
    std::uint64_t turned_away = 0;  // since the start, for want of room
  };
  calls calls_at(std::size_t dependency) const {
    return {state_machine_.in_flight(dependency), state_machine_.waiting(dependency),
            state_machine_.counts(dependency).no_room};
  }
  // For show-stat, of dependencies whose endpoints have places: calls by nearness.
  std::string figures() const;

 private:
  struct run_state {
    request what;
    std::size_t plan = 0;
    time_point begun{};
    time_point called{};
    bool gathering = false;
  };
  struct outgoing;

  void apply();
  void apply(const start_call& a);
  void apply(const cancel_call& a);
  void apply(const finished& a);
  void apply(const notable& a);
  void on_exchanged(call_id id, uwsgi::exchange_end how, const uwsgi::response_head* head,
                    std::string_view response);
  void begin(request_id id, time_point by);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& behind_;
  state_machine state_machine_;
  std::vector<int> plan_of_;  // by class; -1 = none
  std::unordered_map<request_id, run_state> runs_;
  std::unordered_map<call_id, std::shared_ptr<uwsgi::exchange>> calls_;
  bool applying_ = false;
};

}  // namespace marblewharf::fan_out
