// Fault experiments on clusters of real processes on loopback. The tool marblewharf_fleet writes the results
// as tables; the failover bench prints a summary of the results.
//
// Each cluster has nine processes in three zones, and all datagrams between the processes pass through the
// fault relay of the tests. Several clusters run in parallel, each on its own thread. All random choices
// derive from the seed. Times are in milliseconds of the steady clock.
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

inline double ms(harness::clock::duration interval) {
  return std::chrono::duration<double, std::milli>(interval).count();
}

// The measurements of one fault: a zone is lost and then recovers.
struct zone_loss {
  int cluster = 0, fault = 0, zone = 0;
  std::string fault_kind;   // "killed", "cut" (both directions) or "one_way" (only datagrams from the zone)
  double first_ms = 0;      // from the fault until the first member of another zone has declared the zone out
  double agreed_ms = 0;     // from the fault until all members of the other zones have declared the zone out
  double recovered_ms = 0;  // from the heal or restart until all members are healthy in all views
  long wrong_decisions = 0;  // decisions against healthy zones
};

// Injects `faults` zone losses into `clusters` clusters that run in parallel. The seed of each fault derives
// from `base_seed` and the number of the fault, so the faults do not depend on the scheduling of the threads.
inline std::vector<zone_loss> measure_zone_losses(int faults, int clusters, int probe_ms,
                                                  std::uint64_t base_seed) {
  std::vector<zone_loss> rows;
  std::mutex guard, starting;
  std::atomic<int> next = 0;
  const auto run = [&](int cluster_number) {
    std::unique_ptr<test_cluster> cluster;
    {
      // Starts one cluster at a time, because another cluster could bind a port between the check that the
      // port is free and the bind.
      const std::lock_guard lock(starting);
      cluster = std::make_unique<test_cluster>(test_cluster_options{.probe_ms = probe_ms});
    }
    cluster->wait_until_healthy();
    for (int fault; (fault = next++) < faults;) {
      std::mt19937_64 random(base_seed * 1000 + static_cast<std::uint64_t>(fault));
      zone_loss row{cluster_number, fault, static_cast<int>(random() % 3), ""};
      const char* const fault_kinds[] = {"killed", "cut", "one_way"};
      row.fault_kind = fault_kinds[random() % 3];
      std::this_thread::sleep_for(
          std::chrono::milliseconds(random() % (5 * static_cast<unsigned>(probe_ms))));
      std::vector<int> others;
      for (const int i : cluster->all())
        if (i / 3 != row.zone) others.push_back(i);
      const long decisions_before = cluster->declared_out(others);
      const auto began = harness::clock::now();
      if (row.fault_kind == "killed") {
        for (const int i : cluster->members_of(row.zone, row.zone + 1)) cluster->kill(i);
      } else {
        for (int z = 0; z < 3; ++z) {
          if (z == row.zone) continue;
          cluster->relay->cut(row.zone, z);
          if (row.fault_kind == "cut") cluster->relay->cut(z, row.zone);
        }
      }
      std::vector<int> undecided = others;
      while (!undecided.empty()) {
        std::erase_if(undecided, [&](int i) {
          const bool out = cluster->sees_zone(i, row.zone, true);
          if (out && row.first_ms == 0) row.first_ms = ms(harness::clock::now() - began);
          return out;
        });
        CHECK(harness::clock::now() - began < 120s);
        std::this_thread::sleep_for(5ms);
      }
      row.agreed_ms = ms(harness::clock::now() - began);
      row.wrong_decisions =
          cluster->declared_out(others) - decisions_before - static_cast<long>(others.size());
      const auto healed = harness::clock::now();
      cluster->relay->heal();
      if (row.fault_kind == "killed")
        for (const int i : cluster->members_of(row.zone, row.zone + 1)) cluster->start(i);
      cluster->wait_until_healthy();
      row.recovered_ms = ms(harness::clock::now() - healed);
      const std::lock_guard lock(guard);
      rows.push_back(row);
      std::fprintf(stderr, "fault %d of %d: zone %d %s, all members agreed after %.0f ms\n", fault + 1,
                   faults, row.zone, row.fault_kind.c_str(), row.agreed_ms);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < clusters; ++i) threads.emplace_back(run, i);
  for (std::thread& thread : threads) thread.join();
  return rows;
}

// A sample of the statistics of all members of a cluster under packet loss. All members are healthy
// throughout.
struct packet_loss_sample {
  int cluster = 0;
  double second = 0;
  long suspect = 0,
       dead = 0;          // views of members as suspect or dead, summed over all members
  long declared_out = 0;  // decisions since the start that declare a zone out, summed over all members
  long worst_local_health = 0;
};

// Runs `clusters` clusters in parallel for `seconds` seconds while the relay drops the fraction `loss` of the
// datagrams, sends the fraction `duplicated` twice and delays datagrams by at most `delay`. Samples every 250
// ms.
inline std::vector<packet_loss_sample> measure_packet_loss(double loss, double duplicated,
                                                           std::chrono::milliseconds delay, int seconds,
                                                           int clusters, int probe_ms) {
  std::vector<packet_loss_sample> rows;
  std::mutex guard, starting;
  const auto run = [&](int cluster_number) {
    std::unique_ptr<test_cluster> cluster;
    {
      const std::lock_guard lock(starting);
      cluster = std::make_unique<test_cluster>(test_cluster_options{.probe_ms = probe_ms});
    }
    cluster->wait_until_healthy();
    cluster->relay->lose(loss);
    cluster->relay->duplicate(duplicated);
    cluster->relay->delay(delay);
    const auto began = harness::clock::now();
    while (harness::clock::now() - began < std::chrono::seconds(seconds)) {
      std::this_thread::sleep_for(250ms);
      packet_loss_sample row{cluster_number, ms(harness::clock::now() - began) / 1000};
      for (const int i : cluster->all()) {
        const int console = cluster->console(i);
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
  for (int i = 0; i < clusters; ++i) threads.emplace_back(run, i);
  for (std::thread& thread : threads) thread.join();
  return rows;
}

// Returns the fraction of `calls` routed calls that stay in the zone of the caller while all members are
// healthy.
inline double measure_fraction_in_zone(int calls) {
  locality_cluster routed;
  routed.f->wait_until_healthy();
  const std::vector<int> calls_by_member = routed.count_calls(calls);
  return static_cast<double>(locality_cluster::sum(calls_by_member, 0, 3)) / static_cast<double>(calls);
}

}  // namespace cluster_experiments
