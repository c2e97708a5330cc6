// A fleet of nine that shares a rate, with callers of a seeded demand on each node, and the auditor: it sums,
// from each node's own log of the shares it acted on, the parts in force at every instant.
#pragma once

#include <array>
#include <atomic>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <thread>

#include "fleet.hpp"

namespace fleet_faults {

inline std::vector<int> everyone() {
  return {0, 1, 2, 3, 4, 5, 6, 7, 8};
}
inline std::vector<int> without(const std::set<int>& these) {
  std::vector<int> rest;
  for (const int i : everyone())
    if (!these.contains(i)) rest.push_back(i);
  return rest;
}

// One span in which a node may act on a share, by the machine's own clock.
struct in_force {
  int node = 0;
  double share = 0;
  double from = 0, until = 0;  // ns
  double counted = 0;          // of it, in the safe share that is counted for each member anyway
};

// What processes of one member logged that never ran side by side.
struct process_line {
  std::string log;
  double ended = 1e30;  // the last of them was told to leave, and was gone then
};

// The spans in one log: each lasts until the next, or its lease's end, from which on the safe share is in
// force.
inline std::vector<in_force> spans_of(int number, const std::string& log, double safe) {
  std::vector<in_force> spans;
  std::istringstream lines(log);
  std::string line;
  while (std::getline(lines, line)) {
    unsigned budget = 0;
    in_force s{number, 0, 0, 0, safe};
    if (std::sscanf(line.c_str(), "audit: share %u %lf from %lf until %lf", &budget, &s.share, &s.from,
                    &s.until) != 4 ||
        budget != 0)
      continue;
    if (!spans.empty()) spans.back().until = std::min(spans.back().until, s.from);
    // A share told after its lease: the safe one, which has no end.
    if (s.share <= safe) s.until = 1e30;
    spans.push_back(s);
  }
  return spans;
}

// The spans of one member. While two of its processes run side by side, the safe share is counted for the
// first.
inline std::vector<in_force> spans_of(int number, const std::vector<process_line>& lines, double safe) {
  std::vector<in_force> all;
  double alone_from = 0;
  for (const process_line& line : lines) {
    for (in_force s : spans_of(number, line.log, safe)) {
      s.until = std::min(s.until, line.ended);
      if (s.from < alone_from) {
        in_force beside = s;
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

// The highest sum over all nodes at any instant, with `safe` for each node that has no span then.
inline double highest_sum(const std::vector<std::vector<in_force>>& all, double safe) {
  std::multimap<double, double> changes;  // instant -> what is added to the sum
  for (const auto& spans : all)
    for (const in_force& s : spans) {
      if (s.until <= s.from) continue;
      changes.insert({s.from, s.share - s.counted});
      changes.insert({s.until, -(s.share - s.counted)});
    }
  double sum = safe * static_cast<double>(all.size()), highest = sum;
  for (auto at = changes.begin(); at != changes.end();) {
    const double instant = at->first;
    for (; at != changes.end() && at->first == instant; ++at) sum += at->second;
    highest = std::max(highest, sum);
  }
  return highest;
}

struct shared_options {
  double drift = 0.01;
  std::function<double(int)> rate = [](int) { return 1.0; };  // of node i's clock
  int lease_ms = 1000, renew_ms = 200;
  int run_ms =
      0;  // above 0: the whole is of runs in flight, each of which takes so long; else of a tenant's requests
  double safe = 1;
};

// `whole` requests a second of one tenant, or runs in flight; `safe` of them each node's own.
class shared_fleet {
 public:
  static constexpr double whole = 90;
  const double safe;

  explicit shared_fleet(shared_options o = {}) : safe(o.safe), run_ms_(o.run_ms) {
    fleet_options f_options;
    f_options.operators = [o](int i) {
      std::ostringstream t;
      t << "budgets {\n lease = " << o.lease_ms << "ms\n renew = " << o.renew_ms
        << "ms\n settle = " << 2 * o.run_ms << "ms\n drift = " << o.drift
        << "\n audit = yes\n clock_rate = " << o.rate(i) << "\n}\nbudget kurse {\n whole = " << whole
        << "\n safe = " << o.safe
        << (o.run_ms > 0 ? "\n unit = runs\n}\n" : "\n unit = requests\n tenant = isar-invest\n}\n");
      return t.str();
    };
    // Far more cores than the whole: nothing but the share bounds the runs.
    f_options.edit = [](int, node_options& n) { n.cores = 128; };
    f = std::make_unique<fleet>(f_options);
    logs_.resize(9);
    ended_.resize(9);
    for (int i = 0; i < 9; ++i) callers_.emplace_back([this, i] { call_for_ever(i); });
    f->whole();
  }
  ~shared_fleet() {
    over_ = true;
    for (std::thread& t : callers_) t.join();
  }

  // Requests a second that callers of node i send.
  void want(int i, int per_second) { wanted_[static_cast<std::size_t>(i)] = per_second; }
  void all_want(int per_second) {
    for (int i = 0; i < 9; ++i) want(i, per_second);
  }
  // Kills a node; its log so far is kept for the audit.
  void kill(int i) {
    f->kill(i);
    logs_[static_cast<std::size_t>(i)] += f->at(i).log();
  }
  // Replaces a node by a second process; `between`: while both run.
  void replace(int i, const std::function<void()>& between) {
    const auto at = static_cast<std::size_t>(i);
    f->beside(i);
    between();
    const std::string log = f->leave(i);
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
  // Who says that it leads; -1: nobody does.
  int leader() const {
    for (const int i : everyone())
      if (f->running(i) && figure(f->console(i), "budgets.leads") == 1) return i;
    return -1;
  }
  // Waits until each of these has about its fair share of what is divided, while all want more than that.
  void settled(const std::vector<int>& who) const {
    const double fair = safe + (whole - 9 * safe) * 0.95 / static_cast<double>(who.size());
    for (const int i : who) f->wait([&] { return share(i) > 0.97 * fair; }, i);
  }
  // The most runs that the runtimes of all nodes had at one instant, and how many they have now.
  int most_in_flight() const { return most_in_flight_; }
  int in_flight() const { return in_flight_; }
  long refused(int i) const { return refused_[static_cast<std::size_t>(i)]; }
  // The longest that a refusal took.
  long latest_refusal_ms() const { return latest_refusal_; }

  // No instant above the whole, over all that was logged.
  void audit() { CHECK(highest() <= whole * (1 + 1e-9)); }
  // The highest sum of shares in force at any instant; there was something to look at.
  double highest() {
    std::vector<std::vector<in_force>> all;
    std::size_t spans = 0;
    for (int i = 0; i < 9; ++i) {
      std::vector<process_line> lines = ended_[static_cast<std::size_t>(i)];
      lines.push_back({logs_[static_cast<std::size_t>(i)] + (f->running(i) ? f->at(i).log() : "")});
      all.push_back(spans_of(i, lines, safe));
      spans += all.back().size();
    }
    const double most = highest_sum(all, safe);
    std::printf("%zu spans, highest sum %.6f of %.0f\n", spans, most, whole);
    CHECK(spans > 9);
    return most;
  }

  std::unique_ptr<fleet> f;

 private:
  double field(int i, int which) const {
    std::istringstream in(call(f->console(i), "show-budgets\n"));
    std::string line;
    std::getline(in, line);
    std::string word;
    for (int k = 0; k <= which; ++k) CHECK(in >> word);
    return std::stod(word);
  }

  // Asks node i at the wanted rate on one connection after another, and plays its runtime: each run ends at
  // once.
  void call_for_ever(int i) {
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
      owed = std::min(owed + wanted_[at] * std::chrono::duration<double>(now - last).count(), 30.0);
      last = now;
      f_runtime(i);
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
          ++refused_[at];
          const long took = (harness::clock::now() - asked[seqid]) / 1ms;
          if (took > latest_refusal_) latest_refusal_ = took;
        }
        asked.erase(seqid);
      }
    }
    if (fd >= 0) ::close(fd);
  }
  // Takes what the runtime of node i is told to run and ends what has had its time, without waiting. Runs of
  // a node that was killed go on to their end, as at a real runtime.
  void f_runtime(int i) {
    if (!f) return;
    const std::lock_guard lock(f->guard(i));
    auto& runs = runs_[static_cast<std::size_t>(i)];
    while (!runs.empty() && runs.front().ends <= harness::clock::now()) {
      // Counted off before it is told: the node may start the next one at once.
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
    int of = 0;  // the process that asked for it
    std::string call, blob;
  };
  int run_ms_;
  std::array<std::deque<run>, 9> runs_;
  std::atomic<int> in_flight_ = 0, most_in_flight_ = 0;
  std::vector<std::string> logs_;
  std::vector<std::vector<process_line>> ended_;  // by node: of processes that were replaced
  std::array<std::atomic<int>, 9> wanted_{};
  std::array<std::atomic<long>, 9> refused_{};
  std::atomic<long> latest_refusal_ = 0;
  std::atomic<bool> over_ = false;
  std::vector<std::thread> callers_;
};

}  // namespace fleet_faults
