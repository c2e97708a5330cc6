// A cluster of nine nodes with one quota, callers that send requests to each node at a configurable rate, and
// an audit. The audit computes the sum of the shares in force at every instant from the share changes that
// each node has logged.
#pragma once

#include <array>
#include <atomic>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <thread>

#include "fleet.hpp"

namespace cluster_faults {

inline std::vector<int> all_nodes() {
  return {0, 1, 2, 3, 4, 5, 6, 7, 8};
}
inline std::vector<int> without(const std::set<int>& excluded) {
  std::vector<int> remaining;
  for (const int i : all_nodes())
    if (!excluded.contains(i)) remaining.push_back(i);
  return remaining;
}

// A time span during which a node may use a share, in the unscaled clock of the machine.
struct share_span {
  int node = 0;
  double share = 0;
  double from = 0, until = 0;  // ns
  double counted = 0;          // the part covered by the guaranteed share, which the sum always includes
};

// The concatenated logs of the processes of one member that never ran at the same time.
struct process_log {
  std::string log;
  double ended = 1e30;  // when the last of these processes ended
};

// The spans in one log. Each span lasts until the next one or until its lease expires; after that the
// guaranteed share is in force.
inline std::vector<share_span> spans_of(int number, const std::string& log, double guaranteed_share) {
  std::vector<share_span> spans;
  std::istringstream lines(log);
  std::string line;
  while (std::getline(lines, line)) {
    unsigned budget = 0;
    share_span span{number, 0, 0, 0, guaranteed_share};
    if (std::sscanf(line.c_str(), "audit: share %u %lf from %lf until %lf", &budget, &span.share, &span.from,
                    &span.until) != 4 ||
        budget != 0)
      continue;
    if (!spans.empty()) spans.back().until = std::min(spans.back().until, span.from);
    // A share without a lease is the guaranteed share, which does not expire.
    if (span.share <= guaranteed_share) span.until = 1e30;
    spans.push_back(span);
  }
  return spans;
}

// The spans of one member. While two of its processes run at the same time, the guaranteed share is counted
// for the first one.
inline std::vector<share_span> spans_of(int number, const std::vector<process_log>& logs,
                                        double guaranteed_share) {
  std::vector<share_span> member_spans;
  double previous_ended = 0;
  for (const process_log& process : logs) {
    for (share_span span : spans_of(number, process.log, guaranteed_share)) {
      span.until = std::min(span.until, process.ended);
      if (span.from < previous_ended) {
        share_span overlapping = span;
        overlapping.until = std::min(span.until, previous_ended);
        overlapping.counted = 0;
        member_spans.push_back(overlapping);
        span.from = previous_ended;
      }
      member_spans.push_back(span);
    }
    previous_ended = process.ended;
  }
  return member_spans;
}

// The highest sum over all nodes at any instant. A node without a span at that instant counts with its
// guaranteed share.
inline double highest_sum(const std::vector<std::vector<share_span>>& spans_by_node,
                          double guaranteed_share) {
  std::multimap<double, double> changes;  // by instant: the change of the sum
  for (const auto& spans : spans_by_node)
    for (const share_span& span : spans) {
      if (span.until <= span.from) continue;
      changes.insert({span.from, span.share - span.counted});
      changes.insert({span.until, -(span.share - span.counted)});
    }
  double sum = guaranteed_share * static_cast<double>(spans_by_node.size()), highest = sum;
  for (auto change = changes.begin(); change != changes.end();) {
    const double instant = change->first;
    for (; change != changes.end() && change->first == instant; ++change) sum += change->second;
    highest = std::max(highest, sum);
  }
  return highest;
}

struct quota_cluster_options {
  double drift = 0.01;
  std::function<double(int)> rate = [](int) { return 1.0; };  // the rate of the clock of node i
  int lease_ms = 1000, renew_ms = 200;
  // Above 0: the quota limits runs in flight, and each run lasts this long. 0: it limits the requests per
  // second of a tenant.
  int run_ms = 0;
  double guaranteed_share = 1;
};

// Nine nodes with one quota of `global_limit` requests per second of one tenant, or runs in flight. Each node
// has the guaranteed share.
class quota_cluster {
 public:
  static constexpr double global_limit = 90;
  const double guaranteed_share;

