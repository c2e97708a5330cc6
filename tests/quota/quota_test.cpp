// Quotas of a simulated cluster in one process (ctest -L quota): clocks that drift apart, links that lose,
// duplicate, delay and partition, members paused, killed and restarted. At every step of true time an audit
// adds up what all members act on.
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

// Quota 0: requests a second. Quota 1: runs in flight, which last up to `longest_run`.
constexpr duration longest_run = 800ms;
// A settling time would hide a lease that is taken to have expired too soon, so some cases run without.
bool runs_settle = true;

struct simulated_cluster {
  explicit simulated_cluster(int n, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < n; ++i) names.insert(member_address(i));
    for (int i = 0; i < n; ++i) {
      // Some clocks are as fast, some as slow, as the drift allows.
      rate[i] = i % 3 == 0 ? 1 + drift : i % 3 == 1 ? 1 - drift : 1;
      offset[i] = std::chrono::seconds(random() % 100000);
      demand[i] = {0, 0};
      start(i);
    }
  }
  static std::string member_address(int i) { return std::string("m") + static_cast<char>('a' + i); }
  // A process that waits for the address of member i has the number i + replacement_offset.
  static constexpr int replacement_offset = 100;
  static std::string process_address(int p) {
    return p < replacement_offset ? member_address(p)
                                  : std::string("g") + static_cast<char>('a' + p - replacement_offset);
  }
  static int process_of(const std::string& address) {
    return address[1] - 'a' + (address[0] == 'g' ? replacement_offset : 0);
  }
  static std::vector<quota_definition> quotas() {
    return {{"rate", 90, 1, 1, false, {}},
            {"runs", 60, 2, 1, true,
             runs_settle ? std::chrono::duration_cast<duration>(longest_run * 1.2) : duration{}}};
  }
  static quota_coordinator_options options() {
    quota_coordinator_options o;
    o.lease = {1s, drift};
    o.renew_interval = 200ms;
    o.min_request_interval = 20ms;
    return o;
  }
  duration local(int p) const {
    const int i = p % replacement_offset;
    return offset.at(i) + std::chrono::duration_cast<duration>(now * rate.at(i));
  }
  void start(int i) {
    members[i] = std::make_unique<quota_coordinator>(options(), quotas(), names, member_address(i),
                                                     ++sessions, local(i));
    members[i]->become_member(local(i));
    last_believed_alive[i].clear();
  }
  // Its runs in flight go on to their end.
  void kill(int p) {
    members.erase(p);
    auto& runs = orphaned_runs[p % replacement_offset];
    runs.insert(runs.end(), running[p].begin(), running[p].end());
    running[p].clear();
  }
  // Hot restart: a second process starts beside member i, and later the first one ends.
  void start_replacement(int i) {
    if (members.contains(i + replacement_offset) || !members.contains(i)) return;
    members[i + replacement_offset] = std::make_unique<quota_coordinator>(
        options(), quotas(), names, member_address(i), ++sessions, local(i));
    members[i + replacement_offset]->set_reply_address(process_address(i + replacement_offset));
  }
  void finish_replacement(int i) {
    if (!members.contains(i + replacement_offset)) return;
    if (members.contains(i)) kill(i);
    members[i] = std::move(members[i + replacement_offset]);
    members.erase(i + replacement_offset);
    running[i] = std::exchange(running[i + replacement_offset], {});
    members[i]->become_member(local(i));
  }
  bool cut_between(int a, int b) const {
    return cut.contains({a % replacement_offset, b % replacement_offset});
  }

  void tick(double loss = 0, double twice = 0, duration latest = 5ms) {
    now += 10ms;
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto& [i, m] : members) {
      if (paused.contains(i % replacement_offset)) continue;
      auto& runs = running[i];
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      const double share = m->share(1, local(i));
      // Starts as many runs as its share allows; as in the node, the clock is read before each start.
      const auto& wants = demand[i % replacement_offset];
      const double most = std::min(std::floor(share), wants[1]);
      while (static_cast<double>(runs.size()) + 1 <= most)
        runs.push_back(now + std::chrono::duration_cast<duration>(chance(random) * longest_run));
      const std::vector<quota_usage> uses = {{0, wants[0]}, {static_cast<double>(runs.size()), wants[1]}};
      m->step(local(i), uses, [&](const std::string& other) {
        const int k = other[1] - 'a';
        // Believed alive for a while after it died. The belief may be wrong: safety does not depend on it.
        if (members.contains(k) && !paused.contains(k) && !cut_between(i, k) && !cut_between(k, i)) {
          last_believed_alive[i][k] = now;
          return true;
        }
        return now - last_believed_alive[i][k] < 500ms;
      });
      for (const envelope& e : m->take_outbox()) {
        const int to = process_of(e.to);
        if (cut_between(i, to) || chance(random) < loss) continue;
        for (int copies = chance(random) < twice ? 2 : 1; copies > 0; --copies)
          datagrams.insert(
              {now + std::chrono::duration_cast<duration>(chance(random) * latest), {to, e.content}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [to, m] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      if (members.contains(to) && !paused.contains(to % replacement_offset))
        members.at(to)->receive(local(to), m);
    }
    audit();
  }
  // What each member, paused or not, would act on at this instant.
  void audit() {
    double sums[2] = {0, 0};
    int leading = 0;
    for (const auto& [i, m] : members) {
      sums[0] += m->share(0, local(i));
      const auto runs =
          std::count_if(running[i].begin(), running[i].end(), [&](duration ends) { return ends > now; });
      sums[1] += std::max(std::floor(m->share(1, local(i))), static_cast<double>(runs));
      leading += m->is_leader(local(i));
    }
    for (auto& [i, runs] : orphaned_runs) {
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      sums[1] += static_cast<double>(runs.size());
    }
    // The guaranteed shares of members that are down stay theirs.
    for (int i = 0; i < static_cast<int>(names.size()); ++i)
      if (!members.contains(i)) sums[0] += quotas()[0].guaranteed_share;
    CHECK(leading <= 1);
    for (std::size_t b = 0; b < (runs_settle ? 2u : 1u); ++b) {
      highest[b] = std::max(highest[b], sums[b]);
      CHECK(sums[b] <= quotas()[b].global_limit + 1e-6);
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
      if (m->is_leader(local(i))) return i;
    return -1;
  }

  std::mt19937_64 random;
  duration now = 1s;
  std::set<std::string> names;
  std::map<int, double> rate;
  std::map<int, duration> offset;
  std::map<int, std::array<double, 2>> demand;
  std::map<int, std::unique_ptr<quota_coordinator>> members;
  std::map<int, std::vector<duration>> running;        // when each run ends, in true time
  std::map<int, std::vector<duration>> orphaned_runs;  // by member: of runs whose process ended
  std::map<int, std::map<int, duration>> last_believed_alive;
  std::set<std::pair<int, int>> cut;  // one way
  std::set<int> paused;
  std::multimap<duration, std::pair<int, message>> datagrams;
  std::uint64_t sessions = 0;
  double highest[2] = {0, 0};
};

void random_schedules() {
  CHECK(rc::check("what all act on never adds up to more than the limit", [] {
    const int n = *rc::gen::inRange(2, 8);
    simulated_cluster w(n, *rc::gen::arbitrary<std::uint64_t>());
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
            w.members.contains(who + simulated_cluster::replacement_offset) ? w.finish_replacement(who)
                                                                            : w.start(who);
          break;
        case 6:
          if (!w.paused.contains(who)) w.start_replacement(who);
          break;
        case 7:
          if (!w.paused.contains(who)) w.finish_replacement(who);
          break;
        default:
          w.demand[who] = {static_cast<double>(*rc::gen::inRange(0, 200)),
                           static_cast<double>(*rc::gen::inRange(0, 100))};
      }
      const double loss = *rc::gen::inRange(0, 40) / 100.0;
      const auto most = std::chrono::milliseconds(*rc::gen::inRange(1, 600));
      w.run(std::chrono::milliseconds(*rc::gen::inRange(10, 900)), loss, 0.1, most);
    }
    // Without faults, and with demand above the limit: the cluster uses the limit less the reserve.
    w.cut.clear();
    w.paused.clear();
    for (int i = 0; i < n; ++i) {
      w.finish_replacement(i);
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
        const std::vector<double> got = max_min_shares(pool, demands, weights);
        const double sum = std::accumulate(got.begin(), got.end(), 0.0);
        RC_ASSERT(std::fabs(sum - std::min(pool, wanted)) < 1e-6);
        for (std::size_t i = 0; i < n; ++i) {
          RC_ASSERT(got[i] <= demands[i] + 1e-9);
          if (got[i] + 1e-6 >= demands[i]) continue;
          for (std::size_t k = 0; k < n; ++k) RC_ASSERT(got[k] / weights[k] <= got[i] / weights[i] + 1e-6);
        }
      }));
}

// All idle but one: within a few renewals its share grows to nearly the limit; when the others have demand
// too, it is divided.
void burst() {
  simulated_cluster w(9, 5);
  for (int i = 0; i < 9; ++i) w.demand[i] = {5, 5};
  w.run(6s);
  CHECK(w.leader() >= 0);
  w.demand[4] = {300, 300};
  w.run(400ms);  // two renewals
  CHECK(w.share(4) > 20);
  for (int i = 0; i < 9; ++i) w.demand[i] = {300, 300};
  w.run(2s);
  for (int i = 0; i < 9; ++i) CHECK(w.share(i) > 9 && w.share(i) < 11);
}

// The leader dies: the next one renews the shares in force, and their sum stays.
void leader_lost() {
  simulated_cluster w(9, 6);
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

// Partition into two sides: the one with a majority has the shares, the other falls to its guaranteed shares.
void partition() {
  simulated_cluster w(9, 7);
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

// Paused past its lease and resumed: it acts at no instant on the old share.
void paused() {
  simulated_cluster w(3, 8);
  for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
  w.run(6s);
  CHECK(w.share(2) > 25);
  w.paused.insert(2);
  w.run(5s);
  CHECK(w.share(2) == 1 && w.share(1) > 40);  // the others have it
  w.paused.erase(2);
  w.run(3s);
  CHECK(w.share(2) > 25);
}

// A member with a slow clock falls silent, the leader has a fast clock, and the others are short of share:
// they get its share only once its lease has surely expired. The time of the last renewal differs from seed
// to seed.
void expiry() {
  runs_settle = false;
  for (std::uint64_t s = 1; s <= 20; ++s) {
    simulated_cluster w(3, s);
    for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
    w.run(5s + std::chrono::milliseconds(s * 37));
    CHECK(w.leader() == 0 && w.share(1) > 25);
    for (const int other : {0, 2}) w.cut.insert({1, other}), w.cut.insert({other, 1});
    w.run(3s);
    CHECK(w.share(1) == 1 && w.share(2) > 35);
  }
}

// The leader is killed and restarted again and again.
void leader_changes_repeatedly() {
  runs_settle = false;
  for (std::uint64_t s = 1; s <= 10; ++s) {
    simulated_cluster w(5, s);
    for (int i = 0; i < 5; ++i) w.demand[i] = {300, 300};
    w.run(5s);
    for (int turn = 0; turn < 6; ++turn) {
      const int who = w.leader();
      if (who >= 0) w.kill(who);
      // Half of the others do not reach the next leader for a while, and hold what they have.
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
  runs_settle = false;
  random_schedules();
}

// Grants to any request but the latest change nothing, nor does a second one to the latest, nor one to
// another session.
void stale_answers() {
  lease_holder h({.lease = {1s, drift}, .renew_interval = 200ms}, {{"rate", 90, 1, 1, false, {}}}, "m", 5, 7);
  h.become_member(0s);
  const std::vector<quota_usage> wants = {{0, 300}};
  const auto grant = [](std::uint64_t sequence, double held, std::uint64_t session = 5) {
    return message{message_kind::quota_grant, "l", 1, sequence, session, 7, {{held, 0}}};
  };
  h.step(10s, "l", wants);
  h.step(10300ms, "l", wants);
  const std::vector<envelope> asked = h.take_outbox();
  CHECK(asked.size() == 2 && asked[0].content.sequence == 1 && asked[1].content.sequence == 2);
  h.receive(10350ms, grant(1, 50));
  h.receive(10350ms, grant(2, 50, 4));
  CHECK(h.share(0, 10350ms) == 1);
  h.receive(10400ms, grant(2, 10));
  h.receive(10450ms, grant(2, 50));
  CHECK(h.share(0, 10450ms) == 11);
  CHECK(h.share(0, 11299ms) == 11 && h.share(0, 11300ms) == 1);  // one lease from when the request was sent
}

// A voter that has just started does not know its earlier votes: it refuses all for as long as one may bind.
// Then it grants to one candidate at a time, and refuses candidates beside a leader it knows of.
void voter() {
  const lease_options rules{1s, drift};
  leader_election v(rules, {"a", "b", "v"}, "v", 0, 10s);
  const auto answer = [&](time_point at, const std::string& from, bool leading = false) {
    v.receive(at, message{message_kind::vote_request, from, 1, 1, 0, 0, {}, leading});
    return v.take_outbox().at(0).content.kind;
  };
  CHECK(answer(10s, "a") == message_kind::vote_refused);
  CHECK(answer(10s + safe_expiry_wait(rules) - 1ms, "a") == message_kind::vote_refused);
  CHECK(answer(10s + safe_expiry_wait(rules), "a") == message_kind::vote_granted);
  CHECK(answer(11500ms, "b") == message_kind::vote_refused);
  CHECK(answer(11600ms, "a") == message_kind::vote_granted);  // renewed
  CHECK(answer(11700ms, "b", true) ==
        message_kind::vote_refused);  // it leads by others' votes, and this one still binds
  CHECK(answer(12600ms, "a") == message_kind::vote_refused);  // not renewed: another leads
  CHECK(answer(11600ms + safe_expiry_wait(rules), "b", true) == message_kind::vote_granted);
}

// The transitions of leader_election: follower, candidate, leader, candidate again once the lease expired,
// follower once another leads.
void election_roles() {
  const lease_options lease{1s, drift};
  leader_election election(lease, {"a", "b", "c"}, "a", 0, 0s);
  const time_point start = safe_expiry_wait(lease);
  CHECK(election.role(start) == election_role::follower);
  election.step(start, false);
  CHECK(election.role(start) == election_role::follower);
  election.step(start, true);
  CHECK(election.role(start) == election_role::candidate);
  const message request = election.take_outbox().at(0).content;
  election.receive(start + 10ms,
                   message{message_kind::vote_granted, "b", request.term, request.sequence, 0, 0, {}});
  CHECK(election.role(start + 10ms) == election_role::leader && election.leader(start + 10ms) == "a");
  CHECK(election.role(start + 1s - 1ms) == election_role::leader);
  CHECK(election.role(start + 1s) == election_role::candidate && !election.leader(start + 1s));
  election.receive(start + 1s, message{message_kind::vote_request, "b", request.term + 1, 1, 0, 0, {}, true});
  election.step(start + 1s, true);
  CHECK(election.role(start + 1s) == election_role::follower && election.leader(start + 1s) == "b");
}

// Units in flight beyond an expired lease count as committed but are no claim: others may have got the share.
void in_flight_beyond_lease() {
  allocator a({.lease = {1s, drift}, .joining_reserve = 0, .member_count = 2}, {{"runs", 10, 0, 1, true, {}}},
              7, "l", 1, 0s);
  const auto given = [&](const std::string& from, quota_entry e) {
    a.receive(10s, message{message_kind::quota_request, from, 0, 1, 1, 7, {e}});
    return a.take_outbox().at(0).content.entries.at(0).held;
  };
  CHECK(given("x", {0, 100, 0}) == 10);
  CHECK(given("y", {8, 100, 0}) == 0);
  CHECK(a.committed(0, 10s) == 18);  // both count until the next request
}

// Nodes with different limits configured get nothing from each other.
void mismatched_configuration() {
  simulated_cluster w(3, 9);
  for (int i = 0; i < 3; ++i) w.demand[i] = {300, 300};
  auto larger = simulated_cluster::quotas();
  larger[0].global_limit = 900;
  w.members[2] = std::make_unique<quota_coordinator>(simulated_cluster::options(), larger, w.names,
                                                     simulated_cluster::member_address(2), 99, w.local(2));
  w.members[2]->become_member(w.local(2));
  w.run(8s);
  CHECK(w.share(2) == 1 && w.share(1) > 30);
  CHECK(w.members.at(w.leader())->mismatched_requests() > 0);
}

// A second process beside the member's first: it finds the leader without being told, is granted shares while
// both run, and has no guaranteed share. That it has once it is the member, beside what it holds.
void hot_restart() {
  simulated_cluster w(5, 10);
  for (int i = 0; i < 5; ++i) w.demand[i] = {300, 300};
  w.run(8s);
  w.start_replacement(3);
  CHECK(w.share(3 + simulated_cluster::replacement_offset) == 0);
  w.run(4s);
  const double before = w.share(3 + simulated_cluster::replacement_offset);
  CHECK(before > 10 && w.share(3) > 10);
  // Its fair share of the divisible pool, without the guaranteed share that the others have beside theirs.
  CHECK(before < 85 * 0.95 / 6 + 0.1);
  w.finish_replacement(3);
  CHECK(w.share(3) == before + 1);
  w.run(4s);
  CHECK(w.share(3) > 15);
}

// Units that an earlier process left in flight count in the member's guaranteed share until they have surely
// ended.
void guaranteed_share_after_settling() {
  lease_holder h({.lease = {1s, drift}}, {{"rate", 90, 1, 1, false, {}}, {"runs", 60, 2, 1, true, 900ms}},
                 "m", 5, 7);
  CHECK(h.share(0, 10s) == 0 && h.share(1, 10s) == 0);
  h.become_member(10s);
  CHECK(h.share(0, 10s) == 1 && h.share(1, 10s) == 0);
  CHECK(h.share(1, 10899ms) == 0 && h.share(1, 10900ms) == 2);
}

// After the leader was lost, rates grow again once the leases that it granted have expired; they do not wait
// for the settling time of in-flight quotas.
void rates_need_no_settling() {
  const std::vector<quota_definition> all = {{"rate", 90, 0, 1, false, {}}, {"runs", 60, 0, 1, true, 5s}};
  const lease_options rules{1s, drift};
  allocator a({.lease = rules, .joining_reserve = 0, .member_count = 2}, all, 7, "l", 1, 0s);
  std::uint64_t sequence = 0;
  const auto given = [&](time_point at) {
    a.receive(at, message{message_kind::quota_request, "x", 0, ++sequence, 1, 7, {{0, 50, 0}, {0, 50, 0}}});
    return a.take_outbox().at(0).content.entries;
  };
  CHECK(given(safe_expiry_wait(rules) - 1ms)[0].held == 0);
  CHECK(given(safe_expiry_wait(rules))[0].held == 50);
  CHECK(given(safe_expiry_wait(rules) + 4999ms)[1].held == 0);
  CHECK(given(safe_expiry_wait(rules) + 5s)[1].held == 50);
}

// Arrivals a second with headroom; a burst decays; what was rejected for want of a share counts as demand for
// a while.
void demands() {
  rate_demand_estimator r;
  time_point at = 10s;
  double demand = 0;
  for (int i = 0; i < 100; ++i, at += 50ms) {
    for (int k = 0; k < 5; ++k) r.count_arrival();
    demand = r.measure(at).demand;
  }
  CHECK(r.per_second() > 95 && r.per_second() < 105);
  CHECK(demand > 1.05 * r.per_second());
  CHECK(r.measure(at + 5s).demand < 3);
  in_flight_demand_estimator f;
  CHECK(f.measure(1s, 4, 2, 0).demand > 7 && f.measure(1s, 4, 2, 0).in_flight == 4);
  const double wanted = f.measure(1050ms, 4, 2, 50).demand;
  CHECK(wanted > 56);
  CHECK(f.measure(8s, 4, 2, 50).demand < 8);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"random", random_schedules},
      {"fair_shares", fair_shares},
      {"burst", burst},
      {"leader_lost", leader_lost},
      {"partition", partition},
      {"expiry", expiry},
      {"leader_changes_repeatedly", leader_changes_repeatedly},
      {"random_rates", random_rates},
      {"stale_answers", stale_answers},
      {"in_flight_beyond_lease", in_flight_beyond_lease},
      {"voter", voter},
      {"election_roles", election_roles},
      {"paused", paused},
      {"hot_restart", hot_restart},
      {"guaranteed_share_after_settling", guaranteed_share_after_settling},
      {"rates_need_no_settling", rates_need_no_settling},
      {"demands", demands},
      {"mismatched_configuration", mismatched_configuration}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
