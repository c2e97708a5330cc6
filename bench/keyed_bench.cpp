// Measures idempotency keys: group commit, recovery, memory, the reactor step with a slow disk, and the
// latency of keyed writes in the real program. Prints one line per figure.
//
//   marblewharf_keyed_bench [FOLDER]
//
// FOLDER is on the disk to measure; the bench creates a temporary folder in it (default: /tmp).
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <numeric>
#include <set>
#include <thread>

#include "../tests/net/harness.hpp"
#include "core/dispatcher.hpp"
#include "idempotency/durable_service.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

std::chrono::nanoseconds steady() {
  return std::chrono::steady_clock::now().time_since_epoch();
}
double seconds(duration d) {
  return std::chrono::duration<double>(d).count();
}
void print_line(const char* label, double value, const char* unit, const char* target = "") {
  std::printf("%-58s %12.2f %-10s %s\n", label, value, unit, target);
  std::fflush(stdout);
}

struct work_folder {
  explicit work_folder(const std::string& parent) {
    std::string name = parent + "/marblewharf-bench-XXXXXX";
    CHECK(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~work_folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// ---- Group commit -----------------------------------------------------------------------------------------

// Returns the records per second that reach the disk with `in_flight` writes in flight. The next write starts
// as soon as a write is on disk.
double commits_per_second(const std::string& folder, std::size_t batch, std::size_t in_flight) {
  store::posix_file_system fs;
  auto log = std::make_unique<store::log>(
      fs, store::log_options{folder, 8u << 20, 4ull << 30, 1},
      [](std::uint32_t, std::string_view) { return 1; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  log->open(1);
  store::committer_options options;
  options.max_batch_records = batch;
  std::mutex guard;
  std::condition_variable collectable;
  bool notified = false;
  store::committer committer(
      std::move(log), options, [] { return 1; },
      [&] {
        const std::lock_guard lock(guard);
        notified = true;
        collectable.notify_one();
      });
  std::uint64_t ticket = 0, written = 0;
  const auto write = [&] { CHECK(committer.write(++ticket, {{1, std::string(300, 'x')}, 1ll << 60})); };
  for (std::size_t i = 0; i < in_flight; ++i) write();
  const auto begin = steady();
  std::vector<store::committer::done> done;
  while (steady() - begin < 2s) {
    {
      std::unique_lock lock(guard);
      collectable.wait_for(lock, 100ms, [&] { return notified; });
      notified = false;
    }
    committer.collect(done);
    for (const auto& result : done) {
      CHECK(result.ok);
      ++written;
      write();
    }
  }
  return static_cast<double>(written) / seconds(steady() - begin);
}

// ---- Recovery and memory ----------------------------------------------------------------------------------

void measure_recovery(const std::string& folder) {
  constexpr std::uint64_t entries = 1'000'000;
  constexpr std::uint64_t batch = 1000;
  store::posix_file_system fs;
  {
    store::log log(
        fs, {folder, 8u << 20, 8ull << 30, 7}, [](std::uint32_t, std::string_view) { return 1; },
        [](std::uint32_t, std::string_view, const store::position&) {});
    log.open(1);
    const std::string result(64, 'r');
    for (std::uint64_t begin = 0; begin < entries; begin += batch) {
      std::vector<store::entry> log_entries;
      for (std::uint64_t number = begin; number < begin + batch; ++number) {
        const std::string name = "write-" + std::to_string(number);
        idempotency::key_record record;
        record.key = idempotency::key_id_of("isar-invest", "kurs-meldung", name, 7);
        record.fingerprint = number;
        record.expiry = 1ll << 61;
        record.written_at = 1;
        record.tenant = "isar-invest";
        record.request_class = "kurs-meldung";
        record.client_key = name;
        record.type = idempotency::record_type::intent;
        log_entries.push_back({idempotency::encode(record), record.expiry});
        record.type = idempotency::record_type::result;
        record.succeeded = true;
        record.result = result;
        log_entries.push_back({idempotency::encode(record), record.expiry});
      }
      log.append(log_entries, 1);
    }
  }
  idempotency::durable_service_options options;
  options.folder = folder;
  options.windows = {1h};
  options.classes = {"kurs-meldung"};
  options.tenants = {"isar-invest"};
  options.max_keys = 2 * entries;
  options.space = 8ull << 30;
  options.unix_now = 1000s;
  options.steady_now = steady();
  telemetry::counters counters;
  const std::size_t bytes_before = ::mallinfo2().uordblks;
  const auto begin = steady();
  idempotency::durable_service service(fs, options, counters, [] {});
  const double recovery_seconds = seconds(steady() - begin);
  ::malloc_trim(0);
  const std::size_t bytes_after = ::mallinfo2().uordblks;
  CHECK(service.table().size() == entries);
  print_line("recovery of 1,000,000 entries", recovery_seconds, "s", "(target: under 2)");
  const double index_bytes = 8.0 * static_cast<double>(service.table().buckets());
  print_line("memory per entry, without the slots of the index",
             (static_cast<double>(bytes_after - bytes_before) - index_bytes) / entries, "bytes",
             "(target: at most 160)");
  print_line("slots of the index, per entry", index_bytes / entries, "bytes");
}

// ---- The reactor step while the disk is slow --------------------------------------------------------------

// A disk that delays each sync by `sync_delay`.
class slow_disk : public store::posix_file_system {
 public:
  explicit slow_disk(duration sync_delay) : sync_delay_(sync_delay) {}
  std::unique_ptr<store::file> create(const std::string& path, std::uint64_t size) override {
    return std::make_unique<slow_file>(posix_file_system::create(path, size), sync_delay_);
  }

 private:
  class slow_file : public store::file {
   public:
    slow_file(std::unique_ptr<store::file> underlying, duration sync_delay)
        : file_(std::move(underlying)), sync_delay_(sync_delay) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override { file_->write_at(offset, bytes); }
    void sync() override {
      std::this_thread::sleep_for(sync_delay_);
      file_->sync();
    }
    void truncate(std::uint64_t size) override { file_->truncate(size); }

   private:
    std::unique_ptr<store::file> file_;
    duration sync_delay_;
  };
  duration sync_delay_;
};

struct dispatcher_fixture : front, backend {
  explicit dispatcher_fixture(const admission_policy::settings& s) : dispatch(s, 1, steady(), counters) {
    dispatch.add_front(*this);
    dispatch.on_server_up(false, steady() - 60s);
  }
  void respond(request_id, const answer& a) override {
    ++answers;
    served += a.status == response_status::served;
  }
  void close_idle(duration) override {}
  void run(request_id id, const request&) override { running.push_back(id); }
  void pause(request_id) override {}
  void resume(request_id) override {}
  telemetry::counters counters;
  dispatcher dispatch;
  std::vector<request_id> running;
  int answers = 0, served = 0;
};

// Runs dispatcher steps for 2 s and returns their 99.9th percentile and their mean, in us. Each step has four
// arrivals; the runs that they start end in the next step. `served` returns the number of served requests.
std::pair<double, double> measure_steps(const std::string& folder, bool keyed_on, duration sync,
                                        int& served) {
  admission_policy::settings policy;
  policy.cores = 8;
  policy.classes.push_back({.name = "kurs-meldung",
                            .latency_objective = 5s,
                            .deadline = 10s,
                            .effect = keyed_on ? admission_policy::request_effect::keyed
                                               : admission_policy::request_effect::unsafe,
                            .idempotency_window = 10s});
  policy.tick = 1ms;
  dispatcher_fixture fixture(policy);
  slow_disk disk(sync);
  std::unique_ptr<idempotency::durable_service> service;
  if (keyed_on) {
    idempotency::durable_service_options options;
    options.folder = folder;
    options.windows = {1h};
    options.classes = {"kurs-meldung"};
    options.unix_now = 1000s;
    options.steady_now = steady();
    service = std::make_unique<idempotency::durable_service>(disk, options, fixture.counters, [] {});
    service->set_observer(fixture.dispatch);
    fixture.dispatch.enable_idempotency(*service, 10s, options.windows);
  }
  std::vector<double> steps_us;
  std::uint64_t last_key = 0;
  const auto begin = steady();
  while (steady() - begin < 2s) {
    const auto step_begin = steady();
    for (int i = 0; i < 4; ++i) {
      request arrival;
      arrival.payload = "price";
      arrival.reserved_kb = 1;
      if (keyed_on) arrival.key = "k" + std::to_string(++last_key);
      fixture.dispatch.on_arrival(fixture, fixture, std::move(arrival));
    }
    for (const request_id id : std::exchange(fixture.running, {}))
      fixture.dispatch.on_run_ended(id, run_end::succeeded, "done", 1ms);
    if (service) service->step(steady());
    fixture.dispatch.step(steady(), {});
    steps_us.push_back(seconds(steady() - step_begin) * 1e6);
    std::this_thread::sleep_for(1ms);
  }
  served = fixture.served;
  std::sort(steps_us.begin(), steps_us.end());
  return {steps_us[steps_us.size() * 999 / 1000],
          std::accumulate(steps_us.begin(), steps_us.end(), 0.0) / static_cast<double>(steps_us.size())};
}

// ---- Writes against the real program ----------------------------------------------------------------------

struct write_load {
  double per_second = 0, p50_ms = 0, p99_ms = 0;
};

// Measures writes over Thrift with 64 writes in flight on 4 connections and a runtime that ends each run at
// once.
write_load measure_writes(const std::string& folder, bool keyed_on) {
  using namespace harness;
  runtime r;
  node_options options;
  options.cores = 64;
  options.quota = options.other_quota = 1000000;
  if (keyed_on)
    options.operators = "class kurs-meldung {\n keyed = yes\n window = 10m\n}\nkeyed {\n folder = \"" +
                        folder + "\"\n thrift_field = key\n}\n";
  node price_node(r, options);
  r.up();
  std::atomic<bool> over = false;
  std::thread runtime_thread([&] {
    while (!over) {
      if (!r.link.readable(20)) continue;
      std::string text;
      if (!r.link.next(text)) return;
      if (r.answer_gauges(text) || member(text, "msg") != "start") continue;
      r.end(member(text, "call"), "fine", "cQ==");
    }
  });
  constexpr int connections = 4, in_flight = 16;
  std::vector<std::vector<double>> latencies_ms(connections);
  std::vector<std::thread> callers;
  const auto begin = clock::now();
  for (int k = 0; k < connections; ++k) {
    callers.emplace_back([&, k] {
      connection link = connection::to(price_node.port);
      std::map<int, clock::time_point> sent;
      int seqid = 0;
      const auto send = [&] {
        fields message = usual(++seqid + k * 1000000, "kurs-meldung");
        if (keyed_on) message.emplace_back("key", "k" + std::to_string(seqid + k * 1000000));
        sent[seqid] = clock::now();
        link.send(execute(seqid, message, "price"));
      };
      for (int i = 0; i < in_flight; ++i) send();
      while (!sent.empty()) {
        const reply answer = read_reply(link);
        if (answer.kind == "closing") continue;
        CHECK(answer.kind == "served");
        latencies_ms[static_cast<std::size_t>(k)].push_back(seconds(clock::now() - sent.at(answer.seqid)) *
                                                            1e3);
        sent.erase(answer.seqid);
        if (clock::now() - begin < 3s) send();
      }
    });
  }
  for (std::thread& thread : callers) thread.join();
  const double elapsed = seconds(clock::now() - begin);
  over = true;
  runtime_thread.join();
  std::vector<double> latencies;
  for (const auto& of_connection : latencies_ms)
    latencies.insert(latencies.end(), of_connection.begin(), of_connection.end());
  std::sort(latencies.begin(), latencies.end());
  return {static_cast<double>(latencies.size()) / elapsed, latencies[latencies.size() / 2],
          latencies[latencies.size() * 99 / 100]};
}

}  // namespace

int main(int argc, char** argv) {
  telemetry::set_log_rate_limit(0);
  const work_folder work(argc > 1 ? argv[1] : "/tmp");
  const double single_rate = commits_per_second(work.path + "/one", 1, 64);
  const double group_rate = commits_per_second(work.path + "/group", 1024, 64);
  print_line("records per second on disk, one sync each, 64 in flight", single_rate, "1/s");
  print_line("records per second on disk, group commit, 64 in flight", group_rate, "1/s");
  print_line("group commit / one sync each", group_rate / single_rate, "times", "(target: at least 5)");
  measure_recovery(work.path + "/many");
  int served = 0;
  const auto without_store = measure_steps("", false, 0ms, served);
  const auto with_store = measure_steps(work.path + "/fast", true, 0ms, served);
  const auto with_slow_disk = measure_steps(work.path + "/slow", true, 200ms, served);
  print_line("reactor step without a store, 99.9th percentile", without_store.first, "us");
  print_line("... with a store", with_store.first, "us");
  print_line("... with a store whose disk takes 200 ms per sync", with_slow_disk.first, "us",
             "(target: as without a store)");
  print_line("reactor step without a store, mean", without_store.second, "us");
  print_line("... with a store", with_store.second, "us");
  print_line("... with a store whose disk takes 200 ms per sync", with_slow_disk.second, "us");
  const write_load unkeyed = measure_writes("", false);
  const write_load keyed = measure_writes(work.path + "/node", true);
  print_line("unkeyed writes", unkeyed.per_second, "1/s");
  print_line("keyed writes", keyed.per_second, "1/s");
  print_line("keyed / unkeyed writes per second", keyed.per_second / unkeyed.per_second, "times");
  print_line("unkeyed writes, p50", unkeyed.p50_ms, "ms");
  print_line("keyed writes, p50", keyed.p50_ms, "ms");
  print_line("unkeyed writes, p99", unkeyed.p99_ms, "ms");
  print_line("keyed writes, p99", keyed.p99_ms, "ms");
  return 0;
}