  explicit quota_cluster(quota_cluster_options quota = {})
      : guaranteed_share(quota.guaranteed_share), run_ms_(quota.run_ms) {
    test_cluster_options options;
    options.operators = [quota](int i) {
      std::ostringstream text;
      text << "budgets {\n lease = " << quota.lease_ms << "ms\n renew = " << quota.renew_ms
           << "ms\n settle = " << 2 * quota.run_ms << "ms\n drift = " << quota.drift
           << "\n audit = yes\n clock_rate = " << quota.rate(i)
           << "\n}\nbudget kurse {\n whole = " << global_limit << "\n safe = " << quota.guaranteed_share
           << (quota.run_ms > 0 ? "\n unit = runs\n}\n" : "\n unit = requests\n tenant = isar-invest\n}\n");
      return text.str();
    };
    // The number of cores exceeds the limit by far, so that only the share limits the runs.
    options.edit = [](int, node_options& n) { n.cores = 128; };
    f = std::make_unique<test_cluster>(options);
    logs_.resize(9);
    ended_.resize(9);
    for (int i = 0; i < 9; ++i) callers_.emplace_back([this, i] { run_caller(i); });
    f->wait_until_healthy();
  }
  ~quota_cluster() {
    stopping_ = true;
    for (std::thread& caller : callers_) caller.join();
  }

  // Sets the number of requests per second that the caller of node i sends.
  void set_demand(int i, int per_second) { demand_[static_cast<std::size_t>(i)] = per_second; }
  void set_all_demand(int per_second) {
    for (int i = 0; i < 9; ++i) set_demand(i, per_second);
  }
  // Kills a node and keeps its log for the audit.
  void kill(int i) {
    f->kill(i);
    logs_[static_cast<std::size_t>(i)] += f->at(i).log();
  }
  // Hot restart of a node by a second process. `while_both_run` is called while both processes run.
  void replace(int i, const std::function<void()>& while_both_run) {
    const auto index = static_cast<std::size_t>(i);
    f->start_replacement(i);
    while_both_run();
    const std::string log = f->end_replaced(i);
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    ended_[index].push_back({std::exchange(logs_[index], "") + log,
                             static_cast<double>(now.tv_sec) * 1e9 + static_cast<double>(now.tv_nsec)});
  }
  // Cuts the links between these nodes and all other nodes in both directions.
  void cut(const std::set<int>& side) {
    for (const int a : side)
      for (const int b : without(side)) {
        f->relay->cut_node(a, b);
        f->relay->cut_node(b, a);
      }
  }
  double share(int i) const { return field(i, 3); }
  bool lease_stands(int i) const { return field(i, 6) > 0; }
  double sum() const {
    double total = 0;
    for (int i = 0; i < 9; ++i) total += share(i);
    return total;
  }
  // The node that reports itself as the leader; -1: no node does.
  int leader() const {
    for (const int i : all_nodes())
      if (f->running(i) && statistic(f->console(i), "budgets.leads") == 1) return i;
    return -1;
  }
  // Waits until each of these nodes has at least 97 % of its fair share of the divisible pool. The demand of
  // each of them must be higher than its fair share.
  void wait_for_fair_shares(const std::vector<int>& nodes) const {
    const double fair_share =
        guaranteed_share + (global_limit - 9 * guaranteed_share) * 0.95 / static_cast<double>(nodes.size());
    for (const int i : nodes) f->wait_until([&] { return share(i) > 0.97 * fair_share; }, i);
  }
  // The highest number of runs in flight at the runtimes of all nodes at any instant, and the current number.
  int most_in_flight() const { return most_in_flight_; }
  int in_flight() const { return in_flight_; }
  long rejected(int i) const { return rejected_[static_cast<std::size_t>(i)]; }
  // The longest time between a request and its rejection.
  long longest_rejection_ms() const { return longest_rejection_; }

  // Checks that the sum of the shares in force never exceeded the limit.
  void audit() { CHECK(highest() <= global_limit * (1 + 1e-9)); }
  // The highest sum of the shares in force at any instant. Checks that the logs contain more than 9 spans.
  double highest() {
    std::vector<std::vector<share_span>> spans_by_node;
    std::size_t span_count = 0;
    for (int i = 0; i < 9; ++i) {
      std::vector<process_log> logs = ended_[static_cast<std::size_t>(i)];
      logs.push_back({logs_[static_cast<std::size_t>(i)] + (f->running(i) ? f->at(i).log() : "")});
      spans_by_node.push_back(spans_of(i, logs, guaranteed_share));
      span_count += spans_by_node.back().size();
    }
    const double highest = highest_sum(spans_by_node, guaranteed_share);
    std::printf("%zu spans, highest sum %.6f of %.0f\n", span_count, highest, global_limit);
    CHECK(span_count > 9);
    return highest;
  }

  std::unique_ptr<test_cluster> f;

