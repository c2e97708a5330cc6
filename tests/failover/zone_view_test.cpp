// The view of zones decided in common, under random cuts, losses and times (rapidcheck), and its hard cases
// (ctest -L failover).
#include "failover/zone_view.hpp"

#include <rapidcheck.h>

#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../check.hpp"
#include "failover/routes.hpp"

using namespace marblewharf::failover;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 100ms, lease = 1s, longest_delay = 400ms;

// Members z0-0 .. z{Z-1}-{M-1}; a partition puts each zone on side 0 or 1. In each round every member
// observes every other zone and sends its own votes, with votes of others to retransmit, to a few members of
// its side; some are lost, some are duplicated, and each copy has its own delay, so that votes overtake each
// other.
struct simulated_cluster {
  simulated_cluster(int zones, int per_zone, duration hold_down = 2s) : zone_count(zones) {
    std::map<std::string, std::string> zone_of;
    for (int z = 0; z < zones; ++z)
      for (int m = 0; m < per_zone; ++m) zone_of[name(z, m)] = zone(z);
    for (const auto& [member, z] : zone_of) {
      views.emplace(member, zone_view(zone_of, member, {.hold_down = hold_down, .vote_lease = lease}));
      zone_by_member[member] = z;
      names.push_back(member);
    }
    for (int z = 0; z < zones; ++z) side[zone(z)] = 0;
  }
  static std::string zone(int z) { return "z" + std::to_string(z); }
  static std::string name(int z, int m) { return zone(z) + "-" + std::to_string(m); }

