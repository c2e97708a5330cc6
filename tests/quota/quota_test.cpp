// Quotas of a cluster simulated in one process (ctest -L quota). Clocks drift apart; links lose, duplicate
// and delay messages, and partition; members are paused, killed and restarted. At every step of the simulated
// time an audit checks that the shares enforced by all members do not exceed the limit.
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

// Quota 0: requests per second. Quota 1: runs in flight, each lasting up to `longest_run`.
constexpr duration longest_run = 800ms;
// Some cases set no settling time, because it would hide a lease that the allocator treats as expired too
// early.
bool has_settling_time = true;

struct simulated_cluster {
  explicit simulated_cluster(int member_count, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < member_count; ++i) names.insert(member_address(i));
    for (int i = 0; i < member_count; ++i) {
      // One third of the clocks are as fast as the drift allows, one third are as slow as it allows, and one
      // third are exact.
      rate[i] = i % 3 == 0 ? 1 + drift : i % 3 == 1 ? 1 - drift : 1;
      offset[i] = std::chrono::seconds(random() % 100000);
      demand[i] = {0, 0};
      start(i);
    }
  }
  static std::string member_address(int i) { return std::string("m") + static_cast<char>('a' + i); }
  // The replacement process of member i, which waits for the member's address, has the number i +
  // replacement_offset.
  static constexpr int replacement_offset = 100;
  static std::string process_address(int process) {
    return process < replacement_offset
               ? member_address(process)
               : std::string("g") + static_cast<char>('a' + process - replacement_offset);
  }
  static int process_of(const std::string& address) {
    return address[1] - 'a' + (address[0] == 'g' ? replacement_offset : 0);
  }
  static std::vector<quota_definition> quotas() {
    return {{"rate", 90, 1, 1, false, {}},
            {"runs", 60, 2, 1, true,
             has_settling_time ? std::chrono::duration_cast<duration>(longest_run * 1.2) : duration{}}};
  }
  static quota_coordinator_options options() {
    quota_coordinator_options options;
    options.lease = {1s, drift};
    options.renew_interval = 200ms;
    options.min_request_interval = 20ms;
    return options;
  }
  duration local(int process) const {
    const int i = process % replacement_offset;
    return offset.at(i) + std::chrono::duration_cast<duration>(now * rate.at(i));
  }
  void start(int i) {
    members[i] = std::make_unique<quota_coordinator>(options(), quotas(), names, member_address(i),
                                                     ++sessions, local(i));
    members[i]->become_member(local(i));
    last_believed_alive[i].clear();
  }
  // Ends a process; its runs in flight continue until they complete.
  void kill(int process) {
    members.erase(process);
    auto& runs = orphaned_runs[process % replacement_offset];
    runs.insert(runs.end(), running[process].begin(), running[process].end());
    running[process].clear();
  }
  // Hot restart: starts a replacement process of member i; finish_replacement() ends the previous process.
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
  bool cut_between(int sender, int recipient) const {
    return cut.contains({sender % replacement_offset, recipient % replacement_offset});
  }

  void tick(double loss = 0, double duplication = 0, duration max_delay = 5ms) {
    now += 10ms;
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto& [i, member] : members) {
      if (paused.contains(i % replacement_offset)) continue;
      auto& runs = running[i];
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      const double share = member->share(1, local(i));
      // Starts as many runs as the share allows. As in the node, the clock is read before each start.
      const auto& wanted = demand[i % replacement_offset];
      const double max_runs = std::min(std::floor(share), wanted[1]);
      while (static_cast<double>(runs.size()) + 1 <= max_runs)
        runs.push_back(now + std::chrono::duration_cast<duration>(chance(random) * longest_run));
      const std::vector<quota_usage> uses = {{0, wanted[0]}, {static_cast<double>(runs.size()), wanted[1]}};
      member->step(local(i), uses, [&](const std::string& other) {
        const int k = other[1] - 'a';
        // A member is believed alive for 500 ms after it failed: safety must not depend on correct beliefs.
        if (members.contains(k) && !paused.contains(k) && !cut_between(i, k) && !cut_between(k, i)) {
          last_believed_alive[i][k] = now;
          return true;
        }
        return now - last_believed_alive[i][k] < 500ms;
      });
      for (const envelope& outgoing : member->take_outbox()) {
        const int recipient = process_of(outgoing.recipient);
        if (cut_between(i, recipient) || chance(random) < loss) continue;
        for (int copies = chance(random) < duplication ? 2 : 1; copies > 0; --copies)
          datagrams.insert({now + std::chrono::duration_cast<duration>(chance(random) * max_delay),
                            {recipient, outgoing.content}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [recipient, content] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      if (members.contains(recipient) && !paused.contains(recipient % replacement_offset))
        members.at(recipient)->receive(local(recipient), content);
    }
    audit();
  }
  // Checks the sum of the shares that all members, paused ones included, enforce at this instant.
  void audit() {
    double sums[2] = {0, 0};
    int leading = 0;
    for (const auto& [i, member] : members) {
      sums[0] += member->share(0, local(i));
      const auto runs =
          std::count_if(running[i].begin(), running[i].end(), [&](duration ends) { return ends > now; });
      sums[1] += std::max(std::floor(member->share(1, local(i))), static_cast<double>(runs));
      leading += member->is_leader(local(i));
    }
    for (auto& [i, runs] : orphaned_runs) {
      std::erase_if(runs, [&](duration ends) { return ends <= now; });
      sums[1] += static_cast<double>(runs.size());
    }
    // Members that are down keep their guaranteed shares.
    for (int i = 0; i < static_cast<int>(names.size()); ++i)
      if (!members.contains(i)) sums[0] += quotas()[0].guaranteed_share;
    CHECK(leading <= 1);
    for (std::size_t quota = 0; quota < (has_settling_time ? 2u : 1u); ++quota) {
      highest[quota] = std::max(highest[quota], sums[quota]);
      CHECK(sums[quota] <= quotas()[quota].global_limit + 1e-6);
    }
  }
  void run(duration length, double loss = 0, double duplication = 0, duration max_delay = 5ms) {
    for (const duration until = now + length; now < until;) tick(loss, duplication, max_delay);
  }
  double share(int i, std::size_t quota_index = 0) const {
    return members.at(i)->share(quota_index, local(i));
  }
  double sum(std::size_t quota_index = 0) const {
    double total = 0;
    for (const auto& [i, member] : members) total += share(i, quota_index);
    return total;
  }
  int leader() const {
    for (const auto& [i, member] : members)
      if (member->is_leader(local(i))) return i;
    return -1;
  }

  std::mt19937_64 random;
  duration now = 1s;
  std::set<std::string> names;
  std::map<int, double> rate;
  std::map<int, duration> offset;
  std::map<int, std::array<double, 2>> demand;
  std::map<int, std::unique_ptr<quota_coordinator>> members;
  std::map<int, std::vector<duration>> running;        // by process: the end of each run, in simulated time
  std::map<int, std::vector<duration>> orphaned_runs;  // by member: the ends of runs whose process has ended
  std::map<int, std::map<int, duration>> last_believed_alive;
  std::set<std::pair<int, int>> cut;  // links that drop messages, as (sender, recipient)
  std::set<int> paused;
  std::multimap<duration, std::pair<int, message>> datagrams;
  std::uint64_t sessions = 0;
  double highest[2] = {0, 0};
};

void random_faults() {
  CHECK(rc::check("the sum of the shares enforced by all members never exceeds the limit", [] {
    const int member_count = *rc::gen::inRange(2, 8);
    simulated_cluster cluster(member_count, *rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 60);
    for (int step = 0; step < steps; ++step) {
      const int target = *rc::gen::inRange(0, member_count);
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          for (int k = 0; k < member_count; ++k)
            if (*rc::gen::inRange(0, 2) == 0) cluster.cut.insert({target, k});  // in one direction
          break;
        case 1: cluster.cut.clear(); break;
        case 2: cluster.paused.insert(target); break;
        case 3: cluster.paused.erase(target); break;
        case 4:
          if (!cluster.paused.contains(target)) cluster.kill(target);
          break;
        case 5:
          if (!cluster.members.contains(target))
            cluster.members.contains(target + simulated_cluster::replacement_offset)
                ? cluster.finish_replacement(target)
                : cluster.start(target);
          break;
        case 6:
          if (!cluster.paused.contains(target)) cluster.start_replacement(target);
          break;
        case 7:
          if (!cluster.paused.contains(target)) cluster.finish_replacement(target);
          break;
        default:
          cluster.demand[target] = {static_cast<double>(*rc::gen::inRange(0, 200)),
                                    static_cast<double>(*rc::gen::inRange(0, 100))};
      }
      const double loss = *rc::gen::inRange(0, 40) / 100.0;
      const auto max_delay = std::chrono::milliseconds(*rc::gen::inRange(1, 600));
      cluster.run(std::chrono::milliseconds(*rc::gen::inRange(10, 900)), loss, 0.1, max_delay);
    }
    // Without faults and with demand above the limit, the cluster uses the limit minus the reserve.
    cluster.cut.clear();
    cluster.paused.clear();
    for (int i = 0; i < member_count; ++i) {
      cluster.finish_replacement(i);
      if (!cluster.members.contains(i)) cluster.start(i);
      cluster.demand[i] = {500, 500};
    }
    cluster.run(12s);
    RC_ASSERT(cluster.sum(0) >= 0.9 * 90);
    RC_ASSERT(cluster.sum(1) >= 0.9 * 60);
  }));
}

