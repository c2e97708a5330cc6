// Properties of the membership state machine under random schedules of messages and faults (rapidcheck; ctest
// -L membership). CTest fixes the seed by RC_PARAMS; rapidcheck prints the seed of a failed case.
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
  simulated_cluster(int member_count, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < member_count; ++i) start(i);
  }
  static std::string address_of(int i) { return "m" + std::to_string(i) + ":1"; }
  void start(int i) {
    // As in the node, the incarnation is derived from the start time, which is higher than any incarnation
    // that the previous process can have reached by refuting.
    const auto incarnation = static_cast<std::uint64_t>(now / 1ms) * 1000 + 1;
    members[i] = std::make_unique<swim>(
        swim_options{},
        member_update{address_of(i), "z" + std::to_string(i % 3), "r0", incarnation, member_status::alive},
        std::vector<std::string>{address_of(0), address_of(1)}, now);
    last_view[i].clear();
  }
  void tick(double loss, double duplication, duration max_delay) {
    now += 20ms;
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto& [i, member] : members) {
      if (paused.contains(i)) continue;
      member->step(now, random);
      for (const envelope& outgoing : member->take_outbox()) {
        const int recipient = std::stoi(outgoing.recipient.substr(1));
        if (cut.contains({i, recipient}) || chance(random) < loss) continue;
        for (int copies = chance(random) < duplication ? 2 : 1; copies > 0; --copies)
          datagrams.insert({now + std::chrono::duration_cast<duration>(chance(random) * max_delay),
                            {recipient, outgoing.content}});
      }
    }
    while (!datagrams.empty() && datagrams.begin()->first <= now) {
      const auto [recipient, content] = datagrams.begin()->second;
      datagrams.erase(datagrams.begin());
      if (members.contains(recipient) && !paused.contains(recipient))
        members.at(recipient)->receive(now, content);
    }
    for (const auto& [i, member] : members) {
      highest_incarnation[address_of(i)] =
          std::max(highest_incarnation[address_of(i)], member->self().incarnation);
      RC_ASSERT(member->self().status == member_status::alive);  // no member believes itself dead
      RC_ASSERT(member->members().count(address_of(i)) == 0u);
      for (const auto& [address, current] : member->members()) {
        // Only a member itself raises its incarnation.
        RC_ASSERT(current.incarnation <= highest_incarnation[address]);
        // An entry changes only to a higher incarnation, or to a worse status at the same incarnation.
        const auto [last, is_new] = last_view[i].try_emplace(address, current);
        const bool is_newer =
            is_new || current.incarnation > last->second.incarnation ||
            (current.incarnation == last->second.incarnation && current.status >= last->second.status);
        RC_ASSERT(is_newer);
        last->second = current;
      }
    }
  }

  std::mt19937_64 random;
  time_point now{};
  std::map<int, std::unique_ptr<swim>> members;
  std::map<int, std::map<std::string, member_update>> last_view;  // by observer, then by member
  std::map<std::string, std::uint64_t> highest_incarnation;       // by member: the highest it has used itself
  std::set<std::pair<int, int>> cut;  // links that drop messages, as (sender, recipient)
  std::set<int> paused;
  std::multimap<time_point, std::pair<int, message>> datagrams;
};

// Views must never return to an older state under faults, and all members must be alive again in all views
// after the faults end.
void random_faults() {
  CHECK(rc::check("views never regress, only a member raises its incarnation, all recover after faults", [] {
    const int member_count = *rc::gen::inRange(3, 10);
    simulated_cluster cluster(member_count, *rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(5, 40);
    for (int step = 0; step < steps; ++step) {
      const int target = *rc::gen::inRange(0, member_count);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          for (int k = 0; k < member_count; ++k)
            if (*rc::gen::inRange(0, 2) == 0) cluster.cut.insert({target, k});  // in one direction
          break;
        case 1: cluster.cut.clear(); break;
        case 2: cluster.paused.insert(target); break;
        case 3: cluster.paused.erase(target); break;
        case 4:
          cluster.members.erase(target);  // killed
          cluster.paused.erase(target);
          break;
        case 5:
          if (!cluster.members.contains(target)) cluster.start(target);
          break;
      }
      const double loss = *rc::gen::inRange(0, 50) / 100.0;
      for (int t = 0; t < 50; ++t) cluster.tick(loss, 0.1, 200ms);
    }
    cluster.cut.clear();
    cluster.paused.clear();
    for (int i = 0; i < member_count; ++i)
      if (!cluster.members.contains(i)) cluster.start(i);
    for (int t = 0; t < 5000; ++t) cluster.tick(0, 0, 5ms);
    for (const auto& [i, member] : cluster.members) {
      RC_ASSERT(member->members().size() == static_cast<std::size_t>(member_count - 1));
      for (const auto& [address, update] : member->members())
        RC_ASSERT(update.status == member_status::alive);
    }
  }));
}

// Without faults, no member may ever be suspected, even if messages are duplicated.
void no_suspicion_without_faults() {
  CHECK(rc::check("no member is suspected without faults", [] {
    const int member_count = *rc::gen::inRange(2, 12);
    simulated_cluster cluster(member_count, *rc::gen::arbitrary<std::uint64_t>());
    for (int t = 0; t < 1000; ++t) {
      cluster.tick(0, 0.2, 40ms);
      for (const auto& [i, member] : cluster.members)
        for (const auto& [address, update] : member->members())
          RC_ASSERT(update.status == member_status::alive);
    }
  }));
}

}  // namespace

int main() {
  no_suspicion_without_faults();
  random_faults();
  std::printf("properties passed\n");
  return 0;
}
