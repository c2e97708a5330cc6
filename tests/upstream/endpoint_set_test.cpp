// The endpoints of a dependency: choice, ejection, locality (ctest -L dependencies).
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

// rapidcheck prints its seed (RC_PARAMS=seed=N plays one again).
void holds(const std::string& what, const std::function<void()>& property) {
  CHECK(rc::check(what, property));
}

void few_are_ejected() {
  holds("never more than the bound are ejected, and probes go one at a time", [] {
    const auto n = static_cast<std::size_t>(*rc::gen::inRange(1, 8));
    endpoint_rules rules;
    rules.most_out = *rc::gen::inRange(0, 101) / 100.0;
    endpoint_set all(n, rules);
    time_point now = 1s;
    std::vector<std::vector<std::size_t>> flying(n);
    std::set<std::size_t> bad;
    for (std::size_t i = 0; i < n; ++i) {
      if (*rc::gen::inRange(0, 2) == 0) bad.insert(i);
    }
    std::uint64_t random = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1 << 30));
    for (int i = 0; i < 600; ++i) {
      now += std::chrono::milliseconds(i % 97);
      random = random * 6364136223846793005ull + 1442695040888963407ull;
      const auto at = all.choose(now, random, true);
      RC_ASSERT(static_cast<double>(all.ejected_count()) <= rules.most_out * static_cast<double>(n));
      if (!at) continue;
      RC_ASSERT(all.state_of(*at) != endpoint_state::ejected);
      if (all.state_of(*at) == endpoint_state::probing) RC_ASSERT(all.in_flight(*at) == 0u);
      all.on_start(*at);
      all.on_end(*at, now, 1ms, bad.contains(*at) ? call_outcome::failed : call_outcome::succeeded);
      RC_ASSERT(static_cast<double>(all.ejected_count()) <= rules.most_out * static_cast<double>(n));
    }
    // All are well again: in the end none is out.
    for (int i = 0; i < 4000; ++i) {
      now += 50ms;
      random = random * 6364136223846793005ull + 1442695040888963407ull;
      if (const auto at = all.choose(now, random, true)) {
        all.on_start(*at);
        all.on_end(*at, now, 1ms, call_outcome::succeeded);
      }
    }
    RC_ASSERT(all.ejected_count() == 0u);
  });
}

void the_less_loaded_is_chosen() {
  endpoint_set all(2, {});
  all.on_start(0);
  all.on_start(0);
  for (std::uint64_t r = 0; r < 20; ++r) CHECK(all.choose(1s, r * 0x100000001ull, true) == 1u);
  // One that comes back is met by few: its weight grows.
  endpoint_set ramp(2, {.failures = 1, .out = 1s, .probes = 1, .ramp = 10s});
  ramp.on_start(0);
  ramp.on_end(0, 1s, 1ms, call_outcome::failed);
  CHECK(ramp.state_of(0) == endpoint_state::ejected);
  CHECK(ramp.choose(1500ms, 0, true) == 1u);
  CHECK(ramp.choose(2500ms, 0, true) == 0u);  // the probe
  ramp.on_start(0);
  CHECK(ramp.choose(2500ms, 0, true) == 1u);  // one at a time
  ramp.on_end(0, 2500ms, 1ms, call_outcome::succeeded);
  CHECK(ramp.state_of(0) == endpoint_state::slow_start);
  ramp.on_start(1);
  ramp.on_end(1, 2500ms, 1ms, call_outcome::succeeded);
  for (std::uint64_t r = 0; r < 8; ++r) CHECK(ramp.choose(2600ms, r, true) == 1u);
}

// Of two endpoints the first has answered in 50 ms. The other is asked too, but until it answers it draws no
// more calls than its part: its time is not known to be short.
void the_unanswered_draws_its_part() {
  endpoint_set all(2, {});
  all.on_start(0);
  all.on_end(0, 50ms, 50ms, call_outcome::succeeded);
  CHECK(all.choose(50ms, 0, true) == 1u);  // never asked: tried at once
  for (std::uint64_t r = 0; r < 40; ++r) all.on_start(*all.choose(50ms, r * 0x100000001ull, true));
  CHECK(all.in_flight(0) == 20 && all.in_flight(1) == 20);
  // What is bound to one counts before its first call, and until it is over.
  endpoint_set ahead(2, {});
  ahead.on_start(0);
  std::array<int, 2> bound{};
  for (std::uint64_t r = 0; r < 39; ++r) {
    const std::size_t at = *ahead.choose(1s, r * 0x100000001ull, true);
    ahead.on_bound(at);
    ++bound[at];
  }
  CHECK(bound[0] == 19 && bound[1] == 20);
  for (int i = 0; i < 20; ++i) ahead.on_unbound(1);
  CHECK(ahead.choose(1s, 0, true) == 1u);
}