  zone_observation observed(const std::string& member, const std::string& z) const {
    if (const auto own = observations.find({member, z}); own != observations.end()) return own->second;
    return side.at(z) == side.at(zone_by_member.at(member)) ? zone_observation::healthy
                                                            : zone_observation::down;
  }
  void round(std::mt19937_64& random, double loss) {
    now += step;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::size_t> anyone(0, names.size() - 1);
    for (auto& [member, view] : views) {
      std::vector<vote> sent;
      for (const std::string& z : view.zones()) {
        const zone_decision before = view.decision(z);
        if (const auto v = view.observe(now, z, observed(member, z))) {
          sent.push_back(*v);
          cast[{v->zone, v->epoch}][v->voter] = now;
        }
        if (view.decision(z).epoch != before.epoch) moved(z, before, view.decision(z));
      }
      for (const vote& v : view.outgoing_gossip(8)) sent.push_back(v);
      for (int copy = 0; copy < 4; ++copy) {
        const std::string& to = names[anyone(random)];
        if (side[zone_by_member[to]] != side[zone_by_member[member]] || chance(random) < loss) continue;
        const auto due = now + std::chrono::duration_cast<duration>(chance(random) * longest_delay);
        for (const vote& v : sent) datagrams.insert({due, {to, v}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [to, v] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      const zone_decision before = views.at(to).decision(v.zone);
      if (views.at(to).receive(now, v)) moved(v.zone, before, views.at(to).decision(v.zone));
    }
  }
  // What the test knows apart from the code: a decision stands only on votes that a majority of the members
  // of a majority of the other zones stood by for that very epoch lately: within the lease, and the delays of
  // the votes that were retransmitted before it.
  void moved(const std::string& z, const zone_decision& before, const zone_decision& after) {
    CHECK(after.epoch > before.epoch);
    CHECK(after.out == (after.epoch % 2 == 1));
    std::map<std::string, int> by_zone;
    for (const auto& [voter, at] : cast[{z, after.epoch}]) {
      CHECK(zone_by_member[voter] != z);
      if (now - at <= lease + 6 * (longest_delay + step)) ++by_zone[zone_by_member[voter]];
    }
    int agreeing = 0;
    for (const auto& [voters_zone, n] : by_zone)
      if (2 * n > per_zone()) ++agreeing;
    CHECK(2 * agreeing > zone_count - 1);
    decided[{z, after.epoch}].insert(after.out);
    CHECK((decided[{z, after.epoch}].size() == 1));  // never two opposite decisions in one epoch
  }
  int per_zone() const { return static_cast<int>(views.size()) / zone_count; }
  bool all_see(int side_of_observers, const std::string& z, bool out) const {
    for (const auto& [member, view] : views)
      if (side.at(zone_by_member.at(member)) == side_of_observers && zone_by_member.at(member) != z &&
          view.decision(z).out != out)
        return false;
    return true;
  }

  int zone_count;
  time_point now{};
  std::map<std::string, zone_view> views;
  std::map<std::string, std::string> zone_by_member;
  std::map<std::string, int> side;
  std::vector<std::string> names;
  std::map<std::pair<std::string, std::string>, zone_observation>
      observations;  // by member and zone, where it differs from the partition
  std::multimap<time_point, std::pair<std::string, vote>> datagrams;
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, time_point>> cast;  // last stood by
  std::map<std::pair<std::string, std::uint64_t>, std::set<bool>> decided;
};

void random_schedules() {
  CHECK(rc::check("decisions only by majorities of zones, never two in one epoch", [] {
    const int zones = *rc::gen::inRange(2, 6);
    const int per_zone = *rc::gen::inRange(1, 4);
    simulated_cluster f(zones, per_zone);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 120);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 8) == 0)  // a new partition, or healed
        for (int z = 0; z < zones; ++z) f.side[simulated_cluster::zone(z)] = *rc::gen::inRange(0, 2);
      // One member's own trouble: its observation of a zone differs from the partition.
      if (*rc::gen::inRange(0, 3) == 0) {
        const std::string& who = f.names[*rc::gen::inRange<std::size_t>(0, f.names.size())];
        const std::string z = simulated_cluster::zone(*rc::gen::inRange(0, zones));
        f.observations[{who, z}] = *rc::gen::element(zone_observation::down, zone_observation::silent,
                                                     zone_observation::uncertain, zone_observation::healthy);
      }
      f.round(random, *rc::gen::inRange(0, 60) / 100.0);
    }
    f.observations.clear();
    // Healed and without faults: after the hold-down every member has every zone in, whatever votes were lost
    // before.
    for (int z = 0; z < zones; ++z) f.side[simulated_cluster::zone(z)] = 0;
    for (int i = 0; i < 80; ++i) f.round(random, 0);
    for (int z = 0; z < zones; ++z) RC_ASSERT(f.all_see(0, simulated_cluster::zone(z), false));
  }));
}

// A zone cut off from the others both ways: the others decide it out, it decides nobody out and keeps its
// own.
void cut_off_zone() {
  simulated_cluster f(3, 3);
  std::mt19937_64 random(1);
  for (int i = 0; i < 30; ++i) f.round(random, 0.2);
  f.side["z2"] = 1;
  for (int i = 0; i < 30; ++i) f.round(random, 0.2);
  CHECK(f.all_see(0, "z2", true));
  CHECK(f.all_see(1, "z0", false) && f.all_see(1, "z1", false));  // the cut-off side holds no quorum
  f.side["z2"] = 0;
  for (int i = 0; i < 10; ++i) f.round(random, 0.2);
  CHECK(f.all_see(0, "z2", true));  // 1 s back: within the hold-down still out
  for (int i = 0; i < 40; ++i) f.round(random, 0.2);
  CHECK(f.all_see(0, "z2", false));
}

// A zone that comes and goes every half second is decided out once, and stays out until it is stable.
void flapping_zone() {
  simulated_cluster f(3, 3);
  std::mt19937_64 random(2);
  for (int i = 0; i < 10; ++i) f.round(random, 0);
  for (int i = 0; i < 100; ++i) {
    f.side["z1"] = (i / 5) % 2;
    f.round(random, 0);
    if (i >= 10) CHECK(f.all_see(0, "z1", true) || f.side["z1"] == 0);
  }
  const std::uint64_t epoch = f.views.at("z0-0").decision("z1").epoch;
  CHECK(epoch == 1);  // out once, never back while it flapped
}

