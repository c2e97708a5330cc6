// Budgets of a whole fleet in one process (ctest -L budgets): clocks that run apart, links that lose, copy,
// delay and cut, members paused, killed and started anew; an auditor sums what all act on at every step of
// true time.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <string>

#include "../check.hpp"
#include "quota/demand.hpp"
#include "quota/quota_coordinator.hpp"

using namespace marblewharf::quota;
using namespace std::chrono_literals;

namespace {

constexpr double drift = 0.05;

// Budget 0: requests a second. Budget 1: runs in flight, which last up to `longest`.
constexpr duration longest = 800ms;
// Settling is for what is in flight; it would hide a lease that is taken to be over too soon, so rates are
// tried without.
bool settles = true;

struct world {
  explicit world(int n, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < n; ++i) names.insert(at(i));
    for (int i = 0; i < n; ++i) {
      // Some clocks are as fast, some as slow, as the bound allows.
      rate[i] = i % 3 == 0 ? 1 + drift : i % 3 == 1 ? 1 - drift : 1;
      offset[i] = std::chrono::seconds(random() % 100000);
      demand[i] = {0, 0};
      start(i);
    }
  }
  static std::string at(int i) { return std::string("m") + static_cast<char>('a' + i); }
  // Processes beside member i, which wait for its address, are number i + waits here.
  static constexpr int waits = 100;
  static std::string reached_at(int p) {
    return p < waits ? at(p) : std::string("g") + static_cast<char>('a' + p - waits);
  }
  static int process_at(const std::string& address) {
    return address[1] - 'a' + (address[0] == 'g' ? waits : 0);
  }
  static std::vector<budget> both() {
    return {
        {"rate", 90, 1, 1, false, {}},
        {"runs", 60, 2, 1, true, settles ? std::chrono::duration_cast<duration>(longest * 1.2) : duration{}}};
  }
  static quota_coordinator_options options() {
    quota_coordinator_options o;
    o.rules = {1s, drift};
    o.renew = 200ms;
    o.soonest = 20ms;
    return o;
  }
  duration local(int p) const {
    const int i = p % waits;
    return offset.at(i) + std::chrono::duration_cast<duration>(now * rate.at(i));
  }
  void start(int i) {
    members[i] = std::make_unique<quota_coordinator>(options(), both(), names, at(i), ++sessions, local(i));
    members[i]->join(local(i));
    believed[i].clear();
  }
  // What it had in flight goes on to its end.
  void kill(int p) {
    members.erase(p);
    auto& runs = left[p % waits];
    runs.insert(runs.end(), running[p].begin(), running[p].end());
    running[p].clear();
  }
  // A replacement: a second process beside member i, and later the end of the first.
  void beside(int i) {
    if (members.contains(i + waits) || !members.contains(i)) return;
    members[i + waits] =
        std::make_unique<quota_coordinator>(options(), both(), names, at(i), ++sessions, local(i));
    members[i + waits]->answer_to(reached_at(i + waits));
  }
  void take_over(int i) {
    if (!members.contains(i + waits)) return;
    if (members.contains(i)) kill(i);
    members[i] = std::move(members[i + waits]);
    members.erase(i + waits);
    running[i] = std::exchange(running[i + waits], {});
    members[i]->join(local(i));
  }
  bool cut_between(int a, int b) const { return cut.contains({a % waits, b % waits}); }

