// A cluster of nine nodes with one quota, callers with a set demand on each node, and the audit: it adds up
// the shares in force at every instant, from each node's own log of the shares that it acted on.
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
inline std::vector<int> without(const std::set<int>& these) {
  std::vector<int> rest;
  for (const int i : all_nodes())
    if (!these.contains(i)) rest.push_back(i);
  return rest;
}

// One span in which a node may act on a share, by the machine's own clock.
struct share_span {
  int node = 0;
  double share = 0;
  double from = 0, until = 0;  // ns
  double counted = 0;          // of it, in the guaranteed share, which is counted for each member in any case
};

// The joint log of processes of one member that never ran side by side.
struct process_log {
  std::string log;
  double ended = 1e30;  // when the last of them had ended
};

// The spans in one log: each lasts until the next, or until its lease expires; from then on the guaranteed
// share is in force.
inline std::vector<share_span> spans_of(int number, const std::string& log, double guaranteed_share) {
  std::vector<share_span> spans;
  std::istringstream lines(log);
  std::string line;
  while (std::getline(lines, line)) {
    unsigned budget = 0;
    share_span s{number, 0, 0, 0, guaranteed_share};
    if (std::sscanf(line.c_str(), "audit: share %u %lf from %lf until %lf", &budget, &s.share, &s.from,
                    &s.until) != 4 ||
        budget != 0)
      continue;
    if (!spans.empty()) spans.back().until = std::min(spans.back().until, s.from);
    // A share without a lease: the guaranteed one, which does not expire.
    if (s.share <= guaranteed_share) s.until = 1e30;
    spans.push_back(s);
  }
  return spans;
}

// The spans of one member. While two of its processes run side by side, the guaranteed share is counted for
// the first.
inline std::vector<share_span> spans_of(int number, const std::vector<process_log>& lines,
                                        double guaranteed_share) {
  std::vector<share_span> all;
  double alone_from = 0;
  for (const process_log& line : lines) {
    for (share_span s : spans_of(number, line.log, guaranteed_share)) {
      s.until = std::min(s.until, line.ended);
      if (s.from < alone_from) {
        share_span beside = s;
        beside.until = std::min(s.until, alone_from);
        beside.counted = 0;
        all.push_back(beside);
        s.from = alone_from;
      }
      all.push_back(s);
    }
    alone_from = line.ended;
  }
  return all;
}

// The highest sum over all nodes at any instant, with the guaranteed share for each node that has no span
// then.
inline double highest_sum(const std::vector<std::vector<share_span>>& all, double guaranteed_share) {
  std::multimap<double, double> changes;  // instant -> what is added to the sum
  for (const auto& spans : all)
    for (const share_span& s : spans) {
      if (s.until <= s.from) continue;
      changes.insert({s.from, s.share - s.counted});
      changes.insert({s.until, -(s.share - s.counted)});
    }
  double sum = guaranteed_share * static_cast<double>(all.size()), highest = sum;
  for (auto at = changes.begin(); at != changes.end();) {
    const double instant = at->first;
    for (; at != changes.end() && at->first == instant; ++at) sum += at->second;
    highest = std::max(highest, sum);
  }
  return highest;
}

struct quota_cluster_options {
  double drift = 0.01;
  std::function<double(int)> rate = [](int) { return 1.0; };  // of node i's clock
  int lease_ms = 1000, renew_ms = 200;
  int run_ms =
      0;  // above 0: the whole is of runs in flight, each of which takes so long; else of a tenant's requests
  double guaranteed_share = 1;
};

// `whole` requests a second of one tenant, or runs in flight; `safe` of them each node's own.
class quota_cluster {
 public:
  static constexpr double global_limit = 90;
  const double guaranteed_share;

