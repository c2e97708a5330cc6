// Measures cluster-wide quotas on nine real processes: the highest sum of shares in force over the limit,
// over 50 seeded fault schedules; the fraction of the limit in force when demand is above it; rounds until a
// joining node holds its fair share; and how long a burst on one node waits for more. One table, one run; a
// round is a renewal (200 ms).
#include <algorithm>
#include <cstdio>
#include <random>

#include "../tests/cluster/audit.hpp"

using namespace cluster_faults;

namespace {

constexpr int schedules = 50, side_by_side = 5, faults_each = 4;
constexpr double round_ms = 200;

double quantile_of(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

struct measurements {
  std::mutex guard;
  double highest = 0;
  int above = 0, played = 0;
  std::vector<double> used, join_rounds, burst_rounds;
};

double rounds_until(const std::function<bool()>& done) {
  const auto begun = harness::clock::now();
  while (!done()) {
    CHECK(harness::clock::now() - begun < 60s);
    std::this_thread::sleep_for(5ms);
  }
  return std::chrono::duration<double, std::milli>(harness::clock::now() - begun).count() / round_ms;
}

// One schedule on a running cluster: faults drawn from the seed, demand on every node, then all healthy
// again.
void run_schedule(quota_cluster& s, std::uint64_t of_seed, measurements& found) {
  std::mt19937_64 random(of_seed);
  for (int fault = 0; fault < faults_each; ++fault) {
    for (int i = 0; i < 9; ++i) s.set_demand(i, random() % 2 == 0 ? 400 : 1);
    const int who = static_cast<int>(random() % 9), how = static_cast<int>(random() % 4);
    if (how == 0) s.kill(who);
    if (how == 1) s.f->at(who).signal(SIGSTOP);
    if (how == 2) {
      std::set<int> side;
      for (int i = 0; i < 9; ++i)
        if (random() % 2 == 0) side.insert(i);
      s.cut(side);
    }
    if (how == 3) {
      s.f->relay->lose(0.2);
      s.f->relay->duplicate(0.1);
      s.f->relay->delay(300ms);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300 + random() % 2500));
    if (how == 0) s.f->start(who);
    if (how == 1) s.f->at(who).signal(SIGCONT);
    s.f->relay->heal();
    s.f->relay->lose(0);
    s.f->relay->duplicate(0);
    s.f->relay->delay(0ms);
  }
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const double sum = s.sum() / quota_cluster::global_limit;
  // A node that joins: killed, its share granted to the others, then restarted.
  s.kill(5);
  s.f->wait_until([&] { return s.share(4) > 10.2; }, 4);
  s.f->start(5);
  s.f->wait_until([&] { return s.f->alive_seen_by(5) > 0; }, 5);
  const double fair = s.guaranteed_share + (quota_cluster::global_limit - 9 * s.guaranteed_share) * 0.95 / 9;
  const double join = rounds_until([&] { return s.share(5) > 0.97 * fair; });
  // A burst on one while the others idle.
  s.set_all_demand(1);
  s.f->wait_until([&] { return s.share(2) < 5; }, 2);
  s.set_demand(2, 400);
  const double burst = rounds_until([&] { return s.share(2) > 55; });
  const std::lock_guard lock(found.guard);
  found.used.push_back(sum);
  found.join_rounds.push_back(join);
  found.burst_rounds.push_back(burst);
  ++found.played;
  std::fprintf(stderr, "schedule %d of %d\n", found.played, schedules);
}

}  // namespace

int main() {
  std::printf(
      "seed %llu; %d schedules of %d faults each on clusters of nine, leases of 1 s, renewed every %.0f ms\n",
      static_cast<unsigned long long>(seed()), schedules, faults_each, round_ms);
  measurements found;
  std::mutex starting;
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < side_by_side; ++t) {
    threads.emplace_back([&] {
      std::unique_ptr<quota_cluster> s;
      {
        const std::lock_guard lock(starting);
        s = std::make_unique<quota_cluster>();
      }
      for (int n; (n = next++) < schedules;)
        run_schedule(*s, seed() * 1000 + static_cast<std::uint64_t>(n), found);
      const double highest = s->highest();
      const std::lock_guard lock(found.guard);
      found.highest = std::max(found.highest, highest / quota_cluster::global_limit);
      found.above += highest > quota_cluster::global_limit * (1 + 1e-9);
    });
  }
  for (std::thread& t : threads) t.join();
  std::printf("| measure | figure |\n| --- | --- |\n");
  std::printf("| highest sum of shares in force over the limit, at any instant of %d schedules | %.6f |\n",
              found.played, found.highest);
  std::printf("| clusters with an instant above the limit | %d of %d |\n", found.above, side_by_side);
  std::printf("| in force when 40 times the limit is wanted, over the limit: median, least | %.3f, %.3f |\n",
              quantile_of(found.used, 0.5), quantile_of(found.used, 0));
  std::printf("| rounds until a joining node holds its fair share: median, 99th percentile | %.1f, %.1f |\n",
              quantile_of(found.join_rounds, 0.5), quantile_of(found.join_rounds, 0.99));
  std::printf("| rounds until a burst has over 60%% of the limit: median, 99th percentile | %.1f, %.1f |\n",
              quantile_of(found.burst_rounds, 0.5), quantile_of(found.burst_rounds, 0.99));
  return found.above == 0 ? 0 : 1;
}
