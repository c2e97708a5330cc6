// Tests of the fan-out state machine with simulated dependencies that are slow, fail or reject calls (ctest
// -L dependencies).
#include "fan_out/state_machine.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::fan_out;
using namespace marblewharf::upstream;
using namespace std::chrono_literals;

namespace {

// On a failure rapidcheck prints its seed; RC_PARAMS=seed=N repeats a run.
void check_property(const std::string& description, const std::function<void()>& property) {
  CHECK(rc::check(description, property));
}

// Simulates dependencies with delays and faults in virtual time, and checks the invariants of the state
// machine.
struct simulation {
  struct simulated_call {
    start_call start;
    time_point started_at, ends_at;
    call_result result;
  };
  simulation(std::vector<request_plan> plans, std::vector<dependency_rules> dependency_settings,
             unsigned seed)
      : rules(dependency_settings),
        machine(std::move(plans), std::move(dependency_settings), 1 << 20, seed),
        random(seed) {}

  void apply_actions() {
    while (const auto action = machine.next_action()) {
      if (const auto* start = std::get_if<start_call>(&*action)) {
        ++calls_started[start->dependency];
        CHECK(start->budget > 0s && start->budget <= rules[start->dependency].budget);
        CHECK(machine.in_flight(start->dependency) <= rules[start->dependency].most_in_flight);
        const auto [delay, result] = behavior(*start);
        in_flight.emplace(start->id, simulated_call{*start, now, now + delay, result});
      } else if (const auto* cancel = std::get_if<cancel_call>(&*action)) {
        CHECK(in_flight.erase(cancel->id) == 1);
      } else if (const auto* end = std::get_if<request_finished>(&*action)) {
        CHECK(deadline.contains(end->id) && finished.emplace(end->id, *end).second &&
              now <= deadline[end->id] + 1ms);
        // All calls of a finished request must have been cancelled.
        for (const auto& [id, call] : in_flight) CHECK(call.start.request != end->id);
        latency[end->id] = now - begun_at[end->id];
      }
    }
  }
  void begin(fan_out_id id, duration budget, const marblewharf::content_key& content = {"isar-invest", 1}) {
    deadline[id] = now + budget;
    begun_at[id] = now;
    machine.begin(id, 0, content, now + budget, now);
    apply_actions();
  }
  // Advances the virtual time to `end`; ends calls and runs timers in order of their time.
  void run_until(time_point end) {
    while (true) {
      time_point next = std::min(end, machine.next_timer_at());
      call_id earliest = 0;
      for (const auto& [id, call] : in_flight) {
        if (call.ends_at <= next && (earliest == 0 || call.ends_at < in_flight.at(earliest).ends_at))
          earliest = id;
      }
      if (earliest != 0) {
        const simulated_call call = in_flight.at(earliest);
        in_flight.erase(earliest);
        now = std::max(now, call.ends_at);
        machine.on_result(earliest, call.result, "part of " + std::to_string(call.start.dependency), 200ms,
                          now);
      } else {
        now = std::max(now, next);
        machine.step(now);
        if (next >= end && machine.next_timer_at() > end) {
          apply_actions();
          return;
        }
      }
      apply_actions();
    }
  }

