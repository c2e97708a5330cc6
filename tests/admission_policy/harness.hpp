// Drives one policy with hand-made events in fake time.
#pragma once

#include <algorithm>
#include <variant>
#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy::testing {

using namespace std::chrono_literals;

inline settings plain_settings() {
  settings s;
  s.classes.push_back({.name = "read", .latency_objective = 1s, .deadline = 4s});
  s.servers = 2;
  s.callers = 2;
  s.cores = 2;
  s.concurrency_ceiling_per_core = 5;
  s.concurrency_ceiling_period = 2s;
  s.memory_kb = 100000;
  s.running_memory_factor = 4;
  s.tick = 1ms;
  s.halt = halt_mode::drop;
  s.gauges = {"cpu_busy"};
  s.drain_grace = 1s;
  s.max_retry_after = 1s;
  s.answer_slack = 50ms;
  return s;
}

class rig {
 public:
  explicit rig(settings s) : policy_(std::move(s), 1, now), actions(policy_.handle(now, {})) {}

  const std::vector<action>& send(std::vector<event> events) { return actions = policy_.handle(now, events); }
  const std::vector<action>& at(duration t, std::vector<event> events) {
    now = start_of_time + t;
    return send(std::move(events));
  }

  template <typename T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const action& a : actions) {
      if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
    }
    return found;
  }
  template <typename T>
  std::vector<request_id> ids() const {
    std::vector<request_id> found;
    for (const T& t : all<T>()) found.push_back(t.id);
    return found;
  }
  template <typename T>
  bool has(request_id id) const {
    const auto found = ids<T>();
    return std::find(found.begin(), found.end(), id) != found.end();
  }

  static constexpr time_point start_of_time = 1000s;
  time_point now = start_of_time;

 private:
  policy policy_;

 public:
  std::vector<action> actions;
};

inline arrival request_of(request_id id, unsigned tenant = 0, unsigned request_class = 0) {
  arrival a;
  a.id = id;
  a.tenant = tenant;
  a.request_class = request_class;
  a.reserved_kb = 10;
  return a;
}

inline completion done(request_id id, duration elapsed = 100ms) {
  return {id, outcome::ok, elapsed};
}
inline timer_fired tick_with(double cpu_busy) {
  return timer_fired{{cpu_busy}};
}

}  // namespace admission_policy::testing