// Two zones: a cut leaves each side "the majority of the other zones"; nobody is decided out.
void two_zones_never() {
  simulated_cluster f(2, 3);
  std::mt19937_64 random(3);
  f.side["z1"] = 1;
  for (int i = 0; i < 50; ++i) f.round(random, 0);
  CHECK(f.all_see(0, "z1", false) && f.all_see(1, "z0", false));
}

// Each member in turn observes z2 as down once, never two at a time: votes of different times do not add up.
void votes_do_not_add_up_over_time() {
  simulated_cluster f(3, 3);
  std::mt19937_64 random(4);
  for (int i = 0; i < 60; ++i) {
    f.observations.clear();
    if (i % 10 == 0)
      f.observations[{simulated_cluster::name(i / 10 % 2, i / 20), "z2"}] = zone_observation::down;
    f.round(random, 0);
  }
  for (const auto& [member, view] : f.views) CHECK(view.decision("z2").epoch == 0);
}

// Votes that come late and out of order: the voter's latest one counts, whatever comes last.
void overtaken_votes() {
  zone_view v({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}}, "a",
              {.hold_down = 1s, .vote_lease = 10s});
  CHECK(!v.receive(1s, vote{"c", "z1", 0, false, 8}));  // withdrawn, before the vote itself arrives
  CHECK(!v.receive(2s, vote{"c", "z1", 1, true, 7}));
  CHECK(!v.receive(2s, vote{"d", "z1", 1, true, 3}));
  CHECK(
      v.observe(2s, "z1", zone_observation::down));  // two zones of three: a majority, with this member's own
  CHECK(v.decision("z1").out);
  zone_view w({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}}, "a",
              {.hold_down = 1s, .vote_lease = 10s});
  CHECK(!w.receive(1s, vote{"c", "z1", 1, true, 7}));
  CHECK(!w.receive(9s, vote{"c", "z1", 1, true, 7}));  // a copy does not renew the lease
  CHECK(w.observe(11s, "z1", zone_observation::down) && !w.decision("z1").out);
  CHECK(w.receive(11s, vote{"c", "z1", 1, true, 9}));  // renewed
}

// Three zones that all lost each other, each voting the others out, and then meet at once: what they voted
// for while they were apart decides nobody out.
void partitions_meet() {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    simulated_cluster f(3, 3);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10; ++i) f.round(random, 0);
    for (int z = 0; z < 3; ++z) f.side[simulated_cluster::zone(z)] = z;
    for (int i = 0; i < 30; ++i) f.round(random, 0);
    for (int z = 0; z < 3; ++z) f.side[simulated_cluster::zone(z)] = 0;
    for (int i = 0; i < 40; ++i) f.round(random, 0);
    for (const auto& [member, view] : f.views)
      for (const std::string& z : view.zones()) CHECK(view.decision(z).epoch == 0);
  }
}

// The same, but z2 and the others lost each other just now: z2 observes z1 as down while z0's members are
// only suspect there, and so do not count as down. Healed at that moment, z2 agreed with z0 that z1 is out,
// though all three were up.
void partitions_meet_early() {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    simulated_cluster f(3, 3);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10; ++i) f.round(random, 0);
    for (int z = 0; z < 3; ++z) f.side[simulated_cluster::zone(z)] = z;
    for (int m = 0; m < 3; ++m)
      f.observations[{simulated_cluster::name(2, m), "z0"}] = zone_observation::silent;
    for (int i = 0; i < 30; ++i) f.round(random, 0);
    for (int z = 0; z < 3; ++z) f.side[simulated_cluster::zone(z)] = 0;
    f.observations.clear();
    for (int m = 0; m < 3; ++m)  // z1 is met a little later
      for (const int z : {0, 2})
        f.observations[{simulated_cluster::name(z, m), "z1"}] = zone_observation::down;
    for (int i = 0; i < 8; ++i) f.round(random, 0);
    f.observations.clear();
    for (int i = 0; i < 40; ++i) f.round(random, 0);
    for (const auto& [member, view] : f.views)
      for (const std::string& z : view.zones()) CHECK(view.decision(z).epoch == 0);
  }
}

