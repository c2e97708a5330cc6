// Properties of the membership state machine over random schedules of messages and faults (rapidcheck; ctest
// -L membership; the seed is fixed by RC_PARAMS in CTest and printed by rapidcheck where a case fails).
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "../check.hpp"
#include "membership/swim.hpp"

using namespace marblewharf::membership;
using namespace std::chrono_literals;

namespace {

struct simulated_cluster {
  simulated_cluster(int n, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < n; ++i) start(i);
  }
  static std::string address_of(int i) { return "m" + std::to_string(i) + ":1"; }
  void start(int i) {
    // As in the node the time of the start: above any incarnation that the process before can have reached by
    // refuting.
    const auto incarnation = static_cast<std::uint64_t>(now / 1ms) * 1000 + 1;
    members[i] = std::make_unique<swim>(
        swim_options{},
        member_update{address_of(i), "z" + std::to_string(i % 3), "r0", incarnation, member_status::alive},
        std::vector<std::string>{address_of(0), address_of(1)}, now);
    last_view[i].clear();
  }
  void tick(double loss, double twice, duration longest) {
    now += 20ms;
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto& [i, m] : members) {
      if (paused.contains(i)) continue;
      m->step(now, random);
      for (const envelope& e : m->take_outbox()) {
        const int to = std::stoi(e.to.substr(1));
        if (cut.contains({i, to}) || chance(random) < loss) continue;
        for (int copies = chance(random) < twice ? 2 : 1; copies > 0; --copies)
          datagrams.insert(
              {now + std::chrono::duration_cast<duration>(chance(random) * longest), {to, e.content}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [to, m] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      if (members.contains(to) && !paused.contains(to)) members.at(to)->receive(now, m);
    }
    for (const auto& [i, m] : members) {
      highest_incarnation[address_of(i)] =
          std::max(highest_incarnation[address_of(i)], m->self().incarnation);
      RC_ASSERT(m->self().status == member_status::alive);  // no member believes itself dead
      RC_ASSERT(m->members().count(address_of(i)) == 0u);
      for (const auto& [address, c] : m->members()) {
        RC_ASSERT(c.incarnation <= highest_incarnation[address]);  // only a member raises its own incarnation
        // A view only moves forward: to a higher incarnation, or at one incarnation to a worse status.
        const auto [last, fresh] = last_view[i].try_emplace(address, c);
        const bool forward = fresh || c.incarnation > last->second.incarnation ||
                             (c.incarnation == last->second.incarnation && c.status >= last->second.status);
        RC_ASSERT(forward);
        last->second = c;
      }
    }
  }

  std::mt19937_64 random;
  time_point now{};
  std::map<int, std::unique_ptr<swim>> members;
  std::map<int, std::map<std::string, member_update>> last_view;  // by observer, then by member
  std::map<std::string, std::uint64_t> highest_incarnation;       // by member: its true one
  std::set<std::pair<int, int>> cut;                              // one way
  std::set<int> paused;
  std::multimap<time_point, std::pair<int, message>> datagrams;
};

void faults() {
  CHECK(rc::check("views go forward, only a member raises its incarnation, and quiet brings all back", [] {
    const int n = *rc::gen::inRange(3, 10);
    simulated_cluster w(n, *rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(5, 40);
    for (int s = 0; s < steps; ++s) {
      const int who = *rc::gen::inRange(0, n);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          for (int k = 0; k < n; ++k)
            if (*rc::gen::inRange(0, 2) == 0) w.cut.insert({who, k});  // one way
          break;
        case 1: w.cut.clear(); break;
        case 2: w.paused.insert(who); break;
        case 3: w.paused.erase(who); break;
        case 4:
          w.members.erase(who);
          w.paused.erase(who);
          break;  // killed
        case 5:
          if (!w.members.contains(who)) w.start(who);
          break;
      }
      const double loss = *rc::gen::inRange(0, 50) / 100.0;
      for (int t = 0; t < 50; ++t) w.tick(loss, 0.1, 200ms);
    }
    w.cut.clear();
    w.paused.clear();
    for (int i = 0; i < n; ++i)
      if (!w.members.contains(i)) w.start(i);
    for (int t = 0; t < 5000; ++t) w.tick(0, 0, 5ms);
    for (const auto& [i, m] : w.members) {
      RC_ASSERT(m->members().size() == static_cast<std::size_t>(n - 1));
      for (const auto& [address, c] : m->members()) RC_ASSERT(c.status == member_status::alive);
    }
  }));
}

// Without faults nobody is ever suspected.
void no_faults() {
  CHECK(rc::check("no faults, no suspicion", [] {
    const int n = *rc::gen::inRange(2, 12);
    simulated_cluster w(n, *rc::gen::arbitrary<std::uint64_t>());
    for (int t = 0; t < 1000; ++t) {
      w.tick(0, 0.2, 40ms);
      for (const auto& [i, m] : w.members)
        for (const auto& [address, c] : m->members()) RC_ASSERT(c.status == member_status::alive);
    }
  }));
}

}  // namespace

int main() {
  no_faults();
  faults();
  std::printf("properties passed\n");
  return 0;
}