  std::vector<dependency_rules> rules;
  state_machine machine;
  std::mt19937 random;
  time_point now = 1000s;
  std::function<std::pair<duration, call_result>(const start_call&)> behavior = [](const start_call&) {
    return std::pair<duration, call_result>{10ms, call_result::succeeded};
  };
  std::map<call_id, simulated_call> in_flight;
  std::map<fan_out_id, time_point> deadline, begun_at;
  std::map<fan_out_id, request_finished> finished;
  std::map<fan_out_id, duration> latency;
  std::map<std::size_t, int> calls_started;  // by dependency
};

request_plan four_parts(bool required = false) {
  request_plan plan{"kurs-liste", 3s, 50ms, {}};
  for (std::size_t i = 0; i < 4; ++i) plan.parts.push_back({"part" + std::to_string(i), i, required, {}});
  return plan;
}
std::vector<dependency_rules> four_rules(duration budget = 800ms) {
  std::vector<dependency_rules> rules(4);
  for (std::size_t i = 0; i < 4; ++i) {
    rules[i].name = "d" + std::to_string(i);
    rules[i].endpoints = 2;
    rules[i].budget = budget;
  }
  return rules;
}

// Guards against more calls in flight than the quota share, and against queuing while the share is below one
// call: the request must then end at once without that part, and calls must resume when the share increases.
void quota_share_limits_calls() {
  simulation sim({four_parts()}, four_rules(), 11);
  sim.behavior = [](const start_call&) {
    return std::pair<duration, call_result>{40ms, call_result::succeeded};
  };
  sim.machine.set_share(1, 3.7);
  unsigned max_in_flight = 0;
  for (fan_out_id id = 1; id <= 60; ++id) {
    sim.begin(id, 2900ms);
    sim.run_until(sim.now + 3ms);
    max_in_flight = std::max(max_in_flight, sim.machine.in_flight(1));
  }
  CHECK(max_in_flight == 3 &&
        sim.machine.in_flight(0) > 3);  // the share is rounded down and limits only that dependency
  sim.run_until(sim.now + 5s);
  sim.machine.set_share(1, 0.5);
  sim.begin(100, 2900ms);
  sim.run_until(sim.now + 100ms);
  CHECK(sim.finished.contains(100) && sim.latency.at(100) <= 50ms);
  CHECK(sim.finished.at(100).parts[1].state == sub_response_state::missing &&
        sim.finished.at(100).parts[0].state == sub_response_state::fresh);
  sim.machine.set_share(1, 2);
  sim.begin(101, 2900ms);
  sim.run_until(sim.now + 100ms);
  CHECK(sim.finished.at(101).complete);
}

// Guards against requests that never end, end twice or end late, against calls that are not cancelled, and
// against retries and hedged requests above their budgets. Dependencies are slow, fail and reject calls at
// random.
void every_request_ends_once_in_time() {
  check_property("each request ends exactly once and in time", [] {
    const auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1 << 30));
    simulation sim({four_parts(*rc::gen::inRange(0, 2) == 1)}, four_rules(), seed);
    const int failed_percent = *rc::gen::inRange(0, 100), late_percent = *rc::gen::inRange(0, 50),
              rejected_percent = *rc::gen::inRange(0, 30);
    sim.behavior = [&](const start_call&) -> std::pair<duration, call_result> {
      const int percent = static_cast<int>(sim.random() % 100);
      const duration delay = std::chrono::milliseconds(1 + sim.random() % 40);
      if (percent < late_percent) return {5s, call_result::succeeded};
      if (percent < late_percent + rejected_percent) return {delay, call_result::rejected};
      return {delay, static_cast<int>(sim.random() % 100) < failed_percent ? call_result::failed
                                                                           : call_result::succeeded};
    };
    std::set<fan_out_id> cancelled;
    for (fan_out_id id = 1; id <= 150; ++id) {
      sim.begin(id, std::chrono::milliseconds(50 + sim.random() % 2900));
      if (sim.random() % 20 == 0 && !sim.finished.contains(id)) {
        sim.machine.cancel(id, sim.now);
        cancelled.insert(id);
        sim.apply_actions();
      }
      sim.run_until(sim.now + std::chrono::milliseconds(sim.random() % 30));
    }
    sim.run_until(sim.now + 5s);
    RC_ASSERT(sim.machine.open() == 0u && sim.in_flight.empty());
    for (fan_out_id id = 1; id <= 150; ++id) RC_ASSERT(sim.finished.contains(id) != cancelled.contains(id));
    for (std::size_t d = 0; d < 4; ++d) {
      const dependency_counts& counts = sim.machine.counts(d);
      RC_ASSERT(sim.machine.in_flight(d) == 0u);
      const double first_attempts = static_cast<double>(counts.calls - counts.retries - counts.hedges);
      RC_ASSERT(static_cast<double>(counts.hedges) <= 0.05 * 150 + 1);
      RC_ASSERT(static_cast<double>(counts.retries) <= 0.1 * 150 + 10 + 1);
      RC_ASSERT(first_attempts <= 150);
    }
  });
}