// A side without a quorum does not vote; with a quorum in contact it does.
void no_vote_without_a_quorum_in_contact() {
  zone_view v({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}}, "a", {.hold_down = 1s, .vote_lease = 2s});
  CHECK(!v.observe(1s, "z2", zone_observation::silent));
  CHECK(!v.observe(1s, "z1", zone_observation::down));
  CHECK(!v.observe(2s, "z2", zone_observation::uncertain) && !v.observe(2s, "z1", zone_observation::down));
  CHECK(v.observe(3s, "z1", zone_observation::down));  // z2 not silent for a lease
}

// Rejected: a voter that is not configured, its own zone, a wrong parity.
void rejected_votes() {
  zone_view v({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}}, "a", {.hold_down = 1s});
  CHECK(!v.receive(0s, vote{"x", "z1", 1, true, 1}));
  CHECK(!v.receive(0s, vote{"b", "z1", 1, true, 1}));
  CHECK(!v.receive(0s, vote{"c", "z1", 1, false, 1}));
  CHECK(v.rejected_votes() == 3);
  CHECK(!v.receive(0s, vote{"c", "z1", 1, true, 1}));  // one zone of two others: no quorum yet
  CHECK(v.observe(0s, "z1", zone_observation::down));  // the second zone
  CHECK(v.decision("z1").out && v.decision("z1").epoch == 1);
  CHECK(!v.receive(0s, vote{"c", "z1", 1, true, 2}));  // decided already
}

// One member's observation of a zone: down only where all members are, and none answered lately.
void observations_of_zones() {
  const observation_rules rules{.since_start = 60s, .start_grace = 5s, .contact_window = 1s};
  const member_observation dead{member_state::dead, 10s}, alive{member_state::alive, 10s},
      suspect{member_state::suspect, 10s}, unheard{};
  CHECK(observe_zone(std::vector{dead, dead}, rules) == zone_observation::down);
  CHECK(observe_zone(std::vector{dead, alive}, rules) == zone_observation::healthy);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::alive, 10s, 500ms}}, rules) ==
        zone_observation::uncertain);
  CHECK(observe_zone(std::vector{dead, suspect}, rules) == zone_observation::silent);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::suspect, 500ms}}, rules) ==
        zone_observation::uncertain);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::dead, 500ms}}, rules) ==
        zone_observation::uncertain);  // only reported by others
  CHECK(observe_zone(std::vector{dead, unheard}, rules) == zone_observation::down);
  CHECK(observe_zone(std::vector{dead, unheard},
                     {.since_start = 4s, .start_grace = 5s, .contact_window = 1s}) ==
        zone_observation::uncertain);
  CHECK(observe_zone({}, rules) == zone_observation::uncertain);
  CHECK(zone_routable({1, true, {}}, true) && !zone_routable({1, true, {}}, false) &&
        zone_routable({2, false, {}}, false));
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "random")
    random_schedules();
  else if (name == "cut_off")
    cut_off_zone();
  else if (name == "flapping")
    flapping_zone();
  else if (name == "two_zones")
    two_zones_never();
  else if (name == "rejected")
    rejected_votes();
  else if (name == "over_time")
    votes_do_not_add_up_over_time();
  else if (name == "overtaken")
    overtaken_votes();
  else if (name == "meet")
    partitions_meet();
  else if (name == "meet_early")
    partitions_meet_early();
  else if (name == "no_quorum_in_contact")
    no_vote_without_a_quorum_in_contact();
  else if (name == "observations")
    observations_of_zones();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
