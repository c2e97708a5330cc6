// Test harness that passes events to one policy in simulated time, and helpers that make settings and events.
#pragma once

#include <algorithm>
#include <variant>
#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy::testing {

using namespace std::chrono_literals;

inline settings plain_settings() {
  settings policy_settings;
  policy_settings.classes.push_back({.name = "read", .latency_objective = 1s, .deadline = 4s});
  policy_settings.servers = 2;
  policy_settings.callers = 2;
  policy_settings.cores = 2;
  policy_settings.concurrency_ceiling_per_core = 5;
  policy_settings.concurrency_ceiling_period = 2s;
  policy_settings.memory_kb = 100000;
  policy_settings.running_memory_factor = 4;
  policy_settings.tick = 1ms;
  policy_settings.halt = halt_mode::drop;
  policy_settings.gauges = {"cpu_busy"};
  policy_settings.drain_grace = 1s;
  policy_settings.max_retry_after = 1s;
  policy_settings.answer_slack = 50ms;
  return policy_settings;
}

class policy_harness {
 public:
  explicit policy_harness(settings policy_settings)
      : policy_(std::move(policy_settings), 1, now), actions(policy_.handle(now, {})) {}

  // Passes events to the policy and stores the resulting actions in `actions`.
  const std::vector<action>& send(std::vector<event> events) { return actions = policy_.handle(now, events); }
  const std::vector<action>& send_at(duration since_origin, std::vector<event> events) {
    now = origin + since_origin;
    return send(std::move(events));
  }

  // The last actions of one type, the ids of their requests, and whether one refers to this request.
  template <typename T>
  std::vector<T> actions_of() const {
    std::vector<T> found;
    for (const action& candidate : actions) {
      if (const T* matching = std::get_if<T>(&candidate)) found.push_back(*matching);
    }
    return found;
  }
  template <typename T>
  std::vector<request_id> ids_of() const {
    std::vector<request_id> found;
    for (const T& matching : actions_of<T>()) found.push_back(matching.id);
    return found;
  }
  template <typename T>
  bool has(request_id id) const {
    const auto found = ids_of<T>();
    return std::find(found.begin(), found.end(), id) != found.end();
  }

  static constexpr time_point origin = 1000s;
  time_point now = origin;

 private:
  policy policy_;

 public:
  std::vector<action> actions;
};

inline arrival make_arrival(request_id id, unsigned tenant = 0, unsigned request_class = 0) {
  arrival created;
  created.id = id;
  created.tenant = tenant;
  created.request_class = request_class;
  created.reserved_kb = 10;
  return created;
}

inline completion successful_completion(request_id id, duration elapsed = 100ms) {
  return {id, outcome::ok, elapsed};
}
inline timer_fired timer_with_cpu_busy(double cpu_busy) {
  return timer_fired{{cpu_busy}};
}

}  // namespace admission_policy::testing
