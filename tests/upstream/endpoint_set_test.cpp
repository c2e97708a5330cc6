// Tests of endpoint_set: selection, ejection, latency decay and locality (ctest -L dependencies).
#include "upstream/endpoint_set.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::upstream;
using namespace std::chrono_literals;

namespace {

// On a failure rapidcheck prints its seed; RC_PARAMS=seed=N repeats a run.
void check_property(const std::string& description, const std::function<void()>& property) {
  CHECK(rc::check(description, property));
}

// Guards against ejecting more endpoints than the limit allows, and against several probes at one endpoint at
// the same time. Endpoints fail at random, then recover.
void ejection_is_limited() {
  check_property("the ejected share stays within the limit and an endpoint has one probe at a time", [] {
    const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 8));
    endpoint_rules rules;
    rules.most_out = *rc::gen::inRange(0, 101) / 100.0;
    endpoint_set endpoints(count, rules);
    time_point now = 1s;
    std::set<std::size_t> failing;
    for (std::size_t i = 0; i < count; ++i) {
      if (*rc::gen::inRange(0, 2) == 0) failing.insert(i);
    }
    std::uint64_t random = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1 << 30));
    for (int i = 0; i < 600; ++i) {
      now += std::chrono::milliseconds(i % 97);
      random = random * 6364136223846793005ull + 1442695040888963407ull;
      const auto chosen = endpoints.choose(now, random, true);
      RC_ASSERT(static_cast<double>(endpoints.ejected_count()) <=
                rules.most_out * static_cast<double>(count));
      if (!chosen) continue;
      RC_ASSERT(endpoints.state_of(*chosen) != endpoint_state::ejected);
      if (endpoints.state_of(*chosen) == endpoint_state::probing)
        RC_ASSERT(endpoints.in_flight(*chosen) == 0u);
      endpoints.on_start(*chosen);
      endpoints.on_end(*chosen, now, 1ms,
                       failing.contains(*chosen) ? call_outcome::failed : call_outcome::succeeded);
      RC_ASSERT(static_cast<double>(endpoints.ejected_count()) <=
                rules.most_out * static_cast<double>(count));
    }
    // Every endpoint has recovered, so eventually none is ejected.
    for (int i = 0; i < 4000; ++i) {
      now += 50ms;
      random = random * 6364136223846793005ull + 1442695040888963407ull;
      if (const auto chosen = endpoints.choose(now, random, true)) {
        endpoints.on_start(*chosen);
        endpoints.on_end(*chosen, now, 1ms, call_outcome::succeeded);
      }
    }
    RC_ASSERT(endpoints.ejected_count() == 0u);
  });
}

// Guards against calls to the more loaded endpoint, and against full load on an endpoint that has just
// recovered from an ejection: it is probed first, and then receives less load during slow start.
void less_loaded_endpoint_is_chosen() {
  endpoint_set endpoints(2, {});
  endpoints.on_start(0);
  endpoints.on_start(0);
  for (std::uint64_t r = 0; r < 20; ++r) CHECK(endpoints.choose(1s, r * 0x100000001ull, true) == 1u);
  // During slow start a recovered endpoint has a reduced weight.
  endpoint_set ramp(2, {.failures = 1, .out = 1s, .probes = 1, .ramp = 10s});
  ramp.on_start(0);
  ramp.on_end(0, 1s, 1ms, call_outcome::failed);
  CHECK(ramp.state_of(0) == endpoint_state::ejected);
  CHECK(ramp.choose(1500ms, 0, true) == 1u);
  CHECK(ramp.choose(2500ms, 0, true) == 0u);  // the probe
  ramp.on_start(0);
  CHECK(ramp.choose(2500ms, 0, true) == 1u);  // one probe at a time
  ramp.on_end(0, 2500ms, 1ms, call_outcome::succeeded);
  CHECK(ramp.state_of(0) == endpoint_state::slow_start);
  ramp.on_start(1);
  ramp.on_end(1, 2500ms, 1ms, call_outcome::succeeded);
  for (std::uint64_t r = 0; r < 8; ++r) CHECK(ramp.choose(2600ms, r, true) == 1u);
}

