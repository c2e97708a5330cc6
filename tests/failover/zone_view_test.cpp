// Zone decisions by majority vote (ctest -L failover): under random partitions, message loss and delays
// (rapidcheck), and in schedules that could let two sides of a partition decide differently.
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
#include "failover/zone_observation.hpp"

using namespace marblewharf::failover;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 100ms, lease = 1s, longest_delay = 400ms;

// Members z0-0 .. z{Z-1}-{M-1}. A partition assigns a side to each zone. In each round every member observes
// every other zone and sends its own votes, and votes of others to retransmit, to four random members; only
// messages within a side arrive. Some messages are lost or duplicated, and each has its own delay, so that
// votes are reordered.
struct simulated_cluster {
  simulated_cluster(int zones, int members_per_zone, duration hold_down = 2s) : zone_count(zones) {
    for (int z = 0; z < zones; ++z)
      for (int m = 0; m < members_per_zone; ++m) zones_by_member[member_name(z, m)] = zone_name(z);
    for (const auto& [member, zone] : zones_by_member) {
      views.emplace(member,
                    zone_view(zones_by_member, member, {.hold_down = hold_down, .vote_lease = lease}));
      member_names.push_back(member);
    }
    for (int z = 0; z < zones; ++z) side[zone_name(z)] = 0;
  }
  static std::string zone_name(int index) { return "z" + std::to_string(index); }
  static std::string member_name(int zone_index, int index) {
    return zone_name(zone_index) + "-" + std::to_string(index);
  }

  zone_observation observed(const std::string& member, const std::string& zone) const {
    if (const auto own = observations.find({member, zone}); own != observations.end()) return own->second;
    return side.at(zone) == side.at(zones_by_member.at(member)) ? zone_observation::healthy
                                                                : zone_observation::down;
  }
  void round(std::mt19937_64& random, double loss) {
    now += step;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::size_t> any_member(0, member_names.size() - 1);
    for (auto& [member, view] : views) {
      std::vector<vote> sent;
      for (const std::string& zone : view.zones()) {
        const zone_decision previous = view.decision(zone);
        if (const auto own_vote = view.observe(now, zone, observed(member, zone))) {
          sent.push_back(*own_vote);
          last_cast[{own_vote->zone, own_vote->epoch}][own_vote->voter] = now;
        }
        if (view.decision(zone).epoch != previous.epoch) check_decision(zone, previous, view.decision(zone));
      }
      for (const vote& forwarded : view.outgoing_gossip(8)) sent.push_back(forwarded);
      for (int copy = 0; copy < 4; ++copy) {
        const std::string& recipient = member_names[any_member(random)];
        if (side[zones_by_member[recipient]] != side[zones_by_member[member]] || chance(random) < loss)
          continue;
        const auto due = now + std::chrono::duration_cast<duration>(chance(random) * longest_delay);
        for (const vote& content : sent) datagrams.insert({due, {recipient, content}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [recipient, content] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      const zone_decision previous = views.at(recipient).decision(content.zone);
      if (views.at(recipient).receive(now, content))
        check_decision(content.zone, previous, views.at(recipient).decision(content.zone));
    }
  }
  // Checks a new decision against the votes recorded by the test: in a majority of the other zones, a
  // majority of the members must have voted for exactly this epoch recently, that is within the lease plus
  // the delays of up to 6 retransmissions.
  void check_decision(const std::string& zone, const zone_decision& previous, const zone_decision& current) {
    CHECK(current.epoch > previous.epoch);
    CHECK(current.out == (current.epoch % 2 == 1));
    std::map<std::string, int> recent_votes;  // by the voters' zone
    for (const auto& [voter, cast_at] : last_cast[{zone, current.epoch}]) {
      CHECK(zones_by_member[voter] != zone);
      if (now - cast_at <= lease + 6 * (longest_delay + step)) ++recent_votes[zones_by_member[voter]];
    }
    int agreeing = 0;
    for (const auto& [voters_zone, vote_count] : recent_votes)
      if (2 * vote_count > members_per_zone()) ++agreeing;
    CHECK(2 * agreeing > zone_count - 1);
    decided_values[{zone, current.epoch}].insert(current.out);
    CHECK((decided_values[{zone, current.epoch}].size() == 1));  // no opposite decisions for one epoch
  }
  int members_per_zone() const { return static_cast<int>(views.size()) / zone_count; }
  bool all_see(int side_of_observers, const std::string& zone, bool out) const {
    for (const auto& [member, view] : views)
      if (side.at(zones_by_member.at(member)) == side_of_observers && zones_by_member.at(member) != zone &&
          view.decision(zone).out != out)
        return false;
    return true;
  }

  int zone_count;
  time_point now{};
  std::map<std::string, zone_view> views;
  std::map<std::string, std::string> zones_by_member;
  std::map<std::string, int> side;  // by zone
  std::vector<std::string> member_names;
  // By member and zone: an observation that differs from the partition.
  std::map<std::pair<std::string, std::string>, zone_observation> observations;
  std::multimap<time_point, std::pair<std::string, vote>> datagrams;
  // By zone and epoch, then by voter: when the vote was last cast or renewed.
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, time_point>> last_cast;
  std::map<std::pair<std::string, std::uint64_t>, std::set<bool>> decided_values;  // by zone and epoch
};

// Under random faults, every decision must be backed by a majority of the zones, and no two members may
// decide an epoch differently. After the faults end, all zones must be in again.
void random_faults() {
  CHECK(rc::check("decisions need majorities of zones; no opposite decisions for one epoch", [] {
    const int zones = *rc::gen::inRange(2, 6);
    const int members_per_zone = *rc::gen::inRange(1, 4);
    simulated_cluster cluster(zones, members_per_zone);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 120);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 8) == 0)  // a new partition, or no partition
        for (int z = 0; z < zones; ++z)
          cluster.side[simulated_cluster::zone_name(z)] = *rc::gen::inRange(0, 2);
      // A fault of one member: its observation of a zone differs from the partition.
      if (*rc::gen::inRange(0, 3) == 0) {
        const std::string& observer =
            cluster.member_names[*rc::gen::inRange<std::size_t>(0, cluster.member_names.size())];
        const std::string zone = simulated_cluster::zone_name(*rc::gen::inRange(0, zones));
        cluster.observations[{observer, zone}] =
            *rc::gen::element(zone_observation::down, zone_observation::silent, zone_observation::uncertain,
                              zone_observation::healthy);
      }
      cluster.round(random, *rc::gen::inRange(0, 60) / 100.0);
    }
    cluster.observations.clear();
    // Without a partition or other faults, every member must see every zone as in after the hold-down,
    // regardless of which votes were lost before.
    for (int z = 0; z < zones; ++z) cluster.side[simulated_cluster::zone_name(z)] = 0;
    for (int i = 0; i < 80; ++i) cluster.round(random, 0);
    for (int z = 0; z < zones; ++z) RC_ASSERT(cluster.all_see(0, simulated_cluster::zone_name(z), false));
  }));
}

