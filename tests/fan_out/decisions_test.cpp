// The decisions on calls under random histories (rapidcheck): each promise of their headers, whatever comes.
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "../check.hpp"
#include "fan_out/state_machine.hpp"

using namespace marblewharf;
using namespace marblewharf::fan_out;
using namespace marblewharf::upstream;
using namespace std::chrono_literals;

namespace {

// rapidcheck prints its seed (RC_PARAMS=seed=N plays one again).
void holds(const std::string& what, const std::function<void()>& property) {
  CHECK(rc::check(what, property));
}

void shares_are_kept() {
  holds("extras within any window stay within share and floor", [] {
    const double share = *rc::gen::inRange(0, 50) / 100.0;
    const double floor = *rc::gen::inRange(0, 30) / 10.0;
    retry_budget cap(share, floor, 10s);
    std::vector<time_point> firsts, extras;
    time_point now = 100s;
    const int events = *rc::gen::inRange(10, 400);
    for (int i = 0; i < events; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) == 0) {
        cap.on_first_attempt(now);
        firsts.push_back(now);
      } else if (cap.try_take(now)) {
        extras.push_back(now);
        const auto within = [&](const std::vector<time_point>& all, duration d) {
          return static_cast<double>(
              std::count_if(all.begin(), all.end(), [&](time_point t) { return t > now - d; }));
        };
        RC_ASSERT(within(extras, 9500ms) <= share * within(firsts, 10s) + floor * 10 + 1e-9);
      }
    }
  });
  retry_budget rare(0.1, 1);  // rare traffic has the floor
  rare.on_first_attempt(1s);
  CHECK(rare.try_take(1s));
}

void quantiles_are_near() {
  holds("a quantile is off by one bucket at most", [] {
    const auto times = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(100, 1000000));
    latency_estimator l;
    for (const int us : times) l.add(std::chrono::microseconds(us));
    auto sorted = times;
    std::sort(sorted.begin(), sorted.end());
    for (const double q : {0.5, 0.9}) {
      const double exact = sorted[static_cast<std::size_t>(q * 100) - 1];
      const double got = std::chrono::duration<double, std::micro>(*l.quantile(q)).count();
      RC_ASSERT(got >= exact * 0.99 && got <= exact * 1.27);
    }
  });
  CHECK(!latency_estimator().quantile(0.5));
}

// A stall cuts the limit, and it comes back to where it was when the dependency does.
void the_limit_returns() {
  holds("after a stall the limit is what it was before", [] {
    adaptive_limit limit(1, 64, 16);
    time_point now = 1s;
    const duration calm = std::chrono::milliseconds(*rc::gen::inRange(1, 50));
    unsigned lowest = 64;
    const auto calls = [&](int n, duration took, bool late) {
      for (int i = 0; i < n; ++i) {
        now += took / 8;
        limit.on_end(now, took, limit.allowed(), late);
        lowest = std::min(lowest, limit.allowed());
      }
    };
    calls(3000, calm, false);
    const unsigned before = limit.allowed();
    RC_ASSERT(before >= 32u);
    const bool late = *rc::gen::inRange(0, 2) == 1;
    calls(200, calm * 8, late);
    RC_ASSERT(lowest <= 4u);
    RC_ASSERT(!late || limit.allowed() <= 4u);  // what is not even heard of is met by few
    calls(4000, calm, false);
    RC_ASSERT(limit.allowed() >= before * 9 / 10);
  });
}

