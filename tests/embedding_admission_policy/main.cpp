// One request through arrival, start, a call and its end, one refused in a drain, and the stop.
#include <admission_policy/policy.hpp>
#include <algorithm>
#include <cstdio>
#include <vector>

using namespace std::chrono_literals;

namespace {

template <typename T>
bool has(const std::vector<admission_policy::action>& actions, admission_policy::request_id id) {
  return std::any_of(actions.begin(), actions.end(), [id](const admission_policy::action& a) {
    const T* t = std::get_if<T>(&a);
    return t != nullptr && t->id == id;
  });
}

void expect(bool good, const char* what, int& failures) {
  if (good) return;
  std::printf("failed: %s\n", what);
  ++failures;
}

}  // namespace

int main() {
  int failures = 0;
  admission_policy::settings s;
  s.cores = 2;
  s.drain_grace = 1s;
  s.max_retry_after = 1s;
  s.tick = 1ms;
  s.classes.push_back({.name = "read", .latency_objective = 1s, .deadline = 4s, .calls_dependency = true});
  admission_policy::policy policy(s, 1, 0s);
  policy.handle(0s, {});

  admission_policy::arrival first;
  first.id = 1;
  const auto send = [&](admission_policy::time_point now, std::vector<admission_policy::event> events) {
    return policy.handle(now, events);
  };
  expect(has<admission_policy::start>(send(1ms, {first}), 1), "an idle server starts what arrives", failures);
  expect(has<admission_policy::place_call>(send(20ms, {admission_policy::call_needed{1}}), 1),
         "its call is placed", failures);
  send(40ms, {admission_policy::call_ended{1, admission_policy::outcome::ok, 20ms}});
  send(60ms, {admission_policy::completion{1, admission_policy::outcome::ok, 59ms}});
  send(70ms, {admission_policy::shutdown_notice{3s}});
  admission_policy::arrival late;
  late.id = 2;
  expect(has<admission_policy::reject>(send(1500ms, {late}), 2), "what comes after the grace is refused",
         failures);
  return failures;
}