// When a zone is cut off in both directions, the other zones must decide it out, and the cut-off zone must
// not decide any zone out.
void cut_off_zone() {
  simulated_cluster cluster(3, 3);
  std::mt19937_64 random(1);
  for (int i = 0; i < 30; ++i) cluster.round(random, 0.2);
  cluster.side["z2"] = 1;
  for (int i = 0; i < 30; ++i) cluster.round(random, 0.2);
  CHECK(cluster.all_see(0, "z2", true));
  CHECK(cluster.all_see(1, "z0", false) &&
        cluster.all_see(1, "z1", false));  // the cut-off side has no quorum
  cluster.side["z2"] = 0;
  for (int i = 0; i < 10; ++i) cluster.round(random, 0.2);
  CHECK(cluster.all_see(0, "z2", true));  // reachable for 1 s, less than the hold-down: still out
  for (int i = 0; i < 40; ++i) cluster.round(random, 0.2);
  CHECK(cluster.all_see(0, "z2", false));
}

// A zone whose link flaps every half second must be decided out once and stay out until it is stable.
void flapping_zone() {
  simulated_cluster cluster(3, 3);
  std::mt19937_64 random(2);
  for (int i = 0; i < 10; ++i) cluster.round(random, 0);
  for (int i = 0; i < 100; ++i) {
    cluster.side["z1"] = (i / 5) % 2;
    cluster.round(random, 0);
    if (i >= 10) CHECK(cluster.all_see(0, "z1", true) || cluster.side["z1"] == 0);
  }
  const std::uint64_t epoch = cluster.views.at("z0-0").decision("z1").epoch;
  CHECK(epoch == 1);  // decided out once, and not decided in while the link flapped
}

