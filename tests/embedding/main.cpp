// The deprecated names of the package `wrenrill` as an outside project uses them: one request is started and
// gets its dependency call; a second request, which arrives after the shutdown notice, is refused.
#include <algorithm>
#include <cstdio>
#include <vector>
#include <wrenrill/policy.hpp>

using namespace std::chrono_literals;

namespace {

template <typename T>
bool contains(const std::vector<wrenrill::action>& actions, wrenrill::request_id id) {
  return std::any_of(actions.begin(), actions.end(), [id](const wrenrill::action& a) {
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
  wrenrill::settings s;
  s.cores = 2;
  s.drain_grace = 1s;
  s.max_retry_after = 1s;
  s.tick = 1ms;
  s.classes.push_back({.name = "read", .aim = 1s, .deadline = 4s, .calls = true});
  wrenrill::policy policy(s, 1, 0s);
  policy.handle(0s, {});

  wrenrill::arrival first;
  first.id = 1;
  const auto send = [&](wrenrill::time_point now, std::vector<wrenrill::event> events) {
    return policy.handle(now, events);
  };
  expect(contains<wrenrill::start>(send(1ms, {first}), 1), "an idle server starts an arriving request",
         failures);
  expect(contains<wrenrill::place_call>(send(20ms, {wrenrill::call_needed{1}}), 1),
         "its dependency call is placed", failures);
  send(40ms, {wrenrill::call_ended{1, wrenrill::outcome::ok, 20ms}});
  send(60ms, {wrenrill::completion{1, wrenrill::outcome::ok, 59ms}});
  send(70ms, {wrenrill::notice{3s}});
  wrenrill::arrival late;
  late.id = 2;
  expect(contains<wrenrill::refuse>(send(1500ms, {late}), 2),
         "a request that arrives after the drain's grace period is refused", failures);
  return failures;
}