  void tick(double loss = 0, double twice = 0, duration latest = 5ms) {
    now += 10ms;
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto& [i, m] : members) {
      if (paused.contains(i % waits)) continue;
      auto& runs = running[i];
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      const double share = m->share(1, local(i));
      // Starts what its share lets it, as the node does: the look at the clock stands before each start.
      const auto& wants = demand[i % waits];
      const double most = std::min(std::floor(share), wants[1]);
      while (static_cast<double>(runs.size()) + 1 <= most)
        runs.push_back(now + std::chrono::duration_cast<duration>(chance(random) * longest));
      const std::vector<use> uses = {{0, wants[0]}, {static_cast<double>(runs.size()), wants[1]}};
      m->step(local(i), uses, [&](const std::string& other) {
        const int k = other[1] - 'a';
        // Known dead a while after it went; the belief may be wrong in any way, safety does not rest on it.
        if (members.contains(k) && !paused.contains(k) && !cut_between(i, k) && !cut_between(k, i)) {
          believed[i][k] = now;
          return true;
        }
        return now - believed[i][k] < 500ms;
      });
      for (const envelope& e : m->take_outbox()) {
        const int to = process_at(e.to);
        if (cut_between(i, to) || chance(random) < loss) continue;
        for (int copies = chance(random) < twice ? 2 : 1; copies > 0; --copies)
          in_flight.insert({now + std::chrono::duration_cast<duration>(chance(random) * latest), {to, e.m}});
      }
    }
    while (!in_flight.empty() && in_flight.begin()->first <= now) {
      const auto [to, m] = in_flight.begin()->second;
      in_flight.erase(in_flight.begin());
      if (members.contains(to) && !paused.contains(to % waits)) members.at(to)->receive(local(to), m);
    }
    audit();
  }
  // At this instant, over all members, also those that are paused: what each would act on if it looked now.
  void audit() {
    double sums[2] = {0, 0};
    int leading = 0;
    for (const auto& [i, m] : members) {
      sums[0] += m->share(0, local(i));
      const auto runs =
          std::count_if(running[i].begin(), running[i].end(), [&](duration ends) { return ends > now; });
      sums[1] += std::max(std::floor(m->share(1, local(i))), static_cast<double>(runs));
      leading += m->leads(local(i));
    }
    for (auto& [i, runs] : left) {
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      sums[1] += static_cast<double>(runs.size());
    }
    // The safe shares of members that are not there are theirs all the same.
    for (int i = 0; i < static_cast<int>(names.size()); ++i)
      if (!members.contains(i)) sums[0] += both()[0].safe;
    CHECK(leading <= 1);
    for (std::size_t b = 0; b < (settles ? 2u : 1u); ++b) {
      highest[b] = std::max(highest[b], sums[b]);
      CHECK(sums[b] <= both()[b].whole + 1e-6);
    }
  }
  void run(duration d, double loss = 0, double twice = 0, duration most = 5ms) {
    for (const duration until = now + d; now < until;) tick(loss, twice, most);
  }
  double share(int i, std::size_t b = 0) const { return members.at(i)->share(b, local(i)); }
  double sum(std::size_t b = 0) const {
    double s = 0;
    for (const auto& [i, m] : members) s += share(i, b);
    return s;
  }
  int leader() const {
    for (const auto& [i, m] : members)
      if (m->leads(local(i))) return i;
    return -1;
  }

  std::mt19937_64 random;
  duration now = 1s;
  std::set<std::string> names;
  std::map<int, double> rate;
  std::map<int, duration> offset;
  std::map<int, std::array<double, 2>> demand;
  std::map<int, std::unique_ptr<quota_coordinator>> members;
  std::map<int, std::vector<duration>> running;  // ends of runs, in true time
  std::map<int, std::vector<duration>> left;     // by member: of runs whose process has gone
  std::map<int, std::map<int, duration>> believed;
  std::set<std::pair<int, int>> cut;  // one way
  std::set<int> paused;
  std::multimap<duration, std::pair<int, message>> in_flight;
  std::uint64_t sessions = 0;
  double highest[2] = {0, 0};
};

void random_schedules() {
  CHECK(rc::check("what all act on never adds up to more than the whole", [] {
    const int n = *rc::gen::inRange(2, 8);
    world w(n, *rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 60);
    for (int s = 0; s < steps; ++s) {
      const int who = *rc::gen::inRange(0, n);
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          for (int k = 0; k < n; ++k)
            if (*rc::gen::inRange(0, 2) == 0) w.cut.insert({who, k});  // one way
          break;
        case 1: w.cut.clear(); break;
        case 2: w.paused.insert(who); break;
        case 3: w.paused.erase(who); break;
        case 4:
          if (!w.paused.contains(who)) w.kill(who);
          break;
        case 5:
          if (!w.members.contains(who))
            w.members.contains(who + world::waits) ? w.take_over(who) : w.start(who);
          break;
        case 6:
          if (!w.paused.contains(who)) w.beside(who);
          break;
        case 7:
          if (!w.paused.contains(who)) w.take_over(who);
          break;
        default:
          w.demand[who] = {static_cast<double>(*rc::gen::inRange(0, 200)),
                           static_cast<double>(*rc::gen::inRange(0, 100))};
      }
      const double loss = *rc::gen::inRange(0, 40) / 100.0;
      const auto most = std::chrono::milliseconds(*rc::gen::inRange(1, 600));
      w.run(std::chrono::milliseconds(*rc::gen::inRange(10, 900)), loss, 0.1, most);
    }
    // Quiet, and all want more than there is: the fleet uses the whole less its reserve.
    w.cut.clear();
    w.paused.clear();
    for (int i = 0; i < n; ++i) {
      w.take_over(i);
      if (!w.members.contains(i)) w.start(i);
      w.demand[i] = {500, 500};
    }
    w.run(12s);
    RC_ASSERT(w.sum(0) >= 0.9 * 90);
    RC_ASSERT(w.sum(1) >= 0.9 * 60);
  }));
}