// With two zones, each side of a partition would have the majority of the other zones, so no zone may be
// decided out.
void two_zones_decide_nothing() {
  simulated_cluster cluster(2, 3);
  std::mt19937_64 random(3);
  cluster.side["z1"] = 1;
  for (int i = 0; i < 50; ++i) cluster.round(random, 0);
  CHECK(cluster.all_see(0, "z1", false) && cluster.all_see(1, "z0", false));
}

// The members observe z2 as down one after another, never two at the same time. Votes that were valid at
// different times must not add up to a quorum.
void votes_of_different_times_do_not_add_up() {
  simulated_cluster cluster(3, 3);
  std::mt19937_64 random(4);
  for (int i = 0; i < 60; ++i) {
    cluster.observations.clear();
    if (i % 10 == 0)
      cluster.observations[{simulated_cluster::member_name(i / 10 % 2, i / 20), "z2"}] =
          zone_observation::down;
    cluster.round(random, 0);
  }
  for (const auto& [member, view] : cluster.views) CHECK(view.decision("z2").epoch == 0);
}

// When votes arrive late or out of order, the vote with the voter's highest round must count, not the vote
// that arrives last.
void reordered_votes() {
  zone_view reordered({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}}, "a",
                      {.hold_down = 1s, .vote_lease = 10s});
  // The withdrawal with round 8 arrives before the vote with round 7.
  CHECK(!reordered.receive(1s, vote{"c", "z1", 0, false, 8}));
  CHECK(!reordered.receive(2s, vote{"c", "z1", 1, true, 7}));
  CHECK(!reordered.receive(2s, vote{"d", "z1", 1, true, 3}));
  // With this member's own vote, two of the three other zones agree, which is a majority.
  CHECK(reordered.observe(2s, "z1", zone_observation::down));
  CHECK(reordered.decision("z1").out);
  zone_view duplicated({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}}, "a",
                       {.hold_down = 1s, .vote_lease = 10s});
  CHECK(!duplicated.receive(1s, vote{"c", "z1", 1, true, 7}));
  CHECK(!duplicated.receive(9s, vote{"c", "z1", 1, true, 7}));  // a copy does not renew the lease
  CHECK(duplicated.observe(11s, "z1", zone_observation::down) && !duplicated.decision("z1").out);
  CHECK(duplicated.receive(11s, vote{"c", "z1", 1, true, 9}));  // a later round renews the vote
}

// Three zones are all cut off from each other, and each votes the others out. After the partition heals, the
// votes cast during the partition must not decide any zone out.
void partitions_heal() {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    simulated_cluster cluster(3, 3);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10; ++i) cluster.round(random, 0);
    for (int z = 0; z < 3; ++z) cluster.side[simulated_cluster::zone_name(z)] = z;
    for (int i = 0; i < 30; ++i) cluster.round(random, 0);
    for (int z = 0; z < 3; ++z) cluster.side[simulated_cluster::zone_name(z)] = 0;
    for (int i = 0; i < 40; ++i) cluster.round(random, 0);
    for (const auto& [member, view] : cluster.views)
      for (const std::string& z : view.zones()) CHECK(view.decision(z).epoch == 0);
  }
}

// As partitions_heal(), but z2 observes z0 only as silent, because the members of z0 are still suspect there,
// while it observes z1 as down. If the partition heals at that moment, the votes of z2 and z0 against z1
// would make a majority although all three zones are up.
void partitions_heal_while_suspect() {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    simulated_cluster cluster(3, 3);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10; ++i) cluster.round(random, 0);
    for (int z = 0; z < 3; ++z) cluster.side[simulated_cluster::zone_name(z)] = z;
    for (int m = 0; m < 3; ++m)
      cluster.observations[{simulated_cluster::member_name(2, m), "z0"}] = zone_observation::silent;
    for (int i = 0; i < 30; ++i) cluster.round(random, 0);
    for (int z = 0; z < 3; ++z) cluster.side[simulated_cluster::zone_name(z)] = 0;
    cluster.observations.clear();
    for (int m = 0; m < 3; ++m)  // the link to z1 heals 8 rounds later
      for (const int z : {0, 2})
        cluster.observations[{simulated_cluster::member_name(z, m), "z1"}] = zone_observation::down;
    for (int i = 0; i < 8; ++i) cluster.round(random, 0);
    cluster.observations.clear();
    for (int i = 0; i < 40; ++i) cluster.round(random, 0);
    for (const auto& [member, view] : cluster.views)
      for (const std::string& z : view.zones()) CHECK(view.decision(z).epoch == 0);
  }
}

