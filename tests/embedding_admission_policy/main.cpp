// The installed package `admission_policy` as an outside project uses it: one request is started and gets its
// dependency call; a second request, which arrives after the shutdown notice, is rejected.
#include <admission_policy/policy.hpp>
#include <algorithm>
#include <cstdio>
#include <vector>

using namespace std::chrono_literals;

namespace {

template <typename T>
bool contains(const std::vector<admission_policy::action>& actions, admission_policy::request_id id) {
  return std::any_of(actions.begin(), actions.end(), [id](const admission_policy::action& a) {
    const T* matching = std::get_if<T>(&a);
    return matching != nullptr && matching->id == id;
  });
}

void expect(bool condition, const char* expectation, int& failures) {
  if (condition) return;
  std::printf("failed: %s\n", expectation);
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
  expect(contains<admission_policy::start>(send(1ms, {first}), 1),
         "an idle server starts an arriving request", failures);
  expect(contains<admission_policy::place_call>(send(20ms, {admission_policy::call_needed{1}}), 1),
         "its dependency call is placed", failures);
  send(40ms, {admission_policy::call_ended{1, admission_policy::outcome::ok, 20ms}});
  send(60ms, {admission_policy::completion{1, admission_policy::outcome::ok, 59ms}});
  send(70ms, {admission_policy::shutdown_notice{3s}});
  admission_policy::arrival late;
  late.id = 2;
  expect(contains<admission_policy::reject>(send(1500ms, {late}), 2),
         "a request that arrives after the drain's grace period is rejected", failures);
  return failures;
}
