// The fan-out state machine against dependencies with delays and faults (ctest -L dependencies).
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

// rapidcheck prints its seed (RC_PARAMS=seed=N plays one again).
void holds(const std::string& what, const std::function<void()>& property) {
  CHECK(rc::check(what, property));
}

// A world of dependencies with delays and faults, in its own time.
struct world {
  struct sent {
    start_call what;
    time_point at, ends;
    call_result how;
  };
  world(std::vector<request_plan> plans, std::vector<dependency_rules> rules, unsigned seed)
      : rules_of(rules), c(std::move(plans), std::move(rules), 1 << 20, seed), random(seed) {}

  void take() {
    while (const auto a = c.next_action()) {
      if (const auto* s = std::get_if<start_call>(&*a)) {
        ++started[s->dependency];
        CHECK(s->budget > 0s && s->budget <= rules_of[s->dependency].budget);
        CHECK(c.in_flight(s->dependency) <= rules_of[s->dependency].most_in_flight);
        const auto [delay, how] = behave(*s);
        flying.emplace(s->id, sent{*s, now, now + delay, how});
      } else if (const auto* x = std::get_if<cancel_call>(&*a)) {
        CHECK(flying.erase(x->id) == 1);
      } else if (const auto* f = std::get_if<request_finished>(&*a)) {
        CHECK(by.contains(f->id) && done.emplace(f->id, *f).second && now <= by[f->id] + 1ms);
        for (const auto& [id, out] : flying) CHECK(out.what.request != f->id);  // what is out is cancelled
        took[f->id] = now - begun[f->id];
      }
    }
  }
  void begin(fan_out_id id, duration budget, std::uint64_t subject = 1) {
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
  std::function<std::pair<duration, call_result>(const start_call&)> behave = [](const start_call&) {
    return std::pair<duration, call_result>{10ms, call_result::succeeded};
  };
  std::map<call_id, sent> flying;
  std::map<fan_out_id, time_point> by, begun;
  std::map<fan_out_id, request_finished> done;
  std::map<fan_out_id, duration> took;
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
  w.behave = [](const start_call&) { return std::pair<duration, call_result>{40ms, call_result::succeeded}; };
  w.c.set_share(1, 3.7);
  unsigned most = 0;
  for (fan_out_id id = 1; id <= 60; ++id) {
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
  CHECK(w.done.at(100).parts[1].state == sub_response_state::missing &&
        w.done.at(100).parts[0].state == sub_response_state::fresh);
  w.c.set_share(1, 2);
  w.begin(101, 2900ms);
  w.run_until(w.now + 100ms);
  CHECK(w.done.at(101).complete);
}

// Whatever the dependencies do: one end for each, in time, all else cancelled, shares kept.
void every_request_ends() {
  holds("one end for each request, in time", [] {
    const auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1 << 30));
    world w({four_parts(*rc::gen::inRange(0, 2) == 1)}, four_rules(), seed);
    const int bad = *rc::gen::inRange(0, 100), late = *rc::gen::inRange(0, 50),
              refuses = *rc::gen::inRange(0, 30);
    w.behave = [&](const start_call&) -> std::pair<duration, call_result> {
      const int dice = static_cast<int>(w.random() % 100);
      const duration d = std::chrono::milliseconds(1 + w.random() % 40);
      if (dice < late) return {5s, call_result::succeeded};
      if (dice < late + refuses) return {d, call_result::rejected};
      return {d, static_cast<int>(w.random() % 100) < bad ? call_result::failed : call_result::succeeded};
    };
    std::set<fan_out_id> left;
    for (fan_out_id id = 1; id <= 150; ++id) {
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
    for (fan_out_id id = 1; id <= 150; ++id) RC_ASSERT(w.done.contains(id) != left.contains(id));
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
  w.behave = [&](const start_call& s) -> std::pair<duration, call_result> {
    const duration d = std::chrono::milliseconds(30 + w.random() % 40);
    return {slow && s.dependency == 2 ? d * 8 : d, call_result::succeeded};
  };
  fan_out_id id = 0;
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
    for (const std::size_t part : {0u, 1u, 3u})
      healthy_missing += f.parts[part].state != sub_response_state::fresh;
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
  for (fan_out_id n = id - 200; n <= id; ++n) fresh += w.done.contains(n) && w.done[n].complete;
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
    return std::pair<duration, call_result>{
        10ms, down.contains(s.dependency) ? call_result::failed : call_result::succeeded};
  };
  fan_out_id id = 0;
  const auto ask = [&] {
    w.begin(++id, 2s);
    w.run_until(w.now + 3s);
    return w.done.at(id).parts[0];
  };
  CHECK(ask().state == sub_response_state::fresh && ask().bytes == "part of 0");
  down = {0};
  CHECK(ask().state == sub_response_state::fallback && ask().bytes == "part of 1");
  down = {0, 1};
  const sub_response stale = ask();
  CHECK(stale.state == sub_response_state::stale && stale.bytes == "part of 0" && stale.age > 0s &&
        stale.age < 30s);
  w.run_until(w.now + 31s);
  CHECK(ask().bytes == "none" && w.done.at(id).complete == false && !w.done.at(id).missing_required);
  // A required part that is missing ends it at once.
  world r({four_parts(true)}, four_rules(), 4);
  r.behave = [&](const start_call& s) {
    return std::pair<duration, call_result>{s.dependency == 1 ? 5ms : 400ms,
                                            s.dependency == 1 ? call_result::failed : call_result::succeeded};
  };
  r.begin(1, 2900ms);
  r.run_until(r.now + 3s);
  CHECK(r.done.at(1).missing_required == 1u && r.took.at(1) < 100ms);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"every_request_ends", every_request_ends},
                                                   {"one_slow_dependency", one_slows_eightfold},
                                                   {"fallbacks", what_stands_in},
                                                   {"quota_share", a_share_bounds_calls}};
  tests.at(argv[1])();
  return 0;
}