void fair_shares() {
  CHECK(rc::check(
      "max-min: within the pool, nobody over its demand, nobody could have more but from one with no more",
      [] {
        const auto n = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
        std::vector<double> demands, weights;
        double wanted = 0;
        for (std::size_t i = 0; i < n; ++i) {
          demands.push_back(*rc::gen::inRange(0, 100));
          weights.push_back(*rc::gen::inRange(1, 5));
          wanted += demands.back();
        }
        const double pool = *rc::gen::inRange(0, 400);
        const std::vector<double> got = max_min(pool, demands, weights);
        const double sum = std::accumulate(got.begin(), got.end(), 0.0);
        RC_ASSERT(std::fabs(sum - std::min(pool, wanted)) < 1e-6);
        for (std::size_t i = 0; i < n; ++i) {
          RC_ASSERT(got[i] <= demands[i] + 1e-9);
          if (got[i] + 1e-6 >= demands[i]) continue;
          for (std::size_t k = 0; k < n; ++k) RC_ASSERT(got[k] / weights[k] <= got[i] / weights[i] + 1e-6);
        }
      }));
}

// All idle but one: its share grows within a few of its rounds to nearly the whole; when the others wake, it
// is divided.
void burst() {
  world w(9, 5);
  for (int i = 0; i < 9; ++i) w.demand[i] = {5, 5};
  w.run(6s);
  CHECK(w.leader() >= 0);
  w.demand[4] = {300, 300};
  w.run(400ms);  // two rounds
  CHECK(w.share(4) > 20);
  for (int i = 0; i < 9; ++i) w.demand[i] = {300, 300};
  w.run(2s);
  for (int i = 0; i < 9; ++i) CHECK(w.share(i) > 9 && w.share(i) < 11);
}

// The one that allocates dies: shares in force go on being renewed by the next one, and the sum stays.
void allocator_lost() {
  world w(9, 6);
  for (int i = 0; i < 9; ++i) w.demand[i] = {300, 300};
  w.run(8s);
  const int first = w.leader();
  CHECK(first == 0);
  w.kill(0);
  double least = 1e9;
  for (int i = 0; i < 100 && w.leader() != 1; ++i) {
    w.run(50ms);
    least = std::min(least, w.share(8));
  }
  CHECK(w.leader() == 1);
  w.run(4s);
  CHECK(w.share(8) > 10 && w.sum() > 0.85 * 90);
}

// Cut from half of the fleet: the side with a majority has the shares, the other falls to its safe ones.
void cut_in_two() {
  world w(9, 7);
  for (int i = 0; i < 9; ++i) w.demand[i] = {300, 300};
  w.run(8s);
  for (int a = 0; a < 4; ++a)
    for (int b = 4; b < 9; ++b) w.cut.insert({a, b}), w.cut.insert({b, a});
  w.run(8s);
  for (int i = 0; i < 4; ++i) CHECK(w.share(i) == 1);
  for (int i = 4; i < 9; ++i) CHECK(w.share(i) > 14);
  w.cut.clear();
  w.run(6s);
  for (int i = 0; i < 9; ++i) CHECK(w.share(i) > 9);
}

// Paused past its lease and resumed: not one instant on the old share.
void paused() {
  world w(3, 8);
  for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
  w.run(6s);
  CHECK(w.share(2) > 25);
  w.paused.insert(2);
  w.run(5s);
  CHECK(w.share(2) == 1 &&
        w.share(1) > 40);  // the others have it, and whoever looks at its clock first knows
  w.paused.erase(2);
  w.run(3s);
  CHECK(w.share(2) > 25);
}

// One with a slow clock falls silent, the one that allocates has a fast one, and the others are short: its
// share is given to them only once its lease is surely over. The moment of the last renewal differs from
// round to round.
void expiry() {
  settles = false;
  for (std::uint64_t s = 1; s <= 20; ++s) {
    world w(3, s);
    for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
    w.run(5s + std::chrono::milliseconds(s * 37));
    CHECK(w.leader() == 0 && w.share(1) > 25);
    for (const int other : {0, 2}) w.cut.insert({1, other}), w.cut.insert({other, 1});
    w.run(3s);
    CHECK(w.share(1) == 1 && w.share(2) > 35);
  }
}

