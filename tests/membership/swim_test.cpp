// The membership state machine over a simulated network in one process (ctest -L membership).
#include "membership/swim.hpp"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

#include "../check.hpp"

using namespace marblewharf::membership;
using namespace std::chrono_literals;

namespace {

// Nine members in three zones. A message arrives at the next tick, unless its sender or recipient is cut off.
struct simulated_cluster {
  explicit simulated_cluster(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < 9; ++i) {
      const std::string address = "127.0.0.1:" + std::to_string(7000 + i);
      member_update self{address, "z" + std::to_string(i / 3), "r0", 1, member_status::alive};
      members.emplace(address, swim(swim_options{}, self, {"127.0.0.1:7000"}, now));
    }
  }
  void run(duration length) {
    const time_point until = now + length;
    while (now < until) {
      now += 10ms;
      for (auto& [address, member] : members) {
        if (paused.contains(address)) continue;
        member.step(now, random);
        for (envelope& outgoing : member.take_outbox()) {
          if (cut_off.contains(address) || cut_off.contains(outgoing.recipient)) continue;  // both directions
          in_flight.push_back(std::move(outgoing));
        }
      }
      auto arriving = std::move(in_flight);
      in_flight.clear();
      for (const envelope& arrived : arriving) {
        const auto recipient = members.find(arrived.recipient);
        if (recipient != members.end() && !paused.contains(arrived.recipient))
          recipient->second.receive(now, arrived.content);
      }
    }
  }
  member_status status_seen_by(const std::string& observer, const std::string& member) const {
    const auto& view = members.at(observer).members();
    const auto found = view.find(member);
    return found == view.end() ? member_status::dead : found->second.status;
  }
  static std::string address(int i) { return "127.0.0.1:" + std::to_string(7000 + i); }

  std::mt19937_64 random;
  time_point now{};
  std::map<std::string, swim> members;
  std::set<std::string> cut_off, paused;
  std::vector<envelope> in_flight;
};

// Every member must learn of every other member, with its zone, through one seed address.
void views_converge(std::uint64_t seed) {
  simulated_cluster cluster(seed);
  cluster.run(10s);
  for (int i = 0; i < 9; ++i)
    for (int j = 0; j < 9; ++j)
      if (i != j)
        CHECK(cluster.status_seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);
  CHECK(cluster.members.at(simulated_cluster::address(4)).members().at(simulated_cluster::address(8)).zone ==
        "z2");
}

// A member that is cut off must be declared dead by all other members. No other member may be declared dead.
void cut_off_member_is_declared_dead(std::uint64_t seed) {
  simulated_cluster cluster(seed);
  cluster.run(10s);
  cluster.cut_off.insert(simulated_cluster::address(5));
  cluster.run(30s);
  for (int i = 0; i < 9; ++i) {
    if (i == 5) continue;
    CHECK(cluster.status_seen_by(simulated_cluster::address(i), simulated_cluster::address(5)) ==
          member_status::dead);
    for (int j = 0; j < 9; ++j)
      if (j != i && j != 5)
        CHECK(cluster.status_seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);  // all other members stay alive
  }
}

// A member that is paused for 3 s becomes suspect or dead in other views. After it resumes, it must refute
// with a higher incarnation and be alive again in all views.
void paused_member_refutes(std::uint64_t seed) {
  simulated_cluster cluster(seed);
  cluster.run(10s);
  cluster.paused.insert(simulated_cluster::address(2));
  cluster.run(3s);
  CHECK(cluster.status_seen_by(simulated_cluster::address(0), simulated_cluster::address(2)) !=
        member_status::alive);
  cluster.paused.clear();
  cluster.run(15s);
  CHECK(cluster.members.at(simulated_cluster::address(2)).self().incarnation > 1);
  for (int i = 0; i < 9; ++i)
    if (i != 2)
      CHECK(cluster.status_seen_by(simulated_cluster::address(i), simulated_cluster::address(2)) ==
            member_status::alive);
}

// During a partition each side declares the other side dead and stops probing it. After the partition heals,
// all members must be alive again in all views.
void views_recover_after_partition(std::uint64_t seed) {
  simulated_cluster cluster(seed);
  cluster.run(10s);
  const std::set<std::string> side = {simulated_cluster::address(6), simulated_cluster::address(7),
                                      simulated_cluster::address(8)};
  cluster.cut_off = side;  // drops all messages that these members send or receive
  cluster.run(30s);
  CHECK(cluster.status_seen_by(simulated_cluster::address(0), simulated_cluster::address(7)) ==
        member_status::dead);
  cluster.cut_off.clear();
  cluster.run(20s);
  for (int i = 0; i < 9; ++i)
    for (int j = 0; j < 9; ++j)
      if (i != j)
        CHECK(cluster.status_seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);
}