void weighted_max_min_shares() {
  CHECK(rc::check(
      "shares add up to min(pool, total demand), never exceed demand, and are weighted max-min fair", [] {
        const auto member_count = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
        std::vector<double> demands, weights;
        double wanted = 0;
        for (std::size_t i = 0; i < member_count; ++i) {
          demands.push_back(*rc::gen::inRange(0, 100));
          weights.push_back(*rc::gen::inRange(1, 5));
          wanted += demands.back();
        }
        const double pool = *rc::gen::inRange(0, 400);
        const std::vector<double> got = max_min_shares(pool, demands, weights);
        const double sum = std::accumulate(got.begin(), got.end(), 0.0);
        RC_ASSERT(std::fabs(sum - std::min(pool, wanted)) < 1e-6);
        for (std::size_t i = 0; i < member_count; ++i) {
          RC_ASSERT(got[i] <= demands[i] + 1e-9);
          if (got[i] + 1e-6 >= demands[i]) continue;
          for (std::size_t k = 0; k < member_count; ++k)
            RC_ASSERT(got[k] / weights[k] <= got[i] / weights[i] + 1e-6);
        }
      }));
}

// The demand of one member rises while the other members are idle: its share must grow within two renewals.
// When the demand of all members rises, the quota must be divided equally.
void demand_burst() {
  simulated_cluster cluster(9, 5);
  for (int i = 0; i < 9; ++i) cluster.demand[i] = {5, 5};
  cluster.run(6s);
  CHECK(cluster.leader() >= 0);
  cluster.demand[4] = {300, 300};
  cluster.run(400ms);  // two renewals
  CHECK(cluster.share(4) > 20);
  for (int i = 0; i < 9; ++i) cluster.demand[i] = {300, 300};
  cluster.run(2s);
  for (int i = 0; i < 9; ++i) CHECK(cluster.share(i) > 9 && cluster.share(i) < 11);
}

