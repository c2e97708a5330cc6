// The membership state machine over a network of the test's own, in one process (ctest -L membership).
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

// Nine members in three zones; messages arrive at the next tick, unless sender or receiver is cut off.
struct simulated_cluster {
  explicit simulated_cluster(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < 9; ++i) {
      const std::string address = "127.0.0.1:" + std::to_string(7000 + i);
      member_update self{address, "z" + std::to_string(i / 3), "r0", 1, member_status::alive};
      members.emplace(address, swim(swim_options{}, self, {"127.0.0.1:7000"}, now));
    }
  }
  void run(duration d) {
    const time_point until = now + d;
    while (now < until) {
      now += 10ms;
      for (auto& [address, m] : members) {
        if (paused.contains(address)) continue;
        m.step(now, random);
        for (envelope& e : m.take_outbox()) {
          if (cut_off.contains(address) || cut_off.contains(e.to)) continue;  // both ways
          in_flight.push_back(std::move(e));
        }
      }
      auto arriving = std::move(in_flight);
      in_flight.clear();
      for (const envelope& e : arriving) {
        const auto to = members.find(e.to);
        if (to != members.end() && !paused.contains(e.to)) to->second.receive(now, e.content);
      }
    }
  }
  member_status seen_by(const std::string& observer, const std::string& of) const {
    const auto& view = members.at(observer).members();
    const auto found = view.find(of);
    return found == view.end() ? member_status::dead : found->second.status;
  }
  static std::string address(int i) { return "127.0.0.1:" + std::to_string(7000 + i); }

  std::mt19937_64 random;
  time_point now{};
  std::map<std::string, swim> members;
  std::set<std::string> cut_off, paused;
  std::vector<envelope> in_flight;
};

void converges(std::uint64_t seed) {
  simulated_cluster f(seed);
  f.run(10s);
  for (int i = 0; i < 9; ++i)
    for (int j = 0; j < 9; ++j)
      if (i != j)
        CHECK(f.seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);
  CHECK(f.members.at(simulated_cluster::address(4)).members().at(simulated_cluster::address(8)).zone == "z2");
}

void a_silent_member_is_declared_dead(std::uint64_t seed) {
  simulated_cluster f(seed);
  f.run(10s);
  f.cut_off.insert(simulated_cluster::address(5));
  f.run(30s);
  for (int i = 0; i < 9; ++i) {
    if (i == 5) continue;
    CHECK(f.seen_by(simulated_cluster::address(i), simulated_cluster::address(5)) == member_status::dead);
    for (int j = 0; j < 9; ++j)
      if (j != i && j != 5)
        CHECK(f.seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);  // nobody else
  }
}

// Paused past its suspicion timeout, then resumed: it refutes with a higher incarnation and is alive again.
void a_paused_member_refutes(std::uint64_t seed) {
  simulated_cluster f(seed);
  f.run(10s);
  f.paused.insert(simulated_cluster::address(2));
  f.run(3s);
  CHECK(f.seen_by(simulated_cluster::address(0), simulated_cluster::address(2)) != member_status::alive);
  f.paused.clear();
  f.run(15s);
  CHECK(f.members.at(simulated_cluster::address(2)).self().incarnation > 1);
  for (int i = 0; i < 9; ++i)
    if (i != 2)
      CHECK(f.seen_by(simulated_cluster::address(i), simulated_cluster::address(2)) == member_status::alive);
}

// A partition that lasts until each side has declared the other dead, then heals at once: all are alive
// again.
void a_partition_heals(std::uint64_t seed) {
  simulated_cluster f(seed);
  f.run(10s);
  const std::set<std::string> side = {simulated_cluster::address(6), simulated_cluster::address(7),
                                      simulated_cluster::address(8)};
  f.cut_off = side;  // drops what these send or receive
  f.run(30s);
  CHECK(f.seen_by(simulated_cluster::address(0), simulated_cluster::address(7)) == member_status::dead);
  f.cut_off.clear();
  f.run(20s);
  for (int i = 0; i < 9; ++i)
    for (int j = 0; j < 9; ++j)
      if (i != j)
        CHECK(f.seen_by(simulated_cluster::address(i), simulated_cluster::address(j)) ==
              member_status::alive);
}