// The chair changes hands again and again, by kills and starts of whoever has it.
void chair_goes_round() {
  settles = false;
  for (std::uint64_t s = 1; s <= 10; ++s) {
    world w(5, s);
    for (int i = 0; i < 5; ++i) w.demand[i] = {300, 300};
    w.run(5s);
    for (int turn = 0; turn < 6; ++turn) {
      const int who = w.leader();
      if (who >= 0) w.kill(who);
      // Half of the others do not hear the next one for a while, and hold what they have.
      for (int i = 0; i < 5; ++i)
        for (int k = 0; k < 2; ++k)
          if (i != who) w.cut.insert({(who + 1 + k) % 5, i});
      w.run(std::chrono::milliseconds(700 + 90 * turn));
      w.cut.clear();
      w.run(1s);
      if (who >= 0) w.start(who);
      w.run(2s);
    }
  }
}

void random_rates() {
  settles = false;
  random_schedules();
}

// Answers to any request but the latest change nothing, nor does a second one to that, nor one to another
// process's.
void stale_answers() {
  lease_holder h({.rules = {1s, drift}, .renew = 200ms}, {{"rate", 90, 1, 1, false, {}}}, "m", 5, 7);
  h.join(0s);
  const std::vector<use> wants = {{0, 300}};
  const auto grant = [](std::uint64_t sequence, double held, std::uint64_t session = 5) {
    return message{kind::grant, "l", 1, sequence, session, 7, {{held, 0}}};
  };
  h.step(10s, "l", wants);
  h.step(10300ms, "l", wants);
  const std::vector<envelope> asked = h.take_outbox();
  CHECK(asked.size() == 2 && asked[0].m.sequence == 1 && asked[1].m.sequence == 2);
  h.receive(10350ms, grant(1, 50));
  h.receive(10350ms, grant(2, 50, 4));
  CHECK(h.share(0, 10350ms) == 1);
  h.receive(10400ms, grant(2, 10));
  h.receive(10450ms, grant(2, 50));
  CHECK(h.share(0, 10450ms) == 11);
  CHECK(h.share(0, 11299ms) == 11 && h.share(0, 11300ms) == 1);  // one lease from when it was asked for
}

// A voter that just started does not know what it promised before: it keeps still for as long as that may
// have stood. Then it promises one candidate at a time, and yields to the one that leads.
void voter() {
  const lease_rules rules{1s, drift};
  leader_election v(rules, {"a", "b", "v"}, "v", 0, 10s);
  const auto answer = [&](time_point at, const std::string& from, bool leading = false) {
    v.receive(at, message{kind::ask, from, 1, 1, 0, 0, {}, leading});
    return v.take_outbox().at(0).m.what;
  };
  CHECK(answer(10s, "a") == kind::refusal);
  CHECK(answer(10s + surely_over(rules) - 1ms, "a") == kind::refusal);
  CHECK(answer(10s + surely_over(rules), "a") == kind::promise);
  CHECK(answer(11500ms, "b") == kind::refusal);
  CHECK(answer(11600ms, "a") == kind::promise);        // renewed
  CHECK(answer(11700ms, "b", true) == kind::refusal);  // it leads by others' promises, and this one stands
  CHECK(answer(12600ms, "a") == kind::refusal);        // not renewed: another leads
  CHECK(answer(11600ms + surely_over(rules), "b", true) == kind::promise);
}

// What is in flight over a lease that ended counts, and is no claim: others may have its share by now.
void overhang() {
  allocator a({.rules = {1s, drift}, .reserve = 0, .members = 2}, {{"runs", 10, 0, 1, true, {}}}, 7, "l", 1,
              0s);
  const auto given = [&](const std::string& from, entry e) {
    a.receive(10s, message{kind::request, from, 0, 1, 1, 7, {e}});
    return a.take_outbox().at(0).m.entries.at(0).held;
  };
  CHECK(given("x", {0, 100, 0}) == 10);
  CHECK(given("y", {8, 100, 0}) == 0);
  CHECK(a.committed(0, 10s) == 18);  // both count until the next asks
}