// Three endpoints, calls one after the other. The one that was not drawn at first is asked all the same,
// though the others are quicker than anything that could be taken for it; one that was slow once is asked
// again after a while, and one that stays eight times as slow gets few calls.
void each_is_asked_now_and_then() {
  std::mt19937_64 draws(7);
  endpoint_set all(3, {.fade = 500ms});
  time_point now{};
  const auto ask = [&](int calls, const std::array<duration, 3>& takes) {
    std::array<int, 3> got{};
    for (int i = 0; i < calls; ++i) {
      const std::size_t at = *all.choose(now, draws(), true);
      ++got[at];
      all.on_start(at);
      now += takes[at];
      all.on_end(at, now, takes[at], call_outcome::succeeded);
      now += 1ms;
    }
    return got;
  };
  const std::array<duration, 3> alike{200us, 200us, 200us};
  for (const int got : ask(60, alike)) CHECK(got > 5);
  ask(1, {50ms, 50ms, 50ms});  // one of them stalls once
  ask(6000, alike);            // 7 s
  for (const int got : ask(600, alike)) CHECK(got > 60);
  const auto slow = ask(10'000, {1600us, 200us, 200us});  // 12 s: once in three times 500 ms
  CHECK(slow[0] >= 4 && slow[0] < 40);
  for (const int got : ask(6000, alike)) CHECK(got > 600);  // well again
}

// Nine endpoints, three a level, as failover/locality_test has the shares: here they are what calls really
// do.
endpoint_locality three_levels(unsigned most_each = 0) {
  using failover::level;
  return {{level::zone, level::zone, level::zone, level::region, level::region, level::region, level::rest,
           level::rest, level::rest},
          {.most_each = most_each}};
}
std::array<int, 3> levels_of(endpoint_set& all, time_point now, int n) {
  std::array<int, 3> at{};
  std::mt19937_64 random(7);
  for (int i = 0; i < n; ++i) {
    const auto e = all.choose(now, random(), false);
    if (!e) continue;
    all.on_start(*e);
    all.on_end(*e, now, 1ms, call_outcome::succeeded);
    ++at[*e / 3];
  }
  return at;
}

void calls_stay_near() {
  endpoint_set all(9, {}, three_levels());
  CHECK(levels_of(all, 1s, 1000)[0] == 1000);
  // Two of the zone's three ejected for failures: 1.4 / 3 stays, the rest goes to the region.
  for (const std::size_t e : {0u, 1u})
    for (int i = 0; i < 5; ++i) {
      all.on_start(e);
      all.on_end(e, 1s, 1ms, call_outcome::failed);
    }
  const auto spilled = levels_of(all, 1100ms, 1000);
  CHECK(spilled[0] > 400 && spilled[0] < 530 && spilled[1] == 1000 - spilled[0]);
  // The region's zone is declared out: what spills goes on.
  for (const std::size_t e : {3u, 4u, 5u}) all.set_reachable(e, false);
  const auto beyond = levels_of(all, 1200ms, 1000);
  CHECK(beyond[0] > 400 && beyond[0] < 530 && beyond[1] == 0 && beyond[2] == 1000 - beyond[0]);
  // Nothing far is reachable and the own zone is poor: panic, over all alike, also what is not reachable.
  for (const std::size_t e : {6u, 7u, 8u}) all.set_reachable(e, false);
  const auto panic = levels_of(all, 1300ms, 900);
  CHECK(panic[0] > 200 && panic[1] > 200 && panic[2] > 200);
  // A bound on each: one call at each of the zone's, then the region takes the next, and panic breaks no
  // bound.
  endpoint_set bounded(9, {}, three_levels(1));
  std::mt19937_64 random(8);
  std::array<int, 3> at{};
  for (int i = 0; i < 9; ++i) {
    const auto e = bounded.choose(1s, random(), false);
    CHECK(e);
    bounded.on_start(*e);
    ++at[*e / 3];
  }
  CHECK((at == std::array<int, 3>{3, 3, 3}));
  CHECK(!bounded.choose(1s, random(), false) && !bounded.next_usable_at(1s));
}

// Whatever happens to endpoints: no call to one that is out of reach while the levels can take all calls,
// never the one that just failed, never over a bound.
void nearness_holds() {
  holds("calls go only where the shares allow", [] {
    const auto most_each = static_cast<unsigned>(*rc::gen::inRange(0, 4));
    endpoint_set all(9, {}, three_levels(most_each));
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<bool> reachable(9, true);
    time_point now = 1s;
    for (int i = 0; i < 300; ++i) {
      now += 10ms;
      const std::size_t e = random() % 9;
      if (random() % 4 == 0) all.set_reachable(e, reachable[e] = random() % 2 == 0);
      if (all.in_flight(e) > 0)
        all.on_end(e, now, 1ms, random() % 3 != 0 ? call_outcome::succeeded : call_outcome::failed);
      const std::size_t avoided = random() % 9;
      const auto chosen = all.choose(now, random(), random() % 2 == 0, avoided);
      if (!chosen) continue;
      RC_ASSERT(*chosen != avoided || all.state_of(*chosen) == endpoint_state::probing);
      if (most_each > 0) RC_ASSERT(all.in_flight(*chosen) < most_each);
      if (std::count(reachable.begin(), reachable.end(), true) == 9 - 1 && all.ejected_count() == 0 &&
          most_each == 0)
        RC_ASSERT(reachable[*chosen]);
      all.on_start(*chosen);
    }
  });
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"ejection", few_are_ejected},
                                                   {"choice", the_less_loaded_is_chosen},
                                                   {"unanswered", the_unanswered_draws_its_part},
                                                   {"idle_latency_fades", each_is_asked_now_and_then},
                                                   {"locality", calls_stay_near},
                                                   {"locality_properties", nearness_holds}};
  tests.at(argv[1])();
  return 0;
}
