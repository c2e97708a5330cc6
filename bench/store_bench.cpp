// Measures the store of tables beside its own first form (segments without cleaning): writes and reads a
// second, how long a commit takes while the store cleans and while it does not, starts, and what space and
// cleaning cost under a skewed load. One table, one run; figures are ratios within it.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <thread>

#include "store/committer.hpp"
#include "store/table_service.hpp"

using namespace marblewharf::store;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr int in_flight = 64, value_size = 200;
constexpr auto each = std::chrono::seconds(4);

std::int64_t unix_now() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}
double seconds_since(clock_type::time_point t) {
  return std::chrono::duration<double>(clock_type::now() - t).count();
}

struct scratch {
  scratch() {
    char name[] = "marblewharf-store-bench-XXXXXX";  // in the working folder: /tmp may be memory
    path = ::mkdtemp(name);
  }
  ~scratch() { std::filesystem::remove_all(path); }
  std::string path;
};

struct load {
  double a_second = 0, p50_ms = 0, p99_ms = 0, worst_ms = 0;
};

// Keeps so many requests open for a while. `ask` starts one, `collect` gives the tickets of those that ended.
load drive(const std::function<bool(std::uint64_t)>& ask,
           const std::function<void(std::vector<std::uint64_t>&)>& collect) {
  std::map<std::uint64_t, clock_type::time_point> open;
  std::vector<double> took;
  const auto begin = clock_type::now();
  std::uint64_t ticket = 0;
  while (true) {
    const bool over = clock_type::now() - begin > each;
    while (!over && open.size() < in_flight && ask(ticket + 1)) open[++ticket] = clock_type::now();
    std::vector<std::uint64_t> ended;
    collect(ended);
    for (const std::uint64_t t : ended) {
      took.push_back(1000 * seconds_since(open[t]));
      open.erase(t);
    }
    if (over && open.empty()) break;
    if (ended.empty()) std::this_thread::sleep_for(std::chrono::microseconds(20));
  }
  std::sort(took.begin(), took.end());
  const auto at = [&](double q) {
    return took.empty() ? 0 : took[static_cast<std::size_t>(q * static_cast<double>(took.size() - 1))];
  };
  return {static_cast<double>(took.size()) / seconds_since(begin), at(0.5), at(0.99), at(1)};
}

// Few keys take most writes: the key's number falls off as a Zipf law with exponent 1 does.
struct skewed {
  std::size_t keys;
  std::mt19937_64 random{7};
  std::size_t operator()() {
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::min(keys - 1, static_cast<std::size_t>(std::pow(static_cast<double>(keys), u) - 1));
  }
};

