// Compares the store of tables with a plain log of segments that is not cleaned: writes and reads per second
// and commit latencies with and without concurrent cleaning. Also measures start times with and without a
// checkpoint, and the space and write amplification under a skewed load. Ratios compare figures of the same
// run.
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
constexpr auto run_length = std::chrono::seconds(4);

std::int64_t unix_now() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
}
double seconds_since(clock_type::time_point t) {
  return std::chrono::duration<double>(clock_type::now() - t).count();
}

struct scratch_folder {
  scratch_folder() {
    char name[] = "marblewharf-store-bench-XXXXXX";  // in the working folder, because /tmp may be in memory
    path = ::mkdtemp(name);
  }
  ~scratch_folder() { std::filesystem::remove_all(path); }
  std::string path;
};

struct load {
  double per_second = 0, p50_ms = 0, p99_ms = 0, worst_ms = 0;
};

// Keeps `in_flight` requests in flight for `run_length`, then waits for the remaining ones. `start_request`
// starts a request and returns false if the store did not accept it; `collect` appends the tickets of the
// ended requests.
load run_load(const std::function<bool(std::uint64_t)>& start_request,
              const std::function<void(std::vector<std::uint64_t>&)>& collect) {
  std::map<std::uint64_t, clock_type::time_point> open;
  std::vector<double> latencies_ms;
  const auto begin = clock_type::now();
  std::uint64_t ticket = 0;
  while (true) {
    const bool stopping = clock_type::now() - begin > run_length;
    while (!stopping && open.size() < in_flight && start_request(ticket + 1))
      open[++ticket] = clock_type::now();
    std::vector<std::uint64_t> ended;
    collect(ended);
    for (const std::uint64_t ended_ticket : ended) {
      latencies_ms.push_back(1000 * seconds_since(open[ended_ticket]));
      open.erase(ended_ticket);
    }
    if (stopping && open.empty()) break;
    if (ended.empty()) std::this_thread::sleep_for(std::chrono::microseconds(20));
  }
  std::sort(latencies_ms.begin(), latencies_ms.end());
  const auto quantile_ms = [&](double quantile) {
    return latencies_ms.empty() ? 0
                                : latencies_ms[static_cast<std::size_t>(
                                      quantile * static_cast<double>(latencies_ms.size() - 1))];
  };
  return {static_cast<double>(latencies_ms.size()) / seconds_since(begin), quantile_ms(0.5),
          quantile_ms(0.99), quantile_ms(1)};
}

// Draws key numbers from a Zipf distribution with exponent 1, so that a few keys get most of the writes.
struct zipf_keys {
  std::size_t keys;
  std::mt19937_64 random{7};
  std::size_t operator()() {
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::min(keys - 1, static_cast<std::size_t>(std::pow(static_cast<double>(keys), u) - 1));
  }
};