void few_are_held_out() {
  holds("never more than the bound are held out, and probes go one at a time", [] {
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

// A world of dependencies with delays and faults, in its own time.
struct world {
  struct sent {
    start_call what;
    time_point at, ends;
    call_end how;
  };
  world(std::vector<request_plan> plans, std::vector<dependency_rules> rules, unsigned seed)
      : rules_of(rules), c(std::move(plans), std::move(rules), 1 << 20, seed), random(seed) {}

  void take() {
    while (const auto a = c.pick()) {
      if (const auto* s = std::get_if<start_call>(&*a)) {
        ++started[s->dependency];
        CHECK(s->budget > 0s && s->budget <= rules_of[s->dependency].budget);
        CHECK(c.in_flight(s->dependency) <= rules_of[s->dependency].most_in_flight);
        const auto [delay, how] = behave(*s);
        flying.emplace(s->id, sent{*s, now, now + delay, how});
      } else if (const auto* x = std::get_if<cancel_call>(&*a)) {
        CHECK(flying.erase(x->id) == 1);
      } else if (const auto* f = std::get_if<finished>(&*a)) {
        CHECK(by.contains(f->id) && done.emplace(f->id, *f).second && now <= by[f->id] + 1ms);
        for (const auto& [id, out] : flying) CHECK(out.what.gathering != f->id);  // what is out is cancelled
        took[f->id] = now - begun[f->id];
      }
    }
  }
  void begin(gathering_id id, duration budget, std::uint64_t subject = 1) {
    by[id] = now + budget;
    begun[id] = now;
    c.begin(id, 0, subject, now + budget, now);
    take();
  }
  // Until `end`: all that is due, in order.
  void run_until(time_point end) {
    while (true) {
      time_point next = std::min(end, c.due());
      call_id first = 0;
      for (const auto& [id, s] : flying) {
        if (s.ends <= next && (first == 0 || s.ends < flying.at(first).ends)) first = id;
      }
      if (first != 0) {
        const sent s = flying.at(first);
        flying.erase(first);
        now = std::max(now, s.ends);
        c.on_result(first, s.how, "part of " + std::to_string(s.what.dependency), 200ms, now);
      } else {
        now = std::max(now, next);
        c.step(now);
        if (next >= end && c.due() > end) {
          take();
          return;
        }
      }
      take();
    }
  }

  std::vector<dependency_rules> rules_of;
  state_machine c;
  std::mt19937 random;
  time_point now = 1000s;
  std::function<std::pair<duration, call_end>(const start_call&)> behave = [](const start_call&) {
    return std::pair<duration, call_end>{10ms, call_end::good};
  };
  std::map<call_id, sent> flying;
  std::map<gathering_id, time_point> by, begun;
  std::map<gathering_id, finished> done;
  std::map<gathering_id, duration> took;
  std::map<std::size_t, int> started;
};

request_plan four_parts(bool required = false) {
  request_plan p{"kurs-liste", 3s, 50ms, {}};
  for (std::size_t i = 0; i < 4; ++i) p.parts.push_back({"part" + std::to_string(i), i, required, {}});
  return p;
}
std::vector<dependency_rules> four_rules(duration budget = 800ms) {
  std::vector<dependency_rules> r(4);
  for (std::size_t i = 0; i < 4; ++i) {
    r[i].name = "d" + std::to_string(i);
    r[i].endpoints = 2;
    r[i].budget = budget;
  }
  return r;
}

// A share of a fleet's calls bounds those in flight beside the limit that adapts; without a share nothing
// waits for one: what stands in does so at once, and calls go again when there is a share.
void a_share_bounds_calls() {
  world w({four_parts()}, four_rules(), 11);
  w.behave = [](const start_call&) { return std::pair<duration, call_end>{40ms, call_end::good}; };
  w.c.set_share(1, 3.7);
  unsigned most = 0;
  for (gathering_id id = 1; id <= 60; ++id) {
    w.begin(id, 2900ms);
    w.run_until(w.now + 3ms);
    most = std::max(most, w.c.in_flight(1));
  }
  CHECK(most == 3 && w.c.in_flight(0) > 3);  // whole calls, and only of that dependency
  w.run_until(w.now + 5s);
  w.c.set_share(1, 0.5);
  w.begin(100, 2900ms);
  w.run_until(w.now + 100ms);
  CHECK(w.done.contains(100) && w.took.at(100) <= 50ms);
  CHECK(w.done.at(100).parts[1].how == part_is::missing && w.done.at(100).parts[0].how == part_is::fresh);
  w.c.set_share(1, 2);
  w.begin(101, 2900ms);
  w.run_until(w.now + 100ms);
  CHECK(w.done.at(101).complete);
}

// Whatever the dependencies do: one end for each, in time, all else cancelled, shares kept.
void every_gathering_ends() {
  holds("one end for each gathering, in time", [] {
    const auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1 << 30));
    world w({four_parts(*rc::gen::inRange(0, 2) == 1)}, four_rules(), seed);
    const int bad = *rc::gen::inRange(0, 100), late = *rc::gen::inRange(0, 50),
              refuses = *rc::gen::inRange(0, 30);
    w.behave = [&](const start_call&) -> std::pair<duration, call_end> {
      const int dice = static_cast<int>(w.random() % 100);
      const duration d = std::chrono::milliseconds(1 + w.random() % 40);
      if (dice < late) return {5s, call_end::good};
      if (dice < late + refuses) return {d, call_end::not_now};
      return {d, static_cast<int>(w.random() % 100) < bad ? call_end::failed : call_end::good};
    };
    std::set<gathering_id> left;
    for (gathering_id id = 1; id <= 150; ++id) {
      w.begin(id, std::chrono::milliseconds(50 + w.random() % 2900));
      if (w.random() % 20 == 0 && !w.done.contains(id)) {
        w.c.cancel(id, w.now);
        left.insert(id);
        w.take();
      }
      w.run_until(w.now + std::chrono::milliseconds(w.random() % 30));
    }
    w.run_until(w.now + 5s);
    RC_ASSERT(w.c.open() == 0u && w.flying.empty());
    for (gathering_id id = 1; id <= 150; ++id) RC_ASSERT(w.done.contains(id) != left.contains(id));
    for (std::size_t d = 0; d < 4; ++d) {
      const dependency_counts& n = w.c.counts(d);
      RC_ASSERT(w.c.in_flight(d) == 0u);
      const double firsts = static_cast<double>(n.calls - n.retries - n.hedges);
      RC_ASSERT(static_cast<double>(n.hedges) <= 0.05 * 150 + 1);
      RC_ASSERT(static_cast<double>(n.retries) <= 0.1 * 150 + 10 + 1);
      RC_ASSERT(firsts <= 150);
    }
  });
}

// One of four slows eightfold: its parts go missing or come late, those of the others are as they were, and
// what is sent grows by no more than the shares allow.
void one_slows_eightfold() {
  world w({four_parts()}, four_rules(300ms), 7);
  bool slow = false;
  w.behave = [&](const start_call& s) -> std::pair<duration, call_end> {
    const duration d = std::chrono::milliseconds(30 + w.random() % 40);
    return {slow && s.dependency == 2 ? d * 8 : d, call_end::good};
  };
  gathering_id id = 0;
  const auto play = [&](int n) {
    for (int i = 0; i < n; ++i) {
      w.begin(++id, 2900ms);
      w.run_until(w.now + 5ms);
    }
  };
  play(1000);
  const auto before = w.started;
  slow = true;
  play(2000);
  w.run_until(w.now + 5s);
  int healthy_missing = 0, complete_late = 0;
  for (const auto& [n, f] : w.done) {
    if (n <= 1000) continue;
    for (const std::size_t part : {0u, 1u, 3u}) healthy_missing += f.parts[part].how != part_is::fresh;
    complete_late += w.took[n] > 2900ms;
  }
  int calls = 0;
  for (std::size_t d = 0; d < 4; ++d) calls += w.started[d] - before.at(d);
  std::printf(
      "healthy parts missing %d of 6000, late %d of 2000, calls %.3f times the first calls, limit %u\n",
      healthy_missing, complete_late, calls / 8000.0, w.c.allowed(2));
  CHECK(healthy_missing == 0 && complete_late == 0);
  CHECK(calls <= 1.1 * 8000);
  slow = false;
  play(3000);
  int fresh = 0;
  for (gathering_id n = id - 200; n <= id; ++n) fresh += w.done.contains(n) && w.done[n].complete;
  w.run_until(w.now + 5s);
  CHECK(fresh > 150);  // it comes back
}

void what_stands_in() {
  request_plan p{"kurs-liste", 3s, 50ms, {}};
  using kind = fallback::kind;
  p.parts.push_back(
      {"kurse",
       0,
       false,
       {{kind::dependency, 1, {}, ""}, {kind::stale, 0, 30s, ""}, {kind::fixed, 0, {}, "none"}}});
  std::vector<dependency_rules> rules(2);
  rules[0].budget = rules[1].budget = 500ms;
  rules[0].tries = rules[1].tries = 1;
  world w({p}, rules, 3);
  std::set<std::size_t> down;
  w.behave = [&](const start_call& s) {
    return std::pair<duration, call_end>{10ms,
                                         down.contains(s.dependency) ? call_end::failed : call_end::good};
  };
  gathering_id id = 0;
  const auto ask = [&] {
    w.begin(++id, 2s);
    w.run_until(w.now + 3s);
    return w.done.at(id).parts[0];
  };
  CHECK(ask().how == part_is::fresh && ask().bytes == "part of 0");
  down = {0};
  CHECK(ask().how == part_is::stand_in && ask().bytes == "part of 1");
  down = {0, 1};
  const part_result stale = ask();
  CHECK(stale.how == part_is::stale && stale.bytes == "part of 0" && stale.age > 0s && stale.age < 30s);
  w.run_until(w.now + 31s);
  CHECK(ask().bytes == "none" && w.done.at(id).complete == false && !w.done.at(id).lacks);
  // A required part that is missing ends it at once.
  world r({four_parts(true)}, four_rules(), 4);
  r.behave = [&](const start_call& s) {
    return std::pair<duration, call_end>{s.dependency == 1 ? 5ms : 400ms,
                                         s.dependency == 1 ? call_end::failed : call_end::good};
  };
  r.begin(1, 2900ms);
  r.run_until(r.now + 3s);
  CHECK(r.done.at(1).lacks == 1u && r.took.at(1) < 100ms);
}

void plans_that_could_not_be_kept() {
  using kind = fallback::kind;
  const auto fault = [](const request_plan& p, duration budget = 800ms) {
    try {
      check_plans({p}, four_rules(budget));
    } catch (const bad_plan& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  request_plan p = four_parts();
  CHECK(fault(p).empty());
  CHECK(fault(p, 3s) == "needs 3000ms one after the other, and the aim less the reserve is 2950ms");
  request_plan twice = p;
  twice.parts[1].name = "part0";
  CHECK(fault(twice) == "names a part twice: part0");
  request_plan cycle = p;
  cycle.parts[0].stand_ins = {{kind::dependency, 1, {}, ""}, {kind::dependency, 0, {}, ""}};
  CHECK(fault(cycle) == "falls back on d0, which it has tried");
  request_plan unknown = p;
  unknown.parts[0].from = 9;
  CHECK(fault(unknown) == "names no dependency");
  request_plan behind = p;
  behind.parts[0].stand_ins = {{kind::fixed, 0, {}, "x"}, {kind::stale, 0, 1s, ""}};
  CHECK(fault(behind) == "has a fall-back behind a fixed one, which never fails");
  request_plan none = p;
  none.parts.clear();
  CHECK(fault(none) == "has no part");
  request_plan longer = p;
  longer.parts[0].stand_ins = {
      {kind::dependency, 1, {}, ""}, {kind::dependency, 2, {}, ""}, {kind::dependency, 3, {}, ""}};
  CHECK(!fault(longer).empty());
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
  // Two of the zone's three held out for failures: 1.4 / 3 stays, the rest goes to the region.
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
  const std::map<std::string, void (*)()> tests = {{"shares", shares_are_kept},
                                                   {"quantiles", quantiles_are_near},
                                                   {"limit", the_limit_returns},
                                                   {"held_out", few_are_held_out},
                                                   {"choice", the_less_loaded_is_chosen},
                                                   {"unanswered", the_unanswered_draws_its_part},
                                                   {"now_and_then", each_is_asked_now_and_then},
                                                   {"gatherings", every_gathering_ends},
                                                   {"eightfold", one_slows_eightfold},
                                                   {"stand_ins", what_stands_in},
                                                   {"near", calls_stay_near},
                                                   {"fleet_share", a_share_bounds_calls},
                                                   {"near_properties", nearness_holds},
                                                   {"plans", plans_that_could_not_be_kept}};
  tests.at(argv[1])();
  return 0;
}