// After the leader fails, the next leader must renew the shares in force and keep their sum.
void leader_failure() {
  simulated_cluster cluster(9, 6);
  for (int i = 0; i < 9; ++i) cluster.demand[i] = {300, 300};
  cluster.run(8s);
  const int first = cluster.leader();
  CHECK(first == 0);
  cluster.kill(0);
  double least = 1e9;
  for (int i = 0; i < 100 && cluster.leader() != 1; ++i) {
    cluster.run(50ms);
    least = std::min(least, cluster.share(8));
  }
  CHECK(cluster.leader() == 1);
  cluster.run(4s);
  CHECK(cluster.share(8) > 10 && cluster.sum() > 0.85 * 90);
}

// In a partition the majority side must get the shares, and the members of the minority side must fall back
// to their guaranteed shares.
void partition() {
  simulated_cluster cluster(9, 7);
  for (int i = 0; i < 9; ++i) cluster.demand[i] = {300, 300};
  cluster.run(8s);
  for (int a = 0; a < 4; ++a)
    for (int b = 4; b < 9; ++b) cluster.cut.insert({a, b}), cluster.cut.insert({b, a});
  cluster.run(8s);
  for (int i = 0; i < 4; ++i) CHECK(cluster.share(i) == 1);
  for (int i = 4; i < 9; ++i) CHECK(cluster.share(i) > 14);
  cluster.cut.clear();
  cluster.run(6s);
  for (int i = 0; i < 9; ++i) CHECK(cluster.share(i) > 9);
}