// A member must vote a zone out only while it is in contact with enough zones for a quorum.
void no_vote_without_quorum_in_contact() {
  zone_view view({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}}, "a", {.hold_down = 1s, .vote_lease = 2s});
  CHECK(!view.observe(1s, "z2", zone_observation::silent));
  CHECK(!view.observe(1s, "z1", zone_observation::down));
  CHECK(!view.observe(2s, "z2", zone_observation::uncertain) &&
        !view.observe(2s, "z1", zone_observation::down));
  CHECK(view.observe(3s, "z1", zone_observation::down));  // z2 was last silent one lease ago
}

// A vote is rejected if the voter is not configured, if it concerns the voter's own zone, or if its value
// does not match the parity of the epoch.
void rejected_votes() {
  zone_view view({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}}, "a", {.hold_down = 1s});
  CHECK(!view.receive(0s, vote{"x", "z1", 1, true, 1}));
  CHECK(!view.receive(0s, vote{"b", "z1", 1, true, 1}));
  CHECK(!view.receive(0s, vote{"c", "z1", 1, false, 1}));
  CHECK(view.rejected_votes() == 3);
  CHECK(!view.receive(0s, vote{"c", "z1", 1, true, 1}));  // one of the two other zones: no quorum yet
  CHECK(view.observe(0s, "z1", zone_observation::down));  // this member's own vote adds the second zone
  CHECK(view.decision("z1").out && view.decision("z1").epoch == 1);
  CHECK(!view.receive(0s, vote{"c", "z1", 1, true, 2}));  // epoch 1 is already decided
}

// A member must observe a zone as down only if all members of the zone are down and none has answered
// recently.
void zone_observations() {
  const observation_rules rules{.since_start = 60s, .start_grace = 5s, .contact_window = 1s};
  const member_observation dead{member_state::dead, 10s}, alive{member_state::alive, 10s},
      suspect{member_state::suspect, 10s}, unknown{};
  CHECK(observe_zone(std::vector{dead, dead}, rules) == zone_observation::down);
  CHECK(observe_zone(std::vector{dead, alive}, rules) == zone_observation::healthy);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::alive, 10s, 500ms}}, rules) ==
        zone_observation::uncertain);
  CHECK(observe_zone(std::vector{dead, suspect}, rules) == zone_observation::silent);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::suspect, 500ms}}, rules) ==
        zone_observation::uncertain);
  CHECK(observe_zone(std::vector{dead, member_observation{member_state::dead, 500ms}}, rules) ==
        zone_observation::uncertain);  // the second one is dead by gossip only: it has just answered
  CHECK(observe_zone(std::vector{dead, unknown}, rules) == zone_observation::down);
  CHECK(observe_zone(std::vector{dead, unknown},
                     {.since_start = 4s, .start_grace = 5s, .contact_window = 1s}) ==
        zone_observation::uncertain);
  CHECK(observe_zone({}, rules) == zone_observation::uncertain);
  CHECK(is_zone_routable({1, true, {}}, true) && !is_zone_routable({1, true, {}}, false) &&
        is_zone_routable({2, false, {}}, false));
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "random_faults")
    random_faults();
  else if (name == "cut_off_zone")
    cut_off_zone();
  else if (name == "flapping_zone")
    flapping_zone();
  else if (name == "two_zones")
    two_zones_decide_nothing();
  else if (name == "rejected_votes")
    rejected_votes();
  else if (name == "votes_of_different_times")
    votes_of_different_times_do_not_add_up();
  else if (name == "reordered_votes")
    reordered_votes();
  else if (name == "partitions_heal")
    partitions_heal();
  else if (name == "partitions_heal_while_suspect")
    partitions_heal_while_suspect();
  else if (name == "no_quorum_in_contact")
    no_vote_without_quorum_in_contact();
  else if (name == "zone_observations")
    zone_observations();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