// Measures writes to a log of segments without cleaning.
load measure_log(const std::string& folder) {
  posix_file_system fs;
  auto log = std::make_unique<marblewharf::store::log>(
      fs, log_options{folder, std::uint64_t{8} << 20, std::uint64_t{4} << 30, 7, {}},
      [](std::uint32_t, std::string_view) { return no_expiry; },
      [](std::uint32_t, std::string_view, const position&) {});
  log->open(unix_now());
  committer log_committer(std::move(log), {}, unix_now, [] {});
  zipf_keys key{20'000};
  return run_load(
      [&](std::uint64_t ticket) {
        return log_committer.write(
            ticket, {{1, "k" + std::to_string(key()) + std::string(value_size, 'v')}, no_expiry});
      },
      [&](std::vector<std::uint64_t>& ended) {
        std::vector<committer::done> results;
        log_committer.collect(results);
        for (const auto& result : results) ended.push_back(result.ticket);
      });
}

tables_options make_options(const std::string& folder, double amplification = 2) {
  tables_options options;
  options.folder = folder;
  options.disk = {std::uint64_t{8} << 20, std::uint64_t{4} << 30, amplification};
  options.max_keys = 2'000'000;
  options.salt = 7;
  return options;
}

void collect(table_service& service, std::vector<std::uint64_t>& ended) {
  std::vector<table_service::done> results;
  service.collect(results);
  for (const auto& result : results) ended.push_back(result.ticket);
}

// continuous: writes while slices of cleaning follow each other without a pause; paced: with 10 ms between
// them. cleaned_*: number of segments cleaned during these writes.
struct table_loads {
  load writes, continuous, paced, reads;
  std::uint64_t cleaned_continuous = 0, cleaned_paced = 0;
};
table_loads measure_tables(const std::string& folder) {
  posix_file_system fs;
  table_service service(std::make_shared<posix_file_system>(), folder,
                        std::make_unique<tables>(fs, make_options(folder, 1.5), unix_now()), {}, unix_now,
                        [] {});
  zipf_keys key{20'000};
  const auto write = [&](std::uint64_t ticket) {
    batch writes;
    writes.put("t", "k" + std::to_string(key()), std::string(value_size, 'v'));
    return service.commit(ticket, std::move(writes), durability::now);
  };
  const auto ended = [&](std::vector<std::uint64_t>& tickets) { collect(service, tickets); };
  table_loads out;
  out.writes = run_load(write, ended);
  // Measures writes while another thread cleans the segments that the writes leave behind. `pause` is the
  // time between two slices of cleaning; budgets of a node lead to a pause of a few milliseconds.
  const auto write_while_cleaning = [&](std::chrono::milliseconds pause, std::uint64_t& cleaned) {
    std::atomic<bool> stopping = false;
    const std::uint64_t cleaned_before = service.show().cleaned;
    std::thread cleaner([&] {
      while (!stopping)
        if (!service.step(table_service::work::clean).has_more || pause.count() > 0)
          std::this_thread::sleep_for(std::max(pause, std::chrono::milliseconds(1)));
    });
    const load measured = run_load(write, ended);
    stopping = true;
    cleaner.join();
    cleaned = service.show().cleaned - cleaned_before;
    return measured;
  };
  out.continuous = write_while_cleaning(std::chrono::milliseconds(0), out.cleaned_continuous);
  out.paced = write_while_cleaning(std::chrono::milliseconds(10), out.cleaned_paced);
  out.reads = run_load(
      [&](std::uint64_t ticket) { return service.get(ticket, "t", "k" + std::to_string(key())); }, ended);
  return out;
}

// Measures the start of a store with `keys` keys without and with a checkpoint.
void measure_starts(std::size_t keys) {
  scratch_folder scratch_files;
  posix_file_system fs;
  double log_seconds = 0, checkpoint_seconds = 0;
  std::uint64_t records_read = 0;
  {
    tables store(fs, make_options(scratch_files.path + "/s"), unix_now());
    for (std::size_t i = 0; i < 2 * keys; ++i) {  // two writes per key
      batch writes;
      writes.put("t", "k" + std::to_string(i % keys), std::string(value_size, 'v'));
      store.commit(writes, durability::lazily, unix_now());
    }
    store.flush(unix_now());
  }
  {
    const auto begin = clock_type::now();
    tables store(fs, make_options(scratch_files.path + "/s"), unix_now());
    log_seconds = seconds_since(begin);
    while (store.checkpoint_step(unix_now())) {
    }
  }
  {
    const auto begin = clock_type::now();
    tables store(fs, make_options(scratch_files.path + "/s"), unix_now());
    checkpoint_seconds = seconds_since(begin);
    records_read = store.show().replayed;
  }
  std::printf(
      "%9zu keys | log %7.3f s | checkpoint %7.3f s | ratio %.2f | records read after the checkpoint %llu\n",
      keys, log_seconds, checkpoint_seconds, checkpoint_seconds / log_seconds,
      static_cast<unsigned long long>(records_read));
}

// Writes a skewed load and cleans the store with the space amplification `target`. Prints the highest space
// amplification, the write amplification and its expected value, target / (target - 1).
void measure_amplification(double target) {
  scratch_folder scratch_files;
  posix_file_system fs;
  tables_options options = make_options(scratch_files.path + "/s", target);
  options.disk.segment = std::uint64_t{1} << 20;
  tables store(fs, options, unix_now());
  zipf_keys key{20'000};
  double highest = 0;
  for (int i = 0; i < 400'000; ++i) {
    batch writes;
    writes.put("t", "k" + std::to_string(key()), std::string(value_size, 'v'));
    if (!store.commit(writes, durability::lazily, unix_now()).accepted) --i;
    if (i % 64 == 0) store.clean_step(unix_now());
    if (i > 100'000 && i % 1000 == 0) {
      const auto statistics = store.show();
      highest = std::max(highest, static_cast<double>(statistics.disk.used_bytes) /
                                      static_cast<double>(statistics.disk.live_bytes));
    }
  }
  const auto statistics = store.show();
  const auto segments = [&](double ratio) {
    return ratio * static_cast<double>(statistics.disk.live_bytes) /
           static_cast<double>(options.disk.segment);
  };
  std::printf(
      "space amplification %.1f | highest used / live space %.2f (%.1f segments above the target) | "
      "write amplification %.2f, expected %.2f\n",
      target, highest, segments(highest - target),
      static_cast<double>(statistics.written + statistics.copied) / static_cast<double>(statistics.written),
      target / (target - 1));
}

}  // namespace

int main() {
  load log_load;
  table_loads table_load;
  {
    scratch_folder scratch_files;
    log_load = measure_log(scratch_files.path + "/first");
  }
  {
    scratch_folder scratch_files;
    table_load = measure_tables(scratch_files.path + "/tables");
  }
  std::printf("durable writes, %d in flight    | per sec. | ratio |  p50 ms |  p99 ms | worst ms\n",
              in_flight);
  const auto print_line = [&](const char* label, const load& measured) {
    std::printf("%-32s| %8.0f | %5.2f | %7.2f | %7.2f | %7.2f\n", label, measured.per_second,
                measured.per_second / log_load.per_second, measured.p50_ms, measured.p99_ms,
                measured.worst_ms);
  };
  print_line("segments, no cleaning", log_load);
  print_line("tables", table_load.writes);
  print_line("tables, continuous cleaning", table_load.continuous);
  print_line("tables, a slice every 10 ms", table_load.paced);
  print_line("tables, reads", table_load.reads);
  std::printf(
      "p99 of commits / p99 without cleaning: continuous %.2f (%llu segments cleaned), paced %.2f "
      "(%llu)\n\n",
      table_load.continuous.p99_ms / table_load.writes.p99_ms,
      static_cast<unsigned long long>(table_load.cleaned_continuous),
      table_load.paced.p99_ms / table_load.writes.p99_ms,
      static_cast<unsigned long long>(table_load.cleaned_paced));
  for (const std::size_t keys : {10'000, 100'000, 1'000'000}) measure_starts(keys);
  std::printf("\n");
  for (const double target : {1.5, 2.0, 4.0}) measure_amplification(target);
  return 0;
}