// Guards against sending all calls to an endpoint that has not answered yet. One of two endpoints has
// answered in 50 ms; the latency of the other is unknown and must not count as short.
void unanswered_endpoint_gets_equal_share() {
  endpoint_set endpoints(2, {});
  endpoints.on_start(0);
  endpoints.on_end(0, 50ms, 50ms, call_outcome::succeeded);
  CHECK(endpoints.choose(50ms, 0, true) == 1u);  // never called yet: chosen next
  for (std::uint64_t r = 0; r < 40; ++r)
    endpoints.on_start(*endpoints.choose(50ms, r * 0x100000001ull, true));
  CHECK(endpoints.in_flight(0) == 20 && endpoints.in_flight(1) == 20);
  // A bound sequence of calls counts as load from on_bound() to on_unbound(), with or without a call in
  // flight.
  endpoint_set bound_endpoints(2, {});
  bound_endpoints.on_start(0);
  std::array<int, 2> bound{};
  for (std::uint64_t r = 0; r < 39; ++r) {
    const std::size_t chosen = *bound_endpoints.choose(1s, r * 0x100000001ull, true);
    bound_endpoints.on_bound(chosen);
    ++bound[chosen];
  }
  CHECK(bound[0] == 19 && bound[1] == 20);
  for (int i = 0; i < 20; ++i) bound_endpoints.on_unbound(1);
  CHECK(bound_endpoints.choose(1s, 0, true) == 1u);
}

