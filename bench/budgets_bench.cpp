// Measures fleet-wide budgets on nine real processes: the highest sum of shares in force over the whole, over
// 50 seeded fault schedules; the share of the whole in force when more is wanted than there is; rounds until
// a joining node holds its fair share; and how long a burst on one node waits for more. One table, one run; a
// round is a renewal (200 ms).
#include <algorithm>
#include <cstdio>
#include <random>

#include "../tests/cluster/audit.hpp"

using namespace fleet_faults;

namespace {

constexpr int schedules = 50, side_by_side = 5, faults_each = 4;
constexpr double round_ms = 200;

double at(std::vector<double> v, double quantile) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(v.size())))];
}

struct findings {
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

// One schedule on a fleet that stands: faults drawn from the seed, demand on every node, then all well again.
void play(shared_fleet& s, std::uint64_t of_seed, findings& found) {
  std::mt19937_64 random(of_seed);
  for (int fault = 0; fault < faults_each; ++fault) {
    for (int i = 0; i < 9; ++i) s.want(i, random() % 2 == 0 ? 400 : 1);
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
  s.all_want(400);
  s.settled(everyone());
  const double sum = s.sum() / shared_fleet::whole;
  // A node that joins: killed, its part given to the others, then started anew.
  s.kill(5);
  s.f->wait([&] { return s.share(4) > 10.2; }, 4);
  s.f->start(5);
  s.f->wait([&] { return s.f->alive_seen_by(5) > 0; }, 5);
  const double fair = s.safe + (shared_fleet::whole - 9 * s.safe) * 0.95 / 9;
  const double join = rounds_until([&] { return s.share(5) > 0.97 * fair; });
  // A burst on one while the others idle.
  s.all_want(1);
  s.f->wait([&] { return s.share(2) < 5; }, 2);
  s.want(2, 400);
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
      "seed %llu; %d schedules of %d faults each on fleets of nine, leases of 1 s, renewed every %.0f ms\n",
      static_cast<unsigned long long>(seed()), schedules, faults_each, round_ms);
  findings found;
  std::mutex starting;
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < side_by_side; ++t) {
    threads.emplace_back([&] {
      std::unique_ptr<shared_fleet> s;
      {
        const std::lock_guard lock(starting);
        s = std::make_unique<shared_fleet>();
      }
      for (int n; (n = next++) < schedules;) play(*s, seed() * 1000 + static_cast<std::uint64_t>(n), found);
      const double highest = s->highest();
      const std::lock_guard lock(found.guard);
      found.highest = std::max(found.highest, highest / shared_fleet::whole);
      found.above += highest > shared_fleet::whole * (1 + 1e-9);
    });
  }
  for (std::thread& t : threads) t.join();
  std::printf("| measure | figure |\n| --- | --- |\n");
  std::printf("| highest sum of shares in force over the whole, at any instant of %d schedules | %.6f |\n",
              found.played, found.highest);
  std::printf("| fleets with an instant above the whole | %d of %d |\n", found.above, side_by_side);
  std::printf("| in force when 40 times the whole is wanted, over the whole: median, least | %.3f, %.3f |\n",
              at(found.used, 0.5), at(found.used, 0));
  std::printf("| rounds until a joining node holds its fair share: median, 99th percentile | %.1f, %.1f |\n",
              at(found.join_rounds, 0.5), at(found.join_rounds, 0.99));
  std::printf("| rounds until a burst has over 60%% of the whole: median, 99th percentile | %.1f, %.1f |\n",
              at(found.burst_rounds, 0.5), at(found.burst_rounds, 0.99));
  return found.above == 0 ? 0 : 1;
}