// A member that is paused until its lease has expired must not use the expired share at any instant after it
// resumes.
void paused_member() {
  simulated_cluster cluster(3, 8);
  for (int i = 0; i < 3; ++i) cluster.demand[i] = {300, 300};
  cluster.run(6s);
  CHECK(cluster.share(2) > 25);
  cluster.paused.insert(2);
  cluster.run(5s);
  CHECK(cluster.share(2) == 1 && cluster.share(1) > 40);  // the share was granted to the other members
  cluster.paused.erase(2);
  cluster.run(3s);
  CHECK(cluster.share(2) > 25);
}

// The link of a member with a slow clock fails while the leader has a fast clock and the other members need
// larger shares. They must get that member's share only after its lease has expired on its own clock. The
// time of the last renewal differs between seeds.
void lease_expiry_with_drift() {
  has_settling_time = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulated_cluster cluster(3, seed);
    for (int i = 0; i < 3; ++i) cluster.demand[i] = {300, 300};
    cluster.run(5s + std::chrono::milliseconds(seed * 37));
    CHECK(cluster.leader() == 0 && cluster.share(1) > 25);
    for (const int other : {0, 2}) cluster.cut.insert({1, other}), cluster.cut.insert({other, 1});
    cluster.run(3s);
    CHECK(cluster.share(1) == 1 && cluster.share(2) > 35);
  }
}

// The leader is killed and restarted repeatedly: no leader may grant shares that are still in force under an
// earlier grant.
void repeated_leader_changes() {
  has_settling_time = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_cluster cluster(5, seed);
    for (int i = 0; i < 5; ++i) cluster.demand[i] = {300, 300};
    cluster.run(5s);
    for (int turn = 0; turn < 6; ++turn) {
      const int target = cluster.leader();
      if (target >= 0) cluster.kill(target);
      // Two members cannot send for a while: they keep their shares, but cannot report them to the next
      // leader.
      for (int i = 0; i < 5; ++i)
        for (int k = 0; k < 2; ++k)
          if (i != target) cluster.cut.insert({(target + 1 + k) % 5, i});
      cluster.run(std::chrono::milliseconds(700 + 90 * turn));
      cluster.cut.clear();
      cluster.run(1s);
      if (target >= 0) cluster.start(target);
      cluster.run(2s);
    }
  }
}

void random_faults_without_settling() {
  has_settling_time = false;
  random_faults();
}

// The lease holder must ignore a grant that answers an earlier request or another session, and a second grant
// that answers the latest request.
void stale_grants_ignored() {
  lease_holder holder({.lease = {1s, drift}, .renew_interval = 200ms}, {{"rate", 90, 1, 1, false, {}}}, "m",
                      5, 7);
  holder.become_member(0s);
  const std::vector<quota_usage> wants = {{0, 300}};
  const auto grant = [](std::uint64_t sequence, double held, std::uint64_t session = 5) {
    return message{message_kind::quota_grant, "l", 1, sequence, session, 7, {{held, 0}}};
  };
  holder.step(10s, "l", wants);
  holder.step(10300ms, "l", wants);
  const std::vector<envelope> asked = holder.take_outbox();
  CHECK(asked.size() == 2 && asked[0].content.sequence == 1 && asked[1].content.sequence == 2);
  holder.receive(10350ms, grant(1, 50));
  holder.receive(10350ms, grant(2, 50, 4));
  CHECK(holder.share(0, 10350ms) == 1);
  holder.receive(10400ms, grant(2, 10));
  holder.receive(10450ms, grant(2, 50));
  CHECK(holder.share(0, 10450ms) == 11);
  CHECK(holder.share(0, 11299ms) == 11 &&
        holder.share(0, 11300ms) == 1);  // the lease starts when the request is sent
}