load first_form(const std::string& folder) {
  posix_file_system fs;
  auto l = std::make_unique<marblewharf::store::log>(
      fs, log_options{folder, std::uint64_t{8} << 20, std::uint64_t{4} << 30, 7, {}},
      [](std::uint32_t, std::string_view) { return never; },
      [](std::uint32_t, std::string_view, const position&) {});
  l->open(unix_now());
  committer c(std::move(l), {}, unix_now, [] {});
  skewed key{20'000};
  return drive(
      [&](std::uint64_t t) {
        return c.write(t, {{1, "k" + std::to_string(key()) + std::string(value_size, 'v')}, never});
      },
      [&](std::vector<std::uint64_t>& ended) {
        std::vector<committer::done> out;
        c.collect(out);
        for (const auto& d : out) ended.push_back(d.ticket);
      });
}

tables_options options(const std::string& folder, double amplification = 2) {
  tables_options o;
  o.folder = folder;
  o.disk = {std::uint64_t{8} << 20, std::uint64_t{4} << 30, amplification};
  o.most_keys = 2'000'000;
  o.salt = 7;
  return o;
}

void collect(table_service& s, std::vector<std::uint64_t>& ended) {
  std::vector<table_service::done> out;
  s.collect(out);
  for (const auto& d : out) ended.push_back(d.ticket);
}

struct table_loads {
  load writes, on_end, paced, reads;
  std::uint64_t cleaned_on_end = 0, cleaned_paced = 0;
};
table_loads tables_form(const std::string& folder) {
  posix_file_system fs;
  table_service s(std::make_shared<posix_file_system>(), folder,
                  std::make_unique<tables>(fs, options(folder, 1.5), unix_now()), {}, unix_now, [] {});
  skewed key{20'000};
  const auto write = [&](std::uint64_t t) {
    batch b;
    b.put("t", "k" + std::to_string(key()), std::string(value_size, 'v'));
    return s.commit(t, std::move(b), durability::now);
  };
  const auto ended = [&](std::vector<std::uint64_t>& e) { collect(s, e); };
  table_loads out;
  out.writes = drive(write, ended);
  // What the loads leave is cleaned away beside the next: slice upon slice, then one every few milliseconds,
  // as budgets allow.
  const auto beside = [&](std::chrono::milliseconds pause, std::uint64_t& cleaned) {
    std::atomic<bool> over = false;
    const std::uint64_t before = s.show().cleaned;
    std::thread slices([&] {
      while (!over)
        if (!s.step(table_service::work::clean).more || pause.count() > 0)
          std::this_thread::sleep_for(std::max(pause, std::chrono::milliseconds(1)));
    });
    const load l = drive(write, ended);
    over = true;
    slices.join();
    cleaned = s.show().cleaned - before;
    return l;
  };
  out.on_end = beside(std::chrono::milliseconds(0), out.cleaned_on_end);
  out.paced = beside(std::chrono::milliseconds(10), out.cleaned_paced);
  out.reads = drive([&](std::uint64_t t) { return s.get(t, "t", "k" + std::to_string(key())); }, ended);
  return out;
}

void starts(std::size_t keys) {
  scratch here;
  posix_file_system fs;
  double plain = 0, with = 0;
  std::uint64_t read = 0;
  {
    tables t(fs, options(here.path + "/s"), unix_now());
    for (std::size_t i = 0; i < 2 * keys; ++i) {  // each twice
      batch b;
      b.put("t", "k" + std::to_string(i % keys), std::string(value_size, 'v'));
      t.commit(b, durability::lazily, unix_now());
    }
    t.flush(unix_now());
  }
  {
    const auto begin = clock_type::now();
    tables t(fs, options(here.path + "/s"), unix_now());
    plain = seconds_since(begin);
    while (t.checkpoint_step(unix_now())) {
    }
  }
  {
    const auto begin = clock_type::now();
    tables t(fs, options(here.path + "/s"), unix_now());
    with = seconds_since(begin);
    read = t.show().read;
  }
  std::printf("%9zu keys | log %7.3f s | checkpoint %7.3f s | ratio %.2f | records read behind it %llu\n",
              keys, plain, with, with / plain, static_cast<unsigned long long>(read));
}

void amplification(double a) {
  scratch here;
  posix_file_system fs;
  tables_options o = options(here.path + "/s", a);
  o.disk.segment = std::uint64_t{1} << 20;
  tables t(fs, o, unix_now());
  skewed key{20'000};
  double worst = 0;
  for (int i = 0; i < 400'000; ++i) {
    batch b;
    b.put("t", "k" + std::to_string(key()), std::string(value_size, 'v'));
    if (!t.commit(b, durability::lazily, unix_now()).may) --i;
    if (i % 64 == 0) t.clean_step(unix_now());
    if (i > 100'000 && i % 1000 == 0) {
      const auto f = t.show();
      worst = std::max(worst, static_cast<double>(f.disk.used) / static_cast<double>(f.disk.live));
    }
  }
  const auto f = t.show();
  const auto segments = [&](double over) {
    return over * static_cast<double>(f.disk.live) / static_cast<double>(o.disk.segment);
  };
  std::printf(
      "amplification %.1f | most space over what counts %.2f (%.1f segments beyond it) | written for one "
      "%.2f of %.2f\n",
      a, worst, segments(worst - a),
      static_cast<double>(f.written + f.copied) / static_cast<double>(f.written), a / (a - 1));
}

}  // namespace

int main() {
  load before;
  table_loads now;
  {
    scratch here;
    before = first_form(here.path + "/first");
  }
  {
    scratch here;
    now = tables_form(here.path + "/tables");
  }
  std::printf("durable writes, %d in flight    | a second |  over |  p50 ms |  p99 ms | worst ms\n",
              in_flight);
  const auto line = [&](const char* what, const load& l) {
    std::printf("%-32s| %8.0f | %5.2f | %7.2f | %7.2f | %7.2f\n", what, l.a_second,
                l.a_second / before.a_second, l.p50_ms, l.p99_ms, l.worst_ms);
  };
  line("segments, no cleaning", before);
  line("tables", now.writes);
  line("tables, cleaning on end", now.on_end);
  line("tables, a slice each 10 ms", now.paced);
  line("tables, reads", now.reads);
  std::printf(
      "p99 of a commit over that without cleaning: on end %.2f (%llu segments cleaned), paced %.2f "
      "(%llu)\n\n",
      now.on_end.p99_ms / now.writes.p99_ms, static_cast<unsigned long long>(now.cleaned_on_end),
      now.paced.p99_ms / now.writes.p99_ms, static_cast<unsigned long long>(now.cleaned_paced));
  for (const std::size_t keys : {10'000, 100'000, 1'000'000}) starts(keys);
  std::printf("\n");
  for (const double a : {1.5, 2.0, 4.0}) amplification(a);
  return 0;
}