// Guards against a slow dependency affecting the others: one of four dependencies becomes eight times slower.
// Only its parts may be missing or late, and the total number of calls must stay within the retry and hedge
// budgets.
void slow_dependency_is_isolated() {
  simulation sim({four_parts()}, four_rules(300ms), 7);
  bool slow = false;
  sim.behavior = [&](const start_call& start) -> std::pair<duration, call_result> {
    const duration delay = std::chrono::milliseconds(30 + sim.random() % 40);
    return {slow && start.dependency == 2 ? delay * 8 : delay, call_result::succeeded};
  };
  fan_out_id id = 0;
  const auto send_requests = [&](int count) {
    for (int i = 0; i < count; ++i) {
      sim.begin(++id, 2900ms);
      sim.run_until(sim.now + 5ms);
    }
  };
  send_requests(1000);
  const auto started_before = sim.calls_started;
  slow = true;
  send_requests(2000);
  sim.run_until(sim.now + 5s);
  int healthy_missing = 0, complete_late = 0;
  for (const auto& [request, end] : sim.finished) {
    if (request <= 1000) continue;
    for (const std::size_t part : {0u, 1u, 3u})
      healthy_missing += end.parts[part].state != sub_response_state::fresh;
    complete_late += sim.latency[request] > 2900ms;
  }
  int calls = 0;
  for (std::size_t d = 0; d < 4; ++d) calls += sim.calls_started[d] - started_before.at(d);
  std::printf(
      "healthy parts missing: %d of 6000; late requests: %d of 2000; calls per first attempt: %.3f; limit: "
      "%u\n",
      healthy_missing, complete_late, calls / 8000.0, sim.machine.allowed(2));
  CHECK(healthy_missing == 0 && complete_late == 0);
  CHECK(calls <= 1.1 * 8000);
  slow = false;
  send_requests(3000);
  int fresh = 0;
  for (fan_out_id request = id - 200; request <= id; ++request)
    fresh += sim.finished.contains(request) && sim.finished[request].complete;
  sim.run_until(sim.now + 5s);
  CHECK(fresh > 150);  // most requests are complete again
}

// Guards against a wrong order of fallbacks: another dependency, then a stale response, then a fixed text;
// and against requests that wait for other parts although a required part is missing.
void fallbacks_are_used_in_order() {
  request_plan plan{"kurs-liste", 3s, 50ms, {}};
  using kind = fallback::kind;
  plan.parts.push_back(
      {"kurse",
       0,
       false,
       {{kind::dependency, 1, {}, ""}, {kind::stale, 0, 30s, ""}, {kind::fixed, 0, {}, "none"}}});
  std::vector<dependency_rules> rules(2);
  rules[0].budget = rules[1].budget = 500ms;
  rules[0].tries = rules[1].tries = 1;
  simulation sim({plan}, rules, 3);
  std::set<std::size_t> down;
  sim.behavior = [&](const start_call& start) {
    return std::pair<duration, call_result>{
        10ms, down.contains(start.dependency) ? call_result::failed : call_result::succeeded};
  };
  fan_out_id id = 0;
  const auto send_request = [&] {
    sim.begin(++id, 2s);
    sim.run_until(sim.now + 3s);
    return sim.finished.at(id).parts[0];
  };
  CHECK(send_request().state == sub_response_state::fresh && send_request().bytes == "part of 0");
  down = {0};
  CHECK(send_request().state == sub_response_state::fallback && send_request().bytes == "part of 1");
  down = {0, 1};
  const sub_response stale = send_request();
  CHECK(stale.state == sub_response_state::stale && stale.bytes == "part of 0" && stale.age > 0s &&
        stale.age < 30s);
  sim.run_until(sim.now + 31s);
  CHECK(send_request().bytes == "none" && sim.finished.at(id).complete == false &&
        !sim.finished.at(id).missing_required);
  // A missing required part ends the request at once.
  simulation required({four_parts(true)}, four_rules(), 4);
  required.behavior = [&](const start_call& start) {
    return std::pair<duration, call_result>{
        start.dependency == 1 ? 5ms : 400ms,
        start.dependency == 1 ? call_result::failed : call_result::succeeded};
  };
  required.begin(1, 2900ms);
  required.run_until(required.now + 3s);
  CHECK(required.finished.at(1).missing_required == 1u && required.latency.at(1) < 100ms);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"every_request_ends", every_request_ends_once_in_time},
                                                   {"one_slow_dependency", slow_dependency_is_isolated},
                                                   {"fallbacks", fallbacks_are_used_in_order},
                                                   {"quota_share", quota_share_limits_calls}};
  tests.at(argv[1])();
  return 0;
}