void confirmations_shorten_suspicion_timeout() {
  const swim observer(swim_options{}, member_update{"a:1", "z", "r", 1, member_status::alive}, {}, {});
  CHECK(observer.suspicion_timeout(0) > observer.suspicion_timeout(1));
  CHECK(observer.suspicion_timeout(1) > observer.suspicion_timeout(2));
  // Three confirmations (the default of suspicion_confirmations) reach the shortest timeout.
  CHECK(observer.suspicion_timeout(3) == observer.suspicion_timeout(30));
}

// A suspicion that several members forward must count once: only a member whose own probe failed confirms it.
// Otherwise gossip alone would shorten the suspicion timeout.
void forwarded_suspicion_is_no_confirmation() {
  const auto member = [](int i) {
    return member_update{simulated_cluster::address(i), "z0", "r0", 1, member_status::alive};
  };
  const auto time_until_dead = [&](bool independent) {
    swim observer(swim_options{}, member(0), {}, 0s);
    std::mt19937_64 random(1);
    for (int i = 1; i < 9; ++i) observer.receive(0s, message{message_kind::ack, member(i), 0, "", {}, {}});
    for (int i = 1; i < 6; ++i) {
      member_update suspected = member(8);
      suspected.status = member_status::suspect;
      suspected.suspected_by = simulated_cluster::address(independent ? i : 1);
      observer.receive(0s, message{message_kind::ack, member(i), 0, "", {suspected}, {}});
    }
    time_point now = 0s;
    while (observer.members().at(simulated_cluster::address(8)).status != member_status::dead)
      observer.step(now += 10ms, random);
    return now;
  };
  const swim observer(swim_options{}, member(0), {}, 0s);
  CHECK(time_until_dead(false) >= observer.suspicion_timeout(0) - 10ms);
  CHECK(time_until_dead(true) <= observer.suspicion_timeout(3) + 10ms);
}

// Two members join at different times, and changes are gossiped once only, so a member may miss the change of
// the other. They must learn of each other from the round-robin entries of the member table.
void round_robin_entries_reach_later_members() {
  std::mt19937_64 random(1);
  time_point now = 0s;
  swim_options options;
  options.retransmit_multiplier = 0;  // each change is sent once, before the second member joins
  const auto member = [&](const std::string& address) {
    return swim(options, member_update{address, "z0", "r0", 1, member_status::alive}, {"hub:1"}, now);
  };
  std::map<std::string, swim> members;
  for (const std::string address : {"hub:1", "a:1"}) members.emplace(address, member(address));
  const auto run = [&](duration length) {
    for (const time_point until = now + length; now < until;) {
      now += 10ms;
      for (auto& [address, current] : members) {
        current.step(now, random);
        for (envelope& outgoing : current.take_outbox())
          if (const auto recipient = members.find(outgoing.recipient); recipient != members.end())
            recipient->second.receive(now, outgoing.content);
      }
    }
  };
  run(5s);
  members.emplace("b:1", member("b:1"));
  run(10s);
  CHECK(members.at("a:1").members().contains("b:1") && members.at("b:1").members().contains("a:1"));
}

// Forged members and forged requests for indirect probes must not make the tables grow without limit.
void tables_are_bounded() {
  swim_options options;
  options.max_members = 16;
  options.max_relayed_probes = 4;
  swim observer(options, member_update{"a:1", "z", "r", 1, member_status::alive}, {}, 0s);
  for (int i = 0; i < 100; ++i) {
    const member_update sender{"b:" + std::to_string(i), "z", "r", 1, member_status::alive};
    observer.receive(0s, message{message_kind::ping_req, sender, 1, "c:" + std::to_string(i), {}, {}});
  }
  CHECK(observer.members().size() == 16);
  std::size_t pings = 0;
  for (const envelope& outgoing : observer.take_outbox())
    pings += outgoing.content.kind == message_kind::ping;
  CHECK(pings == 4);
}

}  // namespace

int main(int, char** argv) {
  const char* seed_text = std::getenv("MARBLEWHARF_SEED");
  const std::uint64_t seed = seed_text != nullptr ? std::strtoull(seed_text, nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  // Each of these cases runs eight clusters, with the given seed and the seven seeds after it.
  for (std::uint64_t current_seed = seed; current_seed < seed + 8; ++current_seed) {
    if (name == "views_converge")
      views_converge(current_seed);
    else if (name == "cut_off_member")
      cut_off_member_is_declared_dead(current_seed);
    else if (name == "paused_member")
      paused_member_refutes(current_seed);
    else if (name == "partition_heals")
      views_recover_after_partition(current_seed);
  }
  if (name == "suspicion_timeout")
    confirmations_shorten_suspicion_timeout();
  else if (name == "forwarded_suspicion")
    forwarded_suspicion_is_no_confirmation();
  else if (name == "table_bounds")
    tables_are_bounded();
  else if (name == "round_robin_entries")
    round_robin_entries_reach_later_members();
  else if (name != "views_converge" && name != "cut_off_member" && name != "paused_member" &&
           name != "partition_heals")
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
