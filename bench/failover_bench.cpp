// Measures failover on clusters of nine real processes: the time from the loss of a zone until all members
// agree on it over 50 seeded faults, false decisions at 20% packet loss, and the fraction of routed calls
// that stay in their zone while all members are healthy. Given an earlier build of the program, also compares
// the processor time per request with membership off.
//
//   marblewharf_failover_bench [EARLIER_PROGRAM [cost]]
//
// `cost`: measure only the processor time per request.
#include <algorithm>
#include <cstdio>

#include "../tools/fleet/experiments.hpp"

using namespace cluster_experiments;

namespace {

constexpr int faults = 50, clusters = 4, probe_ms = 100;

double quantile_of(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

// Returns the processor time of the reactor per request, in us, over `requests` requests. One connection
// keeps 16 requests in flight. Before the measurement, `requests` / 5 further requests warm the node up.
double request_cost_us(const std::string& program, int requests) {
  runtime r;
  node_options options;
  options.program = program;
  options.quota = options.other_quota = 1000000;
  node price_node(r, options);
  r.up();
  std::atomic<bool> stopping = false;
  std::thread runtime_thread([&] {
    std::string line;
    while (!stopping) {
      if (!r.link.readable(50)) continue;
      if (!r.link.next(line)) return;
      if (r.answer_gauges(line) || member(line, "msg") != "start") continue;
      r.end(member(line, "call"), "fine", member(line, "blob"));
    }
  });
  connection link = connection::to(price_node.port);
  int sent = 0, answered = 0;
  const auto send_request = [&] {
    ++sent;
    link.send(execute(sent, usual(sent), "kurs"));
  };
  const auto reactor_time = [&] { return price_node.reactor_used(); };
  std::chrono::nanoseconds time_after_warm_up{};
  const int warm_up = requests / 5;
  for (int i = 0; i < 16; ++i) send_request();
  while (answered < requests + warm_up) {
    read_reply(link);
    if (++answered == warm_up) time_after_warm_up = reactor_time();
    if (sent < requests + warm_up) send_request();
  }
  const auto used = reactor_time() - time_after_warm_up;
  stopping = true;
  price_node.signal(SIGKILL);
  price_node.wait();
  runtime_thread.join();
  return std::chrono::duration<double, std::micro>(used).count() / requests;
}

}  // namespace

int main(int argc, char** argv) {
  std::printf("seed %llu; clusters of nine processes, probe interval %d ms\n",
              static_cast<unsigned long long>(seed()), probe_ms);
  std::printf("| measure | figure |\n| --- | --- |\n");
  if (argc > 1) {
    // Runs the two programs in pairs and alternates their order, so that drift of the machine affects both
    // equally.
    std::vector<double> current, earlier, ratios;
    for (int round = 0; round < 25; ++round) {
      const bool current_first = round % 2 == 0;
      const double first_us = request_cost_us(current_first ? MARBLEWHARF : argv[1], 8000),
                   second_us = request_cost_us(current_first ? argv[1] : MARBLEWHARF, 8000);
      current.push_back(current_first ? first_us : second_us);
      earlier.push_back(current_first ? second_us : first_us);
      ratios.push_back(current.back() / earlier.back());
    }
    std::printf(
        "| reactor processor time per request with membership off, current / earlier program (median of 25 "
        "pairs; "
        "minimum, maximum) | %.3f (%.3f, %.3f) |\n",
        quantile_of(ratios, 0.5), quantile_of(ratios, 0), quantile_of(ratios, 1));
    std::printf(
        "| reactor processor time per request, us: median of current / median of earlier program | %.2f / "
        "%.2f |\n",
        quantile_of(current, 0.5), quantile_of(earlier, 0.5));
    std::printf("| ratio of the two minima, which other load on the machine affects least | %.3f |\n",
                quantile_of(current, 0) / quantile_of(earlier, 0));
  }
  if (argc > 2 && std::string(argv[2]) == "cost") return 0;
  std::printf(
      "| fraction of routed calls that stay in their zone, all members healthy (2,000 calls) | %.4f |\n",
      measure_fraction_in_zone(2000));
  std::fflush(stdout);
  const auto samples = measure_packet_loss(0.2, 0, 0ms, 60, clusters, probe_ms);
  long declared = 0, suspect = 0, dead = 0;
  std::map<int, long> declared_by_cluster;
  for (const packet_loss_sample& sample : samples) {
    suspect += sample.suspect;
    dead += sample.dead;
    declared_by_cluster[sample.cluster] = std::max(declared_by_cluster[sample.cluster], sample.declared_out);
  }
  for (const auto& [cluster, decisions] : declared_by_cluster) declared += decisions;
  const double views = static_cast<double>(samples.size()) * 72;
  std::printf("| 20%% loss, %d clusters, 60 s: decisions that declare a zone out | %ld |\n", clusters,
              declared);
  std::printf("| ... fraction of views with a healthy member suspect; dead | %.4f; %.4f |\n",
              static_cast<double>(suspect) / views, static_cast<double>(dead) / views);
  std::fflush(stdout);
  const auto rows = measure_zone_losses(faults, clusters, probe_ms, seed());
  long wrong_decisions = 0;
  for (const char* fault_kind : {"", "killed", "cut", "one_way"}) {
    std::vector<double> agreed_intervals, spread_intervals, recovered_intervals;
    for (const zone_loss& row : rows) {
      if (*fault_kind != '\0' && row.fault_kind != fault_kind) continue;
      agreed_intervals.push_back(row.agreed_ms / probe_ms);
      spread_intervals.push_back((row.agreed_ms - row.first_ms) / probe_ms);
      recovered_intervals.push_back(row.recovered_ms / probe_ms);
      if (*fault_kind == '\0') wrong_decisions += row.wrong_decisions;
    }
    if (agreed_intervals.empty()) continue;
    std::printf(
        "| zone %s (%zu faults): probe intervals until all members agree: median, 99th percentile "
        "| %.1f, %.1f |\n",
        *fault_kind != '\0' ? fault_kind : "lost", agreed_intervals.size(),
        quantile_of(agreed_intervals, 0.5), quantile_of(agreed_intervals, 0.99));
    std::printf(
        "| ... from the first member to the last: median, 99th; from healing to full recovery (hold-down "
        "%d): median, 99th | "
        "%.1f, %.1f; %.1f, %.1f |\n",
        1000 / probe_ms, quantile_of(spread_intervals, 0.5), quantile_of(spread_intervals, 0.99),
        quantile_of(recovered_intervals, 0.5), quantile_of(recovered_intervals, 0.99));
  }
  std::printf("| decisions against healthy zones during these faults | %ld |\n", wrong_decisions);
  return 0;
}
