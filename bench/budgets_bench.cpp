// Measures cluster-wide quotas on clusters of nine real processes over 50 seeded fault schedules. The table
// shows the highest ratio of the sum of the shares in force to the limit, the fraction of the limit in force
// while demand exceeds the limit, the time until a joining node has its fair share, and the time until a node
// with a burst of requests has over 60% of the limit. Times are in rounds; a round is one renewal interval
// (200 ms).
#include <algorithm>
#include <cstdio>
#include <random>

#include "../tests/cluster/audit.hpp"

using namespace cluster_faults;

namespace {

constexpr int schedules = 50, clusters = 5, faults_per_schedule = 4;
constexpr double round_ms = 200;

double quantile_of(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

struct measurements {
  std::mutex guard;
  double highest_ratio = 0;  // sum of shares in force / limit
  int clusters_above_limit = 0, completed = 0;
  std::vector<double> used_fractions, join_rounds, burst_rounds;
};

// Waits until the condition holds and returns the waiting time in rounds.
double rounds_until(const std::function<bool()>& condition) {
  const auto began = harness::clock::now();
  while (!condition()) {
    CHECK(harness::clock::now() - began < 60s);
    std::this_thread::sleep_for(5ms);
  }
  return std::chrono::duration<double, std::milli>(harness::clock::now() - began).count() / round_ms;
}

// Runs one schedule on a running cluster: first random faults and demands drawn from the seed, then the
// measurements on the healthy cluster.
void run_schedule(quota_cluster& cluster, std::uint64_t schedule_seed, measurements& results) {
  std::mt19937_64 random(schedule_seed);
  for (int fault = 0; fault < faults_per_schedule; ++fault) {
    for (int i = 0; i < 9; ++i) cluster.set_demand(i, random() % 2 == 0 ? 400 : 1);
    const int target = static_cast<int>(random() % 9), fault_kind = static_cast<int>(random() % 4);
    if (fault_kind == 0) cluster.kill(target);
    if (fault_kind == 1) cluster.f->at(target).signal(SIGSTOP);
    if (fault_kind == 2) {
      std::set<int> partition;
      for (int i = 0; i < 9; ++i)
        if (random() % 2 == 0) partition.insert(i);
      cluster.cut(partition);
    }
    if (fault_kind == 3) {
      cluster.f->relay->lose(0.2);
      cluster.f->relay->duplicate(0.1);
      cluster.f->relay->delay(300ms);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300 + random() % 2500));
    if (fault_kind == 0) cluster.f->start(target);
    if (fault_kind == 1) cluster.f->at(target).signal(SIGCONT);
    cluster.f->relay->heal();
    cluster.f->relay->lose(0);
    cluster.f->relay->duplicate(0);
    cluster.f->relay->delay(0ms);
  }
  cluster.set_all_demand(400);
  cluster.wait_for_fair_shares(all_nodes());
  const double used_fraction = cluster.sum() / quota_cluster::global_limit;
  // Measures a joining node: kill node 5, wait until the other nodes have its share, then restart node 5.
  cluster.kill(5);
  cluster.f->wait_until([&] { return cluster.share(4) > 10.2; }, 4);
  cluster.f->start(5);
  cluster.f->wait_until([&] { return cluster.f->alive_seen_by(5) > 0; }, 5);
  const double fair =
      cluster.guaranteed_share + (quota_cluster::global_limit - 9 * cluster.guaranteed_share) * 0.95 / 9;
  const double join = rounds_until([&] { return cluster.share(5) > 0.97 * fair; });
  // Measures a burst on node 2 while the other nodes are idle.
  cluster.set_all_demand(1);
  cluster.f->wait_until([&] { return cluster.share(2) < 5; }, 2);
  cluster.set_demand(2, 400);
  const double burst = rounds_until([&] { return cluster.share(2) > 55; });
  const std::lock_guard lock(results.guard);
  results.used_fractions.push_back(used_fraction);
  results.join_rounds.push_back(join);
  results.burst_rounds.push_back(burst);
  ++results.completed;
  std::fprintf(stderr, "completed schedule %d of %d\n", results.completed, schedules);
}

}  // namespace

int main() {
  std::printf(
      "seed %llu; %d schedules of %d faults each on clusters of nine nodes; leases of 1 s, renewed every "
      "%.0f ms\n",
      static_cast<unsigned long long>(seed()), schedules, faults_per_schedule, round_ms);
  measurements results;
  std::mutex starting;
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < clusters; ++i) {
    threads.emplace_back([&] {
      std::unique_ptr<quota_cluster> cluster;
      {
        const std::lock_guard lock(starting);
        cluster = std::make_unique<quota_cluster>();
      }
      for (int schedule; (schedule = next++) < schedules;)
        run_schedule(*cluster, seed() * 1000 + static_cast<std::uint64_t>(schedule), results);
      const double highest = cluster->highest();
      const std::lock_guard lock(results.guard);
      results.highest_ratio = std::max(results.highest_ratio, highest / quota_cluster::global_limit);
      results.clusters_above_limit += highest > quota_cluster::global_limit * (1 + 1e-9);
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::printf("| measure | figure |\n| --- | --- |\n");
  std::printf("| highest sum of shares in force / limit, at any instant of %d schedules | %.6f |\n",
              results.completed, results.highest_ratio);
  std::printf("| clusters that exceeded the limit at any instant | %d of %d |\n",
              results.clusters_above_limit, clusters);
  std::printf(
      "| sum of shares in force / limit at a demand of 40 times the limit: median, minimum | %.3f, %.3f |\n",
      quantile_of(results.used_fractions, 0.5), quantile_of(results.used_fractions, 0));
  std::printf("| rounds until a joining node has its fair share: median, 99th percentile | %.1f, %.1f |\n",
              quantile_of(results.join_rounds, 0.5), quantile_of(results.join_rounds, 0.99));
  std::printf(
      "| rounds until a node with a burst has over 60%% of the limit: median, 99th percentile | %.1f, %.1f "
      "|\n",
      quantile_of(results.burst_rounds, 0.5), quantile_of(results.burst_rounds, 0.99));
  return results.clusters_above_limit == 0 ? 0 : 1;
}