 private:
  double field(int i, int position) const {
    std::istringstream reply(call(f->console(i), "show-budgets\n"));
    std::string line;
    std::getline(reply, line);
    std::string word;
    for (int k = 0; k <= position; ++k) CHECK(reply >> word);
    return std::stod(word);
  }

  // Sends requests to node i at the rate of its demand, reconnecting when the connection fails, and runs the
  // fake runtime of the node.
  void run_caller(int i) {
    const auto index = static_cast<std::size_t>(i);
    int number = 0;
    double requests_due = 0;
    auto last = harness::clock::now();
    int fd = -1;
    std::string in;
    std::map<int, harness::clock::time_point> sent_at;  // by request number
    while (!stopping_) {
      std::this_thread::sleep_for(5ms);
      const auto now = harness::clock::now();
      requests_due =
          std::min(requests_due + demand_[index] * std::chrono::duration<double>(now - last).count(), 30.0);
      last = now;
      run_runtime(i);
      const int port = f ? f->port(i) : 0;
      if (port == 0) continue;
      if (fd < 0) {
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
          ::close(std::exchange(fd, -1));
          continue;
        }
        in.clear();
        sent_at.clear();
        number = 0;
      }
      bool connected = true;
      for (; requests_due >= 1 && sent_at.size() < 30 && connected; requests_due -= 1) {
        ++number;
        const std::string bytes = execute(number, usual(i * 10'000'000 + number), "kurs");
        connected = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
                    static_cast<ssize_t>(bytes.size());
        sent_at[number] = harness::clock::now();
      }
      char chunk[8192];
      ssize_t received = 0;
      while (connected && (received = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT)) > 0)
        in.append(chunk, static_cast<std::size_t>(received));
      if (!connected || received == 0) {
        ::close(std::exchange(fd, -1));
        continue;
      }
      while (in.size() >= 4 && in.size() >= 4 + to_u32(in)) {
        const std::string payload = in.substr(4, to_u32(in));
        in.erase(0, 4 + payload.size());
        const std::size_t name_length = to_u32(std::string_view(payload).substr(4));
        const int seqid = static_cast<int>(to_u32(std::string_view(payload).substr(8 + name_length)));
        if (payload[3] == 2 && payload.size() > 14 + name_length && payload[12 + name_length + 2] == 1) {
          ++rejected_[index];
          const long elapsed_ms = (harness::clock::now() - sent_at[seqid]) / 1ms;
          if (elapsed_ms > longest_rejection_) longest_rejection_ = elapsed_ms;
        }
        sent_at.erase(seqid);
      }
    }
    if (fd >= 0) ::close(fd);
  }
  // Accepts the runs that node i starts at its runtime and completes those whose run time has elapsed,
  // without waiting. Runs of a killed node continue until they complete, as at a real runtime.
  void run_runtime(int i) {
    if (!f) return;
    const std::lock_guard lock(f->guard(i));
    auto& runs = runs_[static_cast<std::size_t>(i)];
    while (!runs.empty() && runs.front().ends <= harness::clock::now()) {
      // Decremented before the node receives the completion, because the node may start the next run at once.
      --in_flight_;
      f->each_runtime(i, [&](runtime& fake, int process) {
        if (runs.front().process == process) fake.end(runs.front().call, "fine", runs.front().blob);
      });
      runs.pop_front();
    }
    f->each_runtime(i, [&](runtime& fake, int process) {
      std::string line;
      while (fake.link.readable(0)) {
        if (!fake.link.next(line)) return;
        if (fake.answer_gauges(line) || member(line, "msg") != "start") continue;
        const int current = ++in_flight_;
        for (int most = most_in_flight_;
             current > most && !most_in_flight_.compare_exchange_weak(most, current);) {
        }
        runs.push_back({harness::clock::now() + std::chrono::milliseconds(run_ms_), process,
                        member(line, "call"), member(line, "blob")});
      }
    });
  }

  struct run {
    harness::clock::time_point ends;
    int process = 0;  // the number of the process that started the run
    std::string call, blob;
  };
  int run_ms_;
  std::array<std::deque<run>, 9> runs_;
  std::atomic<int> in_flight_ = 0, most_in_flight_ = 0;
  std::vector<std::string> logs_;
  std::vector<std::vector<process_log>> ended_;  // by node: the logs of replaced processes
  std::array<std::atomic<int>, 9> demand_{};
  std::array<std::atomic<long>, 9> rejected_{};
  std::atomic<long> longest_rejection_ = 0;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> callers_;
};

}  // namespace cluster_faults