// Guards against endpoints that are never called again: because they were never drawn while the others answer
// quickly, or because a single call was slow. Calls to three endpoints are made one at a time. An endpoint
// that stays eight times slower than the others must get few calls.
void idle_endpoint_is_called_again() {
  std::mt19937_64 random(7);
  endpoint_set endpoints(3, {.fade = 500ms});
  time_point now{};
  const auto make_calls = [&](int calls, const std::array<duration, 3>& latencies) {
    std::array<int, 3> calls_by_endpoint{};
    for (int i = 0; i < calls; ++i) {
      const std::size_t chosen = *endpoints.choose(now, random(), true);
      ++calls_by_endpoint[chosen];
      endpoints.on_start(chosen);
      now += latencies[chosen];
      endpoints.on_end(chosen, now, latencies[chosen], call_outcome::succeeded);
      now += 1ms;
    }
    return calls_by_endpoint;
  };
  const std::array<duration, 3> equal{200us, 200us, 200us};
  for (const int calls : make_calls(60, equal)) CHECK(calls > 5);
  make_calls(1, {50ms, 50ms, 50ms});  // one slow call at one of the endpoints
  make_calls(6000, equal);            // these calls take 7 s
  for (const int calls : make_calls(600, equal)) CHECK(calls > 60);
  // These calls take 12 s; the slow endpoint is due for a call about once per 1500 ms (three times the fade
  // of 500 ms).
  const auto slow = make_calls(10'000, {1600us, 200us, 200us});
  CHECK(slow[0] >= 4 && slow[0] < 40);
  for (const int calls : make_calls(6000, equal)) CHECK(calls > 600);  // endpoint 0 is fast again
}

// Nine endpoints, three per locality level. failover/locality_test checks the shares of the levels; here the
// distribution of actual calls is checked.
endpoint_locality three_levels(unsigned most_each = 0) {
  using failover::level;
  return {{level::zone, level::zone, level::zone, level::region, level::region, level::region, level::rest,
           level::rest, level::rest},
          {.max_calls_per_endpoint = most_each}};
}
// Makes `calls` calls and returns how many went to each level.
std::array<int, 3> calls_by_level(endpoint_set& endpoints, time_point now, int calls) {
  std::array<int, 3> by_level{};
  std::mt19937_64 random(7);
  for (int i = 0; i < calls; ++i) {
    const auto chosen = endpoints.choose(now, random(), false);
    if (!chosen) continue;
    endpoints.on_start(*chosen);
    endpoints.on_end(*chosen, now, 1ms, call_outcome::succeeded);
    ++by_level[*chosen / 3];
  }
  return by_level;
}

// Guards against calls to remote endpoints while the caller's zone can handle them, and against overload of
// the zone's remaining endpoints when some are ejected, unreachable or at their limit of calls in flight.
void near_endpoints_are_preferred() {
  endpoint_set endpoints(9, {}, three_levels());
  CHECK(calls_by_level(endpoints, 1s, 1000)[0] == 1000);
  // Two of the zone's three endpoints are ejected: the zone keeps 1.4 / 3 of the calls, the rest goes to the
  // region.
  for (const std::size_t endpoint : {0u, 1u})
    for (int i = 0; i < 5; ++i) {
      endpoints.on_start(endpoint);
      endpoints.on_end(endpoint, 1s, 1ms, call_outcome::failed);
    }
  const auto spilled = calls_by_level(endpoints, 1100ms, 1000);
  CHECK(spilled[0] > 400 && spilled[0] < 530 && spilled[1] == 1000 - spilled[0]);
  // The region's endpoints are unreachable: the calls that exceed the zone's share go to the remaining level.
  for (const std::size_t endpoint : {3u, 4u, 5u}) endpoints.set_reachable(endpoint, false);
  const auto beyond = calls_by_level(endpoints, 1200ms, 1000);
  CHECK(beyond[0] > 400 && beyond[0] < 530 && beyond[1] == 0 && beyond[2] == 1000 - beyond[0]);
  // No remote endpoint is reachable and the zone cannot handle all calls: in panic mode calls go to all
  // endpoints evenly, including unreachable ones.
  for (const std::size_t endpoint : {6u, 7u, 8u}) endpoints.set_reachable(endpoint, false);
  const auto panic = calls_by_level(endpoints, 1300ms, 900);
  CHECK(panic[0] > 200 && panic[1] > 200 && panic[2] > 200);
  // With a limit of one call in flight per endpoint, calls go to the zone, then the region, then the rest;
  // panic mode does not override the limit.
  endpoint_set bounded(9, {}, three_levels(1));
  std::mt19937_64 random(8);
  std::array<int, 3> by_level{};
  for (int i = 0; i < 9; ++i) {
    const auto chosen = bounded.choose(1s, random(), false);
    CHECK(chosen);
    bounded.on_start(*chosen);
    ++by_level[*chosen / 3];
  }
  CHECK((by_level == std::array<int, 3>{3, 3, 3}));
  CHECK(!bounded.choose(1s, random(), false) && !bounded.next_usable_at(1s));
}

// Guards against calls to an unreachable endpoint while the levels can handle all calls, to an excluded
// endpoint, and above the limit of an endpoint, under random failures and changes of reachability.
void selection_follows_locality() {
  check_property("calls go only where the shares of the levels allow", [] {
    const auto most_each = static_cast<unsigned>(*rc::gen::inRange(0, 4));
    endpoint_set endpoints(9, {}, three_levels(most_each));
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<bool> reachable(9, true);
    time_point now = 1s;
    for (int i = 0; i < 300; ++i) {
      now += 10ms;
      const std::size_t endpoint = random() % 9;
      if (random() % 4 == 0) endpoints.set_reachable(endpoint, reachable[endpoint] = random() % 2 == 0);
      if (endpoints.in_flight(endpoint) > 0)
        endpoints.on_end(endpoint, now, 1ms,
                         random() % 3 != 0 ? call_outcome::succeeded : call_outcome::failed);
      const std::size_t excluded = random() % 9;
      const auto chosen = endpoints.choose(now, random(), random() % 2 == 0, excluded);
      if (!chosen) continue;
      RC_ASSERT(*chosen != excluded || endpoints.state_of(*chosen) == endpoint_state::probing);
      if (most_each > 0) RC_ASSERT(endpoints.in_flight(*chosen) < most_each);
      if (std::count(reachable.begin(), reachable.end(), true) == 9 - 1 && endpoints.ejected_count() == 0 &&
          most_each == 0)
        RC_ASSERT(reachable[*chosen]);
      endpoints.on_start(*chosen);
    }
  });
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"ejection", ejection_is_limited},
                                                   {"choice", less_loaded_endpoint_is_chosen},
                                                   {"unanswered", unanswered_endpoint_gets_equal_share},
                                                   {"idle_latency_decays", idle_endpoint_is_called_again},
                                                   {"locality", near_endpoints_are_preferred},
                                                   {"locality_properties", selection_follows_locality}};
  tests.at(argv[1])();
  return 0;
}
