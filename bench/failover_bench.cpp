// Measures failover on clusters of nine real processes: time from a zone's loss to every member's agreed view
// over 50 seeded faults, false decisions under 20% loss, the fraction of routed calls that stay in their zone
// when all is healthy, and what a node costs with membership off beside an earlier build of the program. One
// table, one run.
//
//   marblewharf_failover_bench [EARLIER_PROGRAM [cost]]
//
// `cost`: nothing but the cost beside the earlier program.
#include <algorithm>
#include <cstdio>

#include "../tools/fleet/experiments.hpp"

using namespace cluster_experiments;

namespace {

constexpr int faults = 50, fleets = 4, probe_ms = 100;

double quantile_of(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

// Processor time of the reactor for each of `n` requests, 16 open at a time on one connection.
double cost_us(const std::string& program, int n) {
  runtime r;
  node_options o;
  o.program = program;
  o.quota = o.other_quota = 1000000;
  node one(r, o);
  r.up();
  std::atomic<bool> over = false;
  std::thread stub([&] {
    std::string line;
    while (!over) {
      if (!r.link.readable(50)) continue;
      if (!r.link.next(line)) return;
      if (r.answer_gauges(line) || member(line, "msg") != "start") continue;
      r.end(member(line, "call"), "fine", member(line, "blob"));
    }
  });
  connection c = connection::to(one.port);
  int asked = 0, answered = 0;
  const auto ask = [&] {
    ++asked;
    c.send(execute(asked, usual(asked), "kurs"));
  };
  const auto begun = [&] { return one.reactor_used(); };
  std::chrono::nanoseconds from{};
  const int warm = n / 5;
  for (int i = 0; i < 16; ++i) ask();
  while (answered < n + warm) {
    read_reply(c);
    if (++answered == warm) from = begun();
    if (asked < n + warm) ask();
  }
  const auto used = begun() - from;
  over = true;
  one.signal(SIGKILL);
  one.wait();
  stub.join();
  return std::chrono::duration<double, std::micro>(used).count() / n;
}

}  // namespace

int main(int argc, char** argv) {
  std::printf("seed %llu; fleets of nine processes, probe interval %d ms\n",
              static_cast<unsigned long long>(seed()), probe_ms);
  std::printf("| measure | figure |\n| --- | --- |\n");
  if (argc > 1) {
    // One after the other, in turn first and second: the machine's own drift hits both alike.
    std::vector<double> now, before, ratios;
    for (int round = 0; round < 25; ++round) {
      const bool first = round % 2 == 0;
      const double a = cost_us(first ? MARBLEWHARF : argv[1], 8000),
                   b = cost_us(first ? argv[1] : MARBLEWHARF, 8000);
      now.push_back(first ? a : b);
      before.push_back(first ? b : a);
      ratios.push_back(now.back() / before.back());
    }
    std::printf(
        "| cost of a request with membership off, over the earlier program (median of 25 pairs; least, most) "
        "| "
        "%.3f (%.3f, %.3f) |\n",
        quantile_of(ratios, 0.5), quantile_of(ratios, 0), quantile_of(ratios, 1));
    std::printf("| the same of the two medians, us of the reactor | %.2f / %.2f |\n", quantile_of(now, 0.5),
                quantile_of(before, 0.5));
    std::printf("| the same of the least of each, which other load on the machine moves least | %.3f |\n",
                quantile_of(now, 0) / quantile_of(before, 0));
  }
  if (argc > 2 && std::string(argv[2]) == "cost") return 0;
  std::printf("| routed calls that stay in their zone, all well (2,000 calls) | %.4f |\n",
              share_in_zone(2000));
  std::fflush(stdout);
  const auto looks = lossy(0.2, 0, 0ms, 60, fleets, probe_ms);
  long declared = 0, suspect = 0, dead = 0;
  std::map<int, long> of_fleet;
  for (const lossy_sample& l : looks) {
    suspect += l.suspect;
    dead += l.dead;
    of_fleet[l.fleet] = std::max(of_fleet[l.fleet], l.declared_out);
  }
  for (const auto& [fleet, n] : of_fleet) declared += n;
  const double views = static_cast<double>(looks.size()) * 72;
  std::printf("| 20%% loss, %d fleets, 60 s: zones declared out | %ld |\n", fleets, declared);
  std::printf("| ... share of views that hold a healthy member suspect; dead | %.4f; %.4f |\n",
              static_cast<double>(suspect) / views, static_cast<double>(dead) / views);
  std::fflush(stdout);
  const auto rows = zone_losses(faults, fleets, probe_ms, seed());
  long wrong = 0;
  for (const char* how : {"", "killed", "cut", "one_way"}) {
    std::vector<double> agreed, spread, back;
    for (const zone_loss& r : rows) {
      if (*how != '\0' && r.how != how) continue;
      agreed.push_back(r.agreed_ms / probe_ms);
      spread.push_back((r.agreed_ms - r.first_ms) / probe_ms);
      back.push_back(r.back_ms / probe_ms);
      if (*how == '\0') wrong += r.wrong;
    }
    if (agreed.empty()) continue;
    std::printf(
        "| zone %s (%zu faults): loss to agreed view, probe intervals: median, 99th percentile | %.1f, %.1f "
        "|\n",
        *how != '\0' ? how : "lost", agreed.size(), quantile_of(agreed, 0.5), quantile_of(agreed, 0.99));
    std::printf(
        "| ... first member to last: median, 99th; heal to whole again (hold-down %d): median, 99th | "
        "%.1f, %.1f; %.1f, %.1f |\n",
        1000 / probe_ms, quantile_of(spread, 0.5), quantile_of(spread, 0.99), quantile_of(back, 0.5),
        quantile_of(back, 0.99));
  }
  std::printf("| verdicts on healthy zones in these faults | %ld |\n", wrong);
  return 0;
}
