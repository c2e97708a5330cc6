// The view of zones decided in common, under random cuts, losses and times (rapidcheck), and its hard cases
// (ctest -L failover).
#include <rapidcheck.h>

#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../check.hpp"
#include "failover/zone_view.hpp"

using namespace marblewharf::failover;
using namespace std::chrono_literals;

namespace {

// Members z0-0 .. z{Z-1}-{M-1}; a cut puts each zone on side 0 or 1; votes reach the same side, some are lost.
struct fleet {
  fleet(int zones, int per_zone, duration hold_down = 2s) : zone_count(zones) {
    std::map<std::string, std::string> zone_of;
    for (int z = 0; z < zones; ++z)
      for (int m = 0; m < per_zone; ++m) zone_of[name(z, m)] = zone(z);
    for (const auto& [member, z] : zone_of) {
      views.emplace(member, zone_view(zone_of, member, hold_down));
      zone_by_member[member] = z;
    }
    for (int z = 0; z < zones; ++z) side[zone(z)] = 0;
  }
  static std::string zone(int z) { return "z" + std::to_string(z); }
  static std::string name(int z, int m) { return zone(z) + "-" + std::to_string(m); }

  // Every member looks at every other zone and sends what it stands by to those it reaches.
  void round(std::mt19937_64& random, double loss) {
    now += 100ms;
    std::vector<vote> sent;
    for (auto& [member, view] : views)
      for (const std::string& z : view.zones()) {
        const bool reachable = side[z] == side[zone_by_member[member]];
        if (const auto v = view.observe(now, z, reachable)) {
          sent.push_back(*v);
          cast[std::make_pair(v->zone, v->epoch)].insert(v->voter);
        }
      }
    std::uniform_real_distribution<double> chance(0, 1);
    for (const vote& v : sent)
      for (auto& [member, view] : views) {
        if (side[zone_by_member[member]] != side[zone_by_member[v.voter]] || chance(random) < loss) continue;
        const verdict before = view.of(v.zone);
        if (view.hear(now, v)) moved(member, v.zone, before, view.of(v.zone));
      }
  }
  // What the test knows apart from the code: a verdict stands only on votes cast by a majority of the members of
  // a majority of the other zones, for that very epoch.
  void moved(const std::string&, const std::string& z, const verdict& before, const verdict& after) {
    CHECK(after.epoch > before.epoch);
    CHECK(after.out == (after.epoch % 2 == 1));
    std::map<std::string, int> by_zone;
    for (const std::string& voter : cast[{z, after.epoch}]) {
      CHECK(zone_by_member[voter] != z);
      ++by_zone[zone_by_member[voter]];
    }
    int agreeing = 0;
    for (const auto& [voters_zone, n] : by_zone)
      if (2 * n > per_zone()) ++agreeing;
    CHECK(2 * agreeing > zone_count - 1);
    decided[{z, after.epoch}].insert(after.out);
    CHECK((decided[{z, after.epoch}].size() == 1));  // never two opposite verdicts in one epoch
  }
  int per_zone() const { return static_cast<int>(views.size()) / zone_count; }
  bool all_see(int side_of_observers, const std::string& z, bool out) const {
    for (const auto& [member, view] : views)
      if (side.at(zone_by_member.at(member)) == side_of_observers && zone_by_member.at(member) != z &&
          view.of(z).out != out)
        return false;
    return true;
  }

  int zone_count;
  time_point now{};
  std::map<std::string, zone_view> views;
  std::map<std::string, std::string> zone_by_member;
  std::map<std::string, int> side;
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> cast;
  std::map<std::pair<std::string, std::uint64_t>, std::set<bool>> decided;
};

void random_schedules() {
  CHECK(rc::check("verdicts only by majorities of zones, never two in one epoch", [] {
    const int zones = *rc::gen::inRange(2, 6);
    const int per_zone = *rc::gen::inRange(1, 4);
    fleet f(zones, per_zone);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 120);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 8) == 0)  // a new cut, or healed
        for (int z = 0; z < zones; ++z) f.side[fleet::zone(z)] = *rc::gen::inRange(0, 2);
      f.round(random, *rc::gen::inRange(0, 60) / 100.0);
    }
    // Healed and quiet: after the hold-down every member sees every zone in, whatever votes were lost before.
    for (int z = 0; z < zones; ++z) f.side[fleet::zone(z)] = 0;
    for (int i = 0; i < 40; ++i) f.round(random, 0);
    for (int z = 0; z < zones; ++z) RC_ASSERT(f.all_see(0, fleet::zone(z), false));
  }));
}

// A zone cut off from the others both ways: the others declare it out, it declares nobody out and keeps its own.
void cut_off_zone() {
  fleet f(3, 3);
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

// A zone that comes and goes every half second is declared out once and stays out until it holds still.
void flapping_zone() {
  fleet f(3, 3);
  std::mt19937_64 random(2);
  for (int i = 0; i < 10; ++i) f.round(random, 0);
  for (int i = 0; i < 100; ++i) {
    f.side["z1"] = (i / 5) % 2;
    f.round(random, 0);
    if (i >= 10) CHECK(f.all_see(0, "z1", true) || f.side["z1"] == 0);
  }
  const std::uint64_t epoch = f.views.at("z0-0").of("z1").epoch;
  CHECK(epoch == 1);  // out once, never back while it flapped
}

// Two zones: a cut leaves each side "the majority of the other zones"; nobody is declared out.
void two_zones_never() {
  fleet f(2, 3);
  std::mt19937_64 random(3);
  f.side["z1"] = 1;
  for (int i = 0; i < 50; ++i) f.round(random, 0);
  CHECK(f.all_see(0, "z1", false) && f.all_see(1, "z0", false));
}

// Refused: a voter not configured, its own zone, a wrong parity, a second and different vote.
void refused_votes() {
  zone_view v({{"a", "z0"}, {"b", "z1"}, {"c", "z2"}}, "a", 1s);
  CHECK(!v.hear(0s, vote{"x", "z1", 1, true}));
  CHECK(!v.hear(0s, vote{"b", "z1", 1, true}));
  CHECK(!v.hear(0s, vote{"c", "z1", 1, false}));
  CHECK(v.refused() == 3);
  CHECK(!v.hear(0s, vote{"c", "z1", 1, true}));   // one zone of two others: no quorum yet
  CHECK(v.hear(0s, vote{"a", "z1", 1, true}));    // the second zone
  CHECK(v.of("z1").out && v.of("z1").epoch == 1);
  CHECK(!v.hear(0s, vote{"c", "z1", 1, true}));   // decided already
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "random") random_schedules();
  else if (name == "cut_off") cut_off_zone();
  else if (name == "flapping") flapping_zone();
  else if (name == "two_zones") two_zones_never();
  else if (name == "refused") refused_votes();
  else CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