// Nodes whose files have other wholes get nothing from each other.
void other_budgets() {
  world w(3, 9);
  for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
  auto larger = world::both();
  larger[0].whole = 900;
  w.members[2] =
      std::make_unique<quota_coordinator>(world::options(), larger, w.names, world::at(2), 99, w.local(2));
  w.members[2]->join(w.local(2));
  w.run(8s);
  CHECK(w.share(2) == 1 && w.share(1) > 30);
  CHECK(w.members.at(w.leader())->mismatched() > 0);
}

// A process beside its member's first one: it finds the one that allocates without hearing who leads, has its
// part while both run, and no safe share; it has that once it is the member, and goes on with what it holds.
void beside() {
  world w(5, 10);
  for (int i = 0; i < 5; ++i) w.demand[i] = {300, 300};
  w.run(8s);
  w.beside(3);
  CHECK(w.share(3 + world::waits) == 0);
  w.run(4s);
  const double before = w.share(3 + world::waits);
  CHECK(before > 10 && w.share(3) > 10);
  // A seventh of what is divided, without the safe share that the others have beside it.
  CHECK(before < 85 * 0.95 / 6 + 0.1);
  w.take_over(3);
  CHECK(w.share(3) == before + 1);
  w.run(4s);
  CHECK(w.share(3) > 15);
}

// What a process before left in flight counts in the member's safe share until it has surely ended.
void safe_after_settling() {
  lease_holder h({.rules = {1s, drift}}, {{"rate", 90, 1, 1, false, {}}, {"runs", 60, 2, 1, true, 900ms}},
                 "m", 5, 7);
  CHECK(h.share(0, 10s) == 0 && h.share(1, 10s) == 0);
  h.join(10s);
  CHECK(h.share(0, 10s) == 1 && h.share(1, 10s) == 0);
  CHECK(h.share(1, 10899ms) == 0 && h.share(1, 10900ms) == 2);
}

// After the one that allocates was lost, rates grow again once the leases that it granted are over, and do
// not wait for what settles in flight.
void rates_need_no_settling() {
  const std::vector<budget> all = {{"rate", 90, 0, 1, false, {}}, {"runs", 60, 0, 1, true, 5s}};
  const lease_rules rules{1s, drift};
  allocator a({.rules = rules, .reserve = 0, .members = 2}, all, 7, "l", 1, 0s);
  std::uint64_t sequence = 0;
  const auto given = [&](time_point at) {
    a.receive(at, message{kind::request, "x", 0, ++sequence, 1, 7, {{0, 50, 0}, {0, 50, 0}}});
    return a.take_outbox().at(0).m.entries;
  };
  CHECK(given(surely_over(rules) - 1ms)[0].held == 0);
  CHECK(given(surely_over(rules))[0].held == 50);
  CHECK(given(surely_over(rules) + 4999ms)[1].held == 0);
  CHECK(given(surely_over(rules) + 5s)[1].held == 50);
}

// Arrivals a second with headroom; a burst fades; what was turned away for want of room counts as wanted for
// a while.
void demands() {
  rate_demand r;
  time_point at = 10s;
  double demand = 0;
  for (int i = 0; i < 100; ++i, at += 50ms) {
    for (int k = 0; k < 5; ++k) r.count();
    demand = r.measure(at).demand;
  }
  CHECK(r.per_second() > 95 && r.per_second() < 105);
  CHECK(demand > 1.05 * r.per_second());
  CHECK(r.measure(at + 5s).demand < 3);
  flight_demand f;
  CHECK(f.measure(1s, 4, 2, 0).demand > 7 && f.measure(1s, 4, 2, 0).in_force == 4);
  const double wanted = f.measure(1050ms, 4, 2, 50).demand;
  CHECK(wanted > 56);
  CHECK(f.measure(8s, 4, 2, 50).demand < 8);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"random", random_schedules},
                                                   {"fair", fair_shares},
                                                   {"burst", burst},
                                                   {"allocator_lost", allocator_lost},
                                                   {"cut_in_two", cut_in_two},
                                                   {"expiry", expiry},
                                                   {"chair_goes_round", chair_goes_round},
                                                   {"random_rates", random_rates},
                                                   {"stale_answers", stale_answers},
                                                   {"overhang", overhang},
                                                   {"voter", voter},
                                                   {"paused", paused},
                                                   {"beside", beside},
                                                   {"safe_after_settling", safe_after_settling},
                                                   {"rates_need_no_settling", rates_need_no_settling},
                                                   {"demands", demands},
                                                   {"other_budgets", other_budgets}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