// A voter that has just started does not know its earlier votes, so it must refuse all requests until any
// earlier vote has expired. Afterwards it must vote for one candidate at a time, and refuse candidates while
// it knows of another leader.
void voter_restart_and_renewal() {
  const lease_options rules{1s, drift};
  leader_election voter(rules, {"a", "b", "v"}, "v", 0, 10s);
  const auto answer = [&](time_point now, const std::string& candidate, bool leading = false) {
    voter.receive(now, message{message_kind::vote_request, candidate, 1, 1, 0, 0, {}, leading});
    return voter.take_outbox().at(0).content.kind;
  };
  CHECK(answer(10s, "a") == message_kind::vote_refused);
  CHECK(answer(10s + safe_expiry_wait(rules) - 1ms, "a") == message_kind::vote_refused);
  CHECK(answer(10s + safe_expiry_wait(rules), "a") == message_kind::vote_granted);
  CHECK(answer(11500ms, "b") == message_kind::vote_refused);
  CHECK(answer(11600ms, "a") == message_kind::vote_granted);  // renewal
  // "b" has become the leader by the votes of other members. This member still refuses it its vote, because
  // its vote for "a" is valid.
  CHECK(answer(11700ms, "b", true) == message_kind::vote_refused);
  CHECK(answer(12600ms, "a") == message_kind::vote_refused);  // no renewal while "b" is the known leader
  CHECK(answer(11600ms + safe_expiry_wait(rules), "b", true) == message_kind::vote_granted);
}