void suspicion_shrinks_with_confirmations() {
  const swim s(swim_options{}, member_update{"a:1", "z", "r", 1, member_status::alive}, {}, {});
  CHECK(s.suspicion_timeout(0) > s.suspicion_timeout(1));
  CHECK(s.suspicion_timeout(1) > s.suspicion_timeout(2));
  CHECK(s.suspicion_timeout(3) == s.suspicion_timeout(30));  // the least after K
}

// One suspicion that many members relay is one: only a member whose own probe failed confirms it.
void relayed_suspicion_confirms_nothing() {
  const auto speaker = [](int i) {
    return member_update{simulated_cluster::address(i), "z0", "r0", 1, member_status::alive};
  };
  const auto suspected_for = [&](bool independent) {
    swim s(swim_options{}, speaker(0), {}, 0s);
    std::mt19937_64 random(1);
    for (int i = 1; i < 9; ++i) s.receive(0s, message{message_kind::ack, speaker(i), 0, "", {}, {}});
    for (int i = 1; i < 6; ++i) {
      member_update c = speaker(8);
      c.status = member_status::suspect;
      c.suspected_by = simulated_cluster::address(independent ? i : 1);
      s.receive(0s, message{message_kind::ack, speaker(i), 0, "", {c}, {}});
    }
    time_point now = 0s;
    while (s.members().at(simulated_cluster::address(8)).status != member_status::dead)
      s.step(now += 10ms, random);
    return now;
  };
  const swim s(swim_options{}, speaker(0), {}, 0s);
  CHECK(suspected_for(false) >= s.suspicion_timeout(0) - 10ms);
  CHECK(suspected_for(true) <= s.suspicion_timeout(3) + 10ms);
}

// Two members that could not learn of each other by the gossip of changes when they joined: both do from the
// members that are sent in turn.
void unknown_members_meet() {
  std::mt19937_64 random(1);
  time_point now = 0s;
  swim_options o;
  o.retransmit_multiplier = 0;  // one copy of each change: all of them gone before the other joins
  const auto member = [&](const std::string& a) {
    return swim(o, member_update{a, "z0", "r0", 1, member_status::alive}, {"hub:1"}, now);
  };
  std::map<std::string, swim> all;
  for (const std::string a : {"hub:1", "a:1"}) all.emplace(a, member(a));
  const auto run = [&](duration d) {
    for (const time_point until = now + d; now < until;) {
      now += 10ms;
      for (auto& [address, m] : all) {
        m.step(now, random);
        for (envelope& e : m.take_outbox())
          if (const auto to = all.find(e.to); to != all.end()) to->second.receive(now, e.content);
      }
    }
  };
  run(5s);
  all.emplace("b:1", member("b:1"));
  run(10s);
  CHECK(all.at("a:1").members().contains("b:1") && all.at("b:1").members().contains("a:1"));
}

// Invented members and requests for indirect probes do not let the tables grow without limit.
void tables_are_bounded() {
  swim_options o;
  o.max_members = 16;
  o.max_relayed_probes = 4;
  swim s(o, member_update{"a:1", "z", "r", 1, member_status::alive}, {}, 0s);
  for (int i = 0; i < 100; ++i) {
    const member_update from{"b:" + std::to_string(i), "z", "r", 1, member_status::alive};
    s.receive(0s, message{message_kind::ping_req, from, 1, "c:" + std::to_string(i), {}, {}});
  }
  CHECK(s.members().size() == 16);
  std::size_t pings = 0;
  for (const envelope& e : s.take_outbox()) pings += e.content.kind == message_kind::ping;
  CHECK(pings == 4);
}

}  // namespace

int main(int, char** argv) {
  const char* given = std::getenv("MARBLEWHARF_SEED");
  const std::uint64_t seed = given != nullptr ? std::strtoull(given, nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  // Eight schedules a case: the seed and the seven after it, each with a cluster of its own.
  for (std::uint64_t s = seed; s < seed + 8; ++s) {
    if (name == "converges")
      converges(s);
    else if (name == "silent")
      a_silent_member_is_declared_dead(s);
    else if (name == "paused")
      a_paused_member_refutes(s);
    else if (name == "heals")
      a_partition_heals(s);
  }
  if (name == "suspicion")
    suspicion_shrinks_with_confirmations();
  else if (name == "hearsay")
    relayed_suspicion_confirms_nothing();
  else if (name == "bounds")
    tables_are_bounded();
  else if (name == "meet")
    unknown_members_meet();
  else if (name != "converges" && name != "silent" && name != "paused" && name != "heals")
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