  explicit quota_cluster(quota_cluster_options o = {})
      : guaranteed_share(o.guaranteed_share), run_ms_(o.run_ms) {
    test_cluster_options options;
    options.operators = [o](int i) {
      std::ostringstream t;
      t << "budgets {\n lease = " << o.lease_ms << "ms\n renew = " << o.renew_ms
        << "ms\n settle = " << 2 * o.run_ms << "ms\n drift = " << o.drift
        << "\n audit = yes\n clock_rate = " << o.rate(i) << "\n}\nbudget kurse {\n whole = " << global_limit
        << "\n safe = " << o.guaranteed_share
        << (o.run_ms > 0 ? "\n unit = runs\n}\n" : "\n unit = requests\n tenant = isar-invest\n}\n");
      return t.str();
    };
    // Far more cores than the limit: nothing but the share bounds the runs.
    options.edit = [](int, node_options& n) { n.cores = 128; };
    f = std::make_unique<test_cluster>(options);
    logs_.resize(9);
    ended_.resize(9);
    for (int i = 0; i < 9; ++i) callers_.emplace_back([this, i] { run_caller(i); });
    f->wait_until_healthy();
  }
  ~quota_cluster() {
    over_ = true;
    for (std::thread& t : callers_) t.join();
  }

  // Requests a second that the callers of node i send from now on.
  void set_demand(int i, int per_second) { demand_[static_cast<std::size_t>(i)] = per_second; }
  void set_all_demand(int per_second) {
    for (int i = 0; i < 9; ++i) set_demand(i, per_second);
  }
  // Kills a node; its log so far is kept for the audit.
  void kill(int i) {
    f->kill(i);
    logs_[static_cast<std::size_t>(i)] += f->at(i).log();
  }
  // Hot restart of a node by a second process; `between` is called while both run.
  void replace(int i, const std::function<void()>& between) {
    const auto at = static_cast<std::size_t>(i);
    f->start_replacement(i);
    between();
    const std::string log = f->end_replaced(i);
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    ended_[at].push_back({std::exchange(logs_[at], "") + log,
                          static_cast<double>(t.tv_sec) * 1e9 + static_cast<double>(t.tv_nsec)});
  }
  // Cuts these nodes from the others, both ways.
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
    double s = 0;
    for (int i = 0; i < 9; ++i) s += share(i);
    return s;
  }
  // The node that shows itself as the leader; -1: none does.
  int leader() const {
    for (const int i : all_nodes())
      if (f->running(i) && statistic(f->console(i), "budgets.leads") == 1) return i;
    return -1;
  }
  // Waits until each of these has about its fair share of the divisible pool, while all have more demand than
  // that.
  void wait_for_fair_shares(const std::vector<int>& who) const {
    const double fair =
        guaranteed_share + (global_limit - 9 * guaranteed_share) * 0.95 / static_cast<double>(who.size());
    for (const int i : who) f->wait_until([&] { return share(i) > 0.97 * fair; }, i);
  }
  // The most runs that the runtimes of all nodes had at one instant, and how many they have now.
  int most_in_flight() const { return most_in_flight_; }
  int in_flight() const { return in_flight_; }
  long rejected(int i) const { return rejected_[static_cast<std::size_t>(i)]; }
  // The longest time until a rejection arrived.
  long longest_rejection_ms() const { return longest_rejection_; }

  // The sum exceeded the limit at no instant that was logged.
  void audit() { CHECK(highest() <= global_limit * (1 + 1e-9)); }
  // The highest sum of shares in force at any instant; checks that there were spans at all.
  double highest() {
    std::vector<std::vector<share_span>> all;
    std::size_t spans = 0;
    for (int i = 0; i < 9; ++i) {
      std::vector<process_log> lines = ended_[static_cast<std::size_t>(i)];
      lines.push_back({logs_[static_cast<std::size_t>(i)] + (f->running(i) ? f->at(i).log() : "")});
      all.push_back(spans_of(i, lines, guaranteed_share));
      spans += all.back().size();
    }
    const double most = highest_sum(all, guaranteed_share);
    std::printf("%zu spans, highest sum %.6f of %.0f\n", spans, most, global_limit);
    CHECK(spans > 9);
    return most;
  }

  std::unique_ptr<test_cluster> f;

 private:
  double field(int i, int which) const {
    std::istringstream in(call(f->console(i), "show-budgets\n"));
    std::string line;
    std::getline(in, line);
    std::string word;
    for (int k = 0; k <= which; ++k) CHECK(in >> word);
    return std::stod(word);
  }

  // Sends node i requests at the rate of its demand on one connection after another, and runs its fake
  // runtime.
  void run_caller(int i) {
    const auto at = static_cast<std::size_t>(i);
    int number = 0;
    double owed = 0;
    auto last = harness::clock::now();
    int fd = -1;
    std::string in;
    std::map<int, harness::clock::time_point> asked;
    while (!over_) {
      std::this_thread::sleep_for(5ms);
      const auto now = harness::clock::now();
      owed = std::min(owed + demand_[at] * std::chrono::duration<double>(now - last).count(), 30.0);
      last = now;
      run_runtime(i);
      const int port = f ? f->port(i) : 0;
      if (port == 0) continue;
      if (fd < 0) {
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = address_of(port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
          ::close(std::exchange(fd, -1));
          continue;
        }
        in.clear();
        asked.clear();
        number = 0;
      }
      bool good = true;
      for (; owed >= 1 && asked.size() < 30 && good; owed -= 1) {
        ++number;
        const std::string bytes = execute(number, usual(i * 10'000'000 + number), "kurs");
        good = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
               static_cast<ssize_t>(bytes.size());
        asked[number] = harness::clock::now();
      }
      char chunk[8192];
      ssize_t n = 0;
      while (good && (n = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT)) > 0)
        in.append(chunk, static_cast<std::size_t>(n));
      if (!good || n == 0) {
        ::close(std::exchange(fd, -1));
        continue;
      }
      while (in.size() >= 4 && in.size() >= 4 + to_u32(in)) {
        const std::string p = in.substr(4, to_u32(in));
        in.erase(0, 4 + p.size());
        const std::size_t name = to_u32(std::string_view(p).substr(4));
        const int seqid = static_cast<int>(to_u32(std::string_view(p).substr(8 + name)));
        if (p[3] == 2 && p.size() > 14 + name && p[12 + name + 2] == 1) {
          ++rejected_[at];
          const long took = (harness::clock::now() - asked[seqid]) / 1ms;
          if (took > longest_rejection_) longest_rejection_ = took;
        }
        asked.erase(seqid);
      }
    }
    if (fd >= 0) ::close(fd);
  }
  // Accepts the runs that node i starts at its runtime and ends those whose time is over, without waiting.
  // Runs of a node that was killed go on to their end, as at a real runtime.
  void run_runtime(int i) {
    if (!f) return;
    const std::lock_guard lock(f->guard(i));
    auto& runs = runs_[static_cast<std::size_t>(i)];
    while (!runs.empty() && runs.front().ends <= harness::clock::now()) {
      // Counted down before the node is told, which may start the next one at once.
      --in_flight_;
      f->each_runtime(i, [&](runtime& r, int of) {
        if (runs.front().of == of) r.end(runs.front().call, "fine", runs.front().blob);
      });
      runs.pop_front();
    }
    f->each_runtime(i, [&](runtime& r, int of) {
      std::string line;
      while (r.link.readable(0)) {
        if (!r.link.next(line)) return;
        if (r.answer_gauges(line) || member(line, "msg") != "start") continue;
        const int now = ++in_flight_;
        for (int most = most_in_flight_; now > most && !most_in_flight_.compare_exchange_weak(most, now);) {
        }
        runs.push_back({harness::clock::now() + std::chrono::milliseconds(run_ms_), of, member(line, "call"),
                        member(line, "blob")});
      }
    });
  }

  struct run {
    harness::clock::time_point ends;
    int of = 0;  // the process that started it
    std::string call, blob;
  };
  int run_ms_;
  std::array<std::deque<run>, 9> runs_;
  std::atomic<int> in_flight_ = 0, most_in_flight_ = 0;
  std::vector<std::string> logs_;
  std::vector<std::vector<process_log>> ended_;  // by node: of processes that were replaced
  std::array<std::atomic<int>, 9> demand_{};
  std::array<std::atomic<long>, 9> rejected_{};
  std::atomic<long> longest_rejection_ = 0;
  std::atomic<bool> over_ = false;
  std::vector<std::thread> callers_;
};

}  // namespace cluster_faults