// The role transitions of leader_election: follower, candidate, leader, candidate again after the lease has
// expired, follower after another member has become the leader.
void election_role_transitions() {
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

// Units that are in flight after their lease expired count as committed, but must not be renewed: the share
// may have been granted to another node.
void in_flight_beyond_lease() {
  allocator leader_allocator({.lease = {1s, drift}, .joining_reserve = 0, .member_count = 2},
                             {{"runs", 10, 0, 1, true, {}}}, 7, "l", 1, 0s);
  const auto granted_share = [&](const std::string& sender, quota_entry requested) {
    leader_allocator.receive(10s, message{message_kind::quota_request, sender, 0, 1, 1, 7, {requested}});
    return leader_allocator.take_outbox().at(0).content.entries.at(0).held;
  };
  CHECK(granted_share("x", {0, 100, 0}) == 10);
  CHECK(granted_share("y", {8, 100, 0}) == 0);
  CHECK(leader_allocator.committed(0, 10s) == 18);  // the units of both nodes count until the next request
}

// Nodes with different configured limits must not grant each other any share.
void mismatched_configuration() {
  simulated_cluster cluster(3, 9);
  for (int i = 0; i < 3; ++i) cluster.demand[i] = {300, 300};
  auto larger = simulated_cluster::quotas();
  larger[0].global_limit = 900;
  cluster.members[2] =
      std::make_unique<quota_coordinator>(simulated_cluster::options(), larger, cluster.names,
                                          simulated_cluster::member_address(2), 99, cluster.local(2));
  cluster.members[2]->become_member(cluster.local(2));
  cluster.run(8s);
  CHECK(cluster.share(2) == 1 && cluster.share(1) > 30);
  CHECK(cluster.members.at(cluster.leader())->mismatched_requests() > 0);
}

// Hot restart: while the previous process is still the member, the new process must find the leader by itself
// and get granted shares but no guaranteed share. After it becomes the member it must have the guaranteed
// share in addition.
void hot_restart() {
  simulated_cluster cluster(5, 10);
  for (int i = 0; i < 5; ++i) cluster.demand[i] = {300, 300};
  cluster.run(8s);
  cluster.start_replacement(3);
  CHECK(cluster.share(3 + simulated_cluster::replacement_offset) == 0);
  cluster.run(4s);
  const double share_before_takeover = cluster.share(3 + simulated_cluster::replacement_offset);
  CHECK(share_before_takeover > 10 && cluster.share(3) > 10);
  // The fair share of the divisible pool, without a guaranteed share.
  CHECK(share_before_takeover < 85 * 0.95 / 6 + 0.1);
  cluster.finish_replacement(3);
  CHECK(cluster.share(3) == share_before_takeover + 1);
  cluster.run(4s);
  CHECK(cluster.share(3) > 15);
}

// Units that an earlier process left in flight use the member's guaranteed share: a new process must not use
// that share until the settling time has passed.
void guaranteed_share_after_settling() {
  lease_holder holder({.lease = {1s, drift}},
                      {{"rate", 90, 1, 1, false, {}}, {"runs", 60, 2, 1, true, 900ms}}, "m", 5, 7);
  CHECK(holder.share(0, 10s) == 0 && holder.share(1, 10s) == 0);
  holder.become_member(10s);
  CHECK(holder.share(0, 10s) == 1 && holder.share(1, 10s) == 0);
  CHECK(holder.share(1, 10899ms) == 0 && holder.share(1, 10900ms) == 2);
}

// A new leader must grant rates as soon as the leases of the previous leader have expired; only in-flight
// quotas wait for their settling time in addition.
void rates_need_no_settling() {
  const std::vector<quota_definition> quotas = {{"rate", 90, 0, 1, false, {}}, {"runs", 60, 0, 1, true, 5s}};
  const lease_options rules{1s, drift};
  allocator leader_allocator({.lease = rules, .joining_reserve = 0, .member_count = 2}, quotas, 7, "l", 1,
                             0s);
  std::uint64_t sequence = 0;
  const auto granted = [&](time_point now) {
    leader_allocator.receive(
        now, message{message_kind::quota_request, "x", 0, ++sequence, 1, 7, {{0, 50, 0}, {0, 50, 0}}});
    return leader_allocator.take_outbox().at(0).content.entries;
  };
  CHECK(granted(safe_expiry_wait(rules) - 1ms)[0].held == 0);
  CHECK(granted(safe_expiry_wait(rules))[0].held == 50);
  CHECK(granted(safe_expiry_wait(rules) + 4999ms)[1].held == 0);
  CHECK(granted(safe_expiry_wait(rules) + 5s)[1].held == 50);
}

// Rate demand is the arrivals per second plus headroom and decays after a burst. In-flight demand includes
// rejections, which decay as well.
void demand_estimators() {
  rate_demand_estimator rate_demand;
  time_point now = 10s;
  double demand = 0;
  for (int i = 0; i < 100; ++i, now += 50ms) {
    for (int k = 0; k < 5; ++k) rate_demand.count_arrival();
    demand = rate_demand.measure(now).demand;
  }
  CHECK(rate_demand.per_second() > 95 && rate_demand.per_second() < 105);
  CHECK(demand > 1.05 * rate_demand.per_second());
  CHECK(rate_demand.measure(now + 5s).demand < 3);
  in_flight_demand_estimator in_flight_demand;
  CHECK(in_flight_demand.measure(1s, 4, 2, 0).demand > 7 &&
        in_flight_demand.measure(1s, 4, 2, 0).in_flight == 4);
  const double wanted = in_flight_demand.measure(1050ms, 4, 2, 50).demand;
  CHECK(wanted > 56);
  CHECK(in_flight_demand.measure(8s, 4, 2, 50).demand < 8);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"random_faults", random_faults},
      {"weighted_max_min_shares", weighted_max_min_shares},
      {"demand_burst", demand_burst},
      {"leader_failure", leader_failure},
      {"partition", partition},
      {"lease_expiry_with_drift", lease_expiry_with_drift},
      {"repeated_leader_changes", repeated_leader_changes},
      {"random_faults_without_settling", random_faults_without_settling},
      {"stale_grants_ignored", stale_grants_ignored},
      {"in_flight_beyond_lease", in_flight_beyond_lease},
      {"voter_restart_and_renewal", voter_restart_and_renewal},
      {"election_role_transitions", election_role_transitions},
      {"paused_member", paused_member},
      {"hot_restart", hot_restart},
      {"guaranteed_share_after_settling", guaranteed_share_after_settling},
      {"rates_need_no_settling", rates_need_no_settling},
      {"demand_estimators", demand_estimators},
      {"mismatched_configuration", mismatched_configuration}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
