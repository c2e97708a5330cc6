// Experiments on clusters of real processes on loopback: the tool writes their results as tables, the bench
// summarises them.
//
// Each cluster has nine processes in three zones behind the tests' fault relay; several clusters run side by
// side, each on a thread of its own. All randomness comes from the given seed. Times are the steady clock's,
// in milliseconds.
#pragma once

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../../tests/cluster/routed.hpp"

namespace cluster_experiments {

using namespace cluster_faults;

inline double ms(harness::clock::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// One zone lost and back.
struct zone_loss {
  int fleet = 0, fault = 0, zone = 0;
  std::string how;       // killed, cut (both ways), one_way
  double first_ms = 0;   // from the fault until the first member shows the zone out
  double agreed_ms = 0;  // ... until every member of the other zones does
  double back_ms = 0;    // from the heal or restart until all show it in and know all members
  long wrong = 0;        // decisions against a healthy zone
};

// `faults` of them over `fleets` fleets side by side.
inline std::vector<zone_loss> zone_losses(int faults, int fleets, int probe_ms, std::uint64_t seed_of_all) {
  std::vector<zone_loss> rows;
  std::mutex guard, starting;
  std::atomic<int> next = 0;
  const auto run = [&](int number) {
    std::unique_ptr<test_cluster> f;
    {
      // One after the other: ports are first found free, then bound.
      const std::lock_guard lock(starting);
      f = std::make_unique<test_cluster>(test_cluster_options{.probe_ms = probe_ms});
    }
    f->wait_until_healthy();
    for (int fault; (fault = next++) < faults;) {
      std::mt19937_64 random(seed_of_all * 1000 + static_cast<std::uint64_t>(fault));
      zone_loss row{number, fault, static_cast<int>(random() % 3), ""};
      const char* const ways[] = {"killed", "cut", "one_way"};
      row.how = ways[random() % 3];
      std::this_thread::sleep_for(
          std::chrono::milliseconds(random() % (5 * static_cast<unsigned>(probe_ms))));
      std::vector<int> others;
      for (const int i : f->all())
        if (i / 3 != row.zone) others.push_back(i);
      const long before = f->declared_out(others);
      const auto begun = harness::clock::now();
      if (row.how == "killed") {
        for (const int i : f->members_of(row.zone, row.zone + 1)) f->kill(i);
      } else {
        for (int z = 0; z < 3; ++z) {
          if (z == row.zone) continue;
          f->relay->cut(row.zone, z);
          if (row.how == "cut") f->relay->cut(z, row.zone);
        }
      }
      std::vector<int> waiting = others;
      while (!waiting.empty()) {
        std::erase_if(waiting, [&](int i) {
          const bool out = f->sees_zone(i, row.zone, true);
          if (out && row.first_ms == 0) row.first_ms = ms(harness::clock::now() - begun);
          return out;
        });
        CHECK(harness::clock::now() - begun < 120s);
        std::this_thread::sleep_for(5ms);
      }
      row.agreed_ms = ms(harness::clock::now() - begun);
      row.wrong = f->declared_out(others) - before - static_cast<long>(others.size());
      const auto healed = harness::clock::now();
      f->relay->heal();
      if (row.how == "killed")
        for (const int i : f->members_of(row.zone, row.zone + 1)) f->start(i);
      f->wait_until_healthy();
      row.back_ms = ms(harness::clock::now() - healed);
      const std::lock_guard lock(guard);
      rows.push_back(row);
      std::fprintf(stderr, "fault %d of %d: zone %d %s, agreed after %.0f ms\n", fault + 1, faults, row.zone,
                   row.how.c_str(), row.agreed_ms);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < fleets; ++i) threads.emplace_back(run, i);
  for (std::thread& t : threads) t.join();
  return rows;
}

// One sample of all members of a cluster under loss.
struct lossy_sample {
  int fleet = 0;
  double second = 0;
  long suspect = 0,
       dead = 0;          // views of members that are not alive, over all members; all are alive in truth
  long declared_out = 0;  // decisions, over all members since the start
  long worst_local_health = 0;
};

inline std::vector<lossy_sample> lossy(double loss, double twice, std::chrono::milliseconds delay,
                                       int seconds, int fleets, int probe_ms) {
  std::vector<lossy_sample> rows;
  std::mutex guard, starting;
  const auto run = [&](int number) {
    std::unique_ptr<test_cluster> f;
    {
      const std::lock_guard lock(starting);
      f = std::make_unique<test_cluster>(test_cluster_options{.probe_ms = probe_ms});
    }
    f->wait_until_healthy();
    f->relay->lose(loss);
    f->relay->duplicate(twice);
    f->relay->delay(delay);
    const auto begun = harness::clock::now();
    while (harness::clock::now() - begun < std::chrono::seconds(seconds)) {
      std::this_thread::sleep_for(250ms);
      lossy_sample row{number, ms(harness::clock::now() - begun) / 1000};
      for (const int i : f->all()) {
        const int console = f->console(i);
        row.suspect += statistic(console, "fleet.members_suspect");
        row.dead += statistic(console, "fleet.members_dead");
        row.declared_out += statistic(console, "fleet.declared_out");
        row.worst_local_health = std::max(row.worst_local_health, statistic(console, "fleet.local_health"));
      }
      const std::lock_guard lock(guard);
      rows.push_back(row);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < fleets; ++i) threads.emplace_back(run, i);
  for (std::thread& t : threads) t.join();
  return rows;
}

// Fraction of routed calls that stay in the caller's zone while all is healthy.
inline double share_in_zone(int calls) {
  locality_cluster r;
  r.f->wait_until_healthy();
  const std::vector<int> got = r.count_calls(calls);
  return static_cast<double>(locality_cluster::sum(got, 0, 3)) / static_cast<double>(calls);
}

}  // namespace cluster_experiments
