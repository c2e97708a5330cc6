// Measures idempotency: one table, each line a ratio or a figure of this run on this machine.
//
//   marblewharf_keyed_bench [FOLDER]    FOLDER: on the disk to measure; a new folder is made in it (default
//   /tmp)
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
void line(const char* what, double value, const char* unit, const char* aim = "") {
  std::printf("%-58s %12.2f %-10s %s\n", what, value, unit, aim);
  std::fflush(stdout);
}

struct work_folder {
  explicit work_folder(const std::string& in) {
    std::string name = in + "/marblewharf-bench-XXXXXX";
    CHECK(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~work_folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// ---- Group commit -----------------------------------------------------------------------------------------

// Writes of `in_flight` at once: each that is on disk is followed by the next.
double commits_a_second(const std::string& folder, std::size_t batch, std::size_t in_flight) {
  store::posix_file_system fs;
  auto log = std::make_unique<store::log>(
      fs, store::log_options{folder, 8u << 20, 4ull << 30, 1},
      [](std::uint32_t, std::string_view) { return 1; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  log->open(1);
  store::committer_options o;
  o.batch = batch;
  std::mutex guard;
  std::condition_variable some;
  bool poked = false;
  store::committer c(
      std::move(log), o, [] { return 1; },
      [&] {
        const std::lock_guard lock(guard);
        poked = true;
        some.notify_one();
      });
  std::uint64_t ticket = 0, written = 0;
  const auto write = [&] { CHECK(c.write(++ticket, {{1, std::string(300, 'x')}, 1ll << 60})); };
  for (std::size_t i = 0; i < in_flight; ++i) write();
  const auto begin = steady();
  std::vector<store::committer::done> done;
  while (steady() - begin < 2s) {
    {
      std::unique_lock lock(guard);
      some.wait_for(lock, 100ms, [&] { return poked; });
      poked = false;
    }
    c.collect(done);
    for (const auto& d : done) {
      CHECK(d.ok);
      ++written;
      write();
    }
  }
  return static_cast<double>(written) / seconds(steady() - begin);
}

// ---- Recovery and memory ----------------------------------------------------------------------------------

void recovery(const std::string& folder) {
  constexpr std::uint64_t entries = 1'000'000;
  constexpr std::uint64_t batch = 1000;
  store::posix_file_system fs;
  {
    store::log log(
        fs, {folder, 8u << 20, 8ull << 30, 7}, [](std::uint32_t, std::string_view) { return 1; },
        [](std::uint32_t, std::string_view, const store::position&) {});
    log.open(1);
    const std::string result(64, 'r');
    for (std::uint64_t i = 0; i < entries; i += batch) {
      std::vector<store::entry> all;
      for (std::uint64_t k = i; k < i + batch; ++k) {
        const std::string name = "write-" + std::to_string(k);
        idempotency::key_record record;
        record.key = idempotency::key_id_of("isar-invest", "kurs-meldung", name, 7);
        record.fingerprint = k;
        record.expiry = 1ll << 61;
        record.written_at = 1;
        record.tenant = "isar-invest";
        record.request_class = "kurs-meldung";
        record.client_key = name;
        record.type = idempotency::record_type::intent;
        all.push_back({idempotency::encode(record), record.expiry});
        record.type = idempotency::record_type::result;
        record.succeeded = true;
        record.result = result;
        all.push_back({idempotency::encode(record), record.expiry});
      }
      log.append(all, 1);
    }
  }
  idempotency::durable_service_options o;
  o.folder = folder;
  o.windows = {1h};
  o.classes = {"kurs-meldung"};
  o.tenants = {"isar-invest"};
  o.entries = 2 * entries;
  o.space = 8ull << 30;
  o.unix_now = 1000s;
  o.steady_now = steady();
  telemetry::counters counters;
  const std::size_t before = ::mallinfo2().uordblks;
  const auto begin = steady();
  idempotency::durable_service k(fs, o, counters, [] {});
  const double took = seconds(steady() - begin);
  ::malloc_trim(0);
  const std::size_t after = ::mallinfo2().uordblks;
  CHECK(k.known().size() == entries);
  line("recovery of 1,000,000 entries", took, "s", "(aim: under 2)");
  const double slack = 8.0 * static_cast<double>(k.known().buckets());
  line("memory for an entry, beside the index's slots",
       (static_cast<double>(after - before) - slack) / entries, "bytes", "(aim: 160 or less)");
  line("the index's slots, for an entry", slack / entries, "bytes");
}

// ---- The reactor's step while the disk is slow ------------------------------------------------------------

class slow_disk : public store::posix_file_system {
 public:
  explicit slow_disk(duration each) : each_(each) {}
  std::unique_ptr<store::file> create(const std::string& path, std::uint64_t size) override {
    return std::make_unique<slow>(posix_file_system::create(path, size), each_);
  }

 private:
  class slow : public store::file {
   public:
    slow(std::unique_ptr<store::file> f, duration each) : file_(std::move(f)), each_(each) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override { file_->write_at(offset, bytes); }
    void sync() override {
      std::this_thread::sleep_for(each_);
      file_->sync();
    }
    void truncate(std::uint64_t size) override { file_->truncate(size); }

   private:
    std::unique_ptr<store::file> file_;
    duration each_;
  };
  duration each_;
};

struct dispatcher_fixture : front, backend {
  explicit dispatcher_fixture(const admission_policy::settings& s) : dispatch(s, 1, steady(), counters) {
    dispatch.add(*this);
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

// The longest and the mean step of 2 s with some arrivals in each, every run ending in the next.
std::pair<double, double> steps(const std::string& folder, bool keyed_on, duration sync, int& served) {
  admission_policy::settings s;
  s.cores = 8;
  s.classes.push_back({.name = "kurs-meldung",
                       .latency_objective = 5s,
                       .deadline = 10s,
                       .effect = keyed_on ? admission_policy::request_effect::keyed
                                          : admission_policy::request_effect::unsafe,
                       .idempotency_window = 10s});
  s.tick = 1ms;
  dispatcher_fixture rig(s);
  slow_disk disk(sync);
  std::unique_ptr<idempotency::durable_service> service;
  if (keyed_on) {
    idempotency::durable_service_options o;
    o.folder = folder;
    o.windows = {1h};
    o.classes = {"kurs-meldung"};
    o.unix_now = 1000s;
    o.steady_now = steady();
    service = std::make_unique<idempotency::durable_service>(disk, o, rig.counters, [] {});
    service->set_observer(rig.dispatch);
    rig.dispatch.use(*service, 10s);
  }
  std::vector<double> took;
  std::uint64_t n = 0;
  const auto begin = steady();
  while (steady() - begin < 2s) {
    const auto at = steady();
    for (int i = 0; i < 4; ++i) {
      request r;
      r.payload = "price";
      r.reserved_kb = 1;
      if (keyed_on) r.key = "k" + std::to_string(++n);
      rig.dispatch.on_arrival(rig, rig, std::move(r));
    }
    for (const request_id id : std::exchange(rig.running, {}))
      rig.dispatch.on_end(id, run_end::succeeded, "done", 1ms);
    if (service) service->step(steady());
    rig.dispatch.step(steady(), {});
    took.push_back(seconds(steady() - at) * 1e6);
    std::this_thread::sleep_for(1ms);
  }
  served = rig.served;
  std::sort(took.begin(), took.end());
  return {took[took.size() * 999 / 1000],
          std::accumulate(took.begin(), took.end(), 0.0) / static_cast<double>(took.size())};
}

// ---- The whole program ------------------------------------------------------------------------------------

struct latency {
  double per_second = 0, p50 = 0, p99 = 0;
};

// Writes over Thrift, 64 in flight on 4 connections, against a runtime that ends each at once.
latency writes(const std::string& folder, bool keyed_on) {
  using namespace harness;
  runtime r;
  node_options o;
  o.cores = 64;
  o.quota = o.other_quota = 1000000;
  if (keyed_on)
    o.operators = "class kurs-meldung {\n keyed = yes\n window = 10m\n}\nkeyed {\n folder = \"" + folder +
                  "\"\n thrift_field = key\n}\n";
  node n(r, o);
  r.up();
  std::atomic<bool> over = false;
  std::thread server([&] {
    while (!over) {
      if (!r.link.readable(20)) continue;
      std::string text;
      if (!r.link.next(text)) return;
      if (r.answer_gauges(text) || member(text, "msg") != "start") continue;
      r.end(member(text, "call"), "fine", "cQ==");
    }
  });
  constexpr int connections = 4, each = 16;
  std::vector<std::vector<double>> took(connections);
  std::vector<std::thread> callers;
  const auto begin = clock::now();
  for (int k = 0; k < connections; ++k) {
    callers.emplace_back([&, k] {
      connection c = connection::to(n.port);
      std::map<int, clock::time_point> sent;
      int seqid = 0;
      const auto send = [&] {
        fields f = usual(++seqid + k * 1000000, "kurs-meldung");
        if (keyed_on) f.emplace_back("key", "k" + std::to_string(seqid + k * 1000000));
        sent[seqid] = clock::now();
        c.send(execute(seqid, f, "price"));
      };
      for (int i = 0; i < each; ++i) send();
      while (!sent.empty()) {
        const reply answer = read_reply(c);
        if (answer.kind == "closing") continue;
        CHECK(answer.kind == "served");
        took[static_cast<std::size_t>(k)].push_back(seconds(clock::now() - sent.at(answer.seqid)) * 1e3);
        sent.erase(answer.seqid);
        if (clock::now() - begin < 3s) send();
      }
    });
  }
  for (std::thread& t : callers) t.join();
  const double wall = seconds(clock::now() - begin);
  over = true;
  server.join();
  std::vector<double> all;
  for (const auto& one : took) all.insert(all.end(), one.begin(), one.end());
  std::sort(all.begin(), all.end());
  return {static_cast<double>(all.size()) / wall, all[all.size() / 2], all[all.size() * 99 / 100]};
}

}  // namespace

int main(int argc, char** argv) {
  telemetry::limit_lines(0);
  const work_folder work(argc > 1 ? argv[1] : "/tmp");
  const double one = commits_a_second(work.path + "/one", 1, 64);
  const double group = commits_a_second(work.path + "/group", 1024, 64);
  line("records a second on disk, a sync for each, 64 in flight", one, "1/s");
  line("records a second on disk, group commit, 64 in flight", group, "1/s");
  line("group commit over a sync for each", group / one, "times", "(aim: at least 5)");
  recovery(work.path + "/many");
  int served = 0;
  const auto without = steps("", false, 0ms, served);
  const auto with = steps(work.path + "/fast", true, 0ms, served);
  const auto slow = steps(work.path + "/slow", true, 200ms, served);
  line("the reactor's step without a store, 99.9%", without.first, "us");
  line("... with one", with.first, "us");
  line("... with one whose disk takes 200 ms for a sync", slow.first, "us", "(aim: as without)");
  line("the mean step without a store", without.second, "us");
  line("... with one", with.second, "us");
  line("... with one whose disk is slow", slow.second, "us");
  const latency plain = writes("", false);
  const latency kept = writes(work.path + "/node", true);
  line("unkeyed writes", plain.per_second, "1/s");
  line("keyed writes", kept.per_second, "1/s");
  line("keyed over unkeyed", kept.per_second / plain.per_second, "times");
  line("unkeyed writes, p50", plain.p50, "ms");
  line("keyed writes, p50", kept.p50, "ms");
  line("unkeyed writes, p99", plain.p99, "ms");
  line("keyed writes, p99", kept.p99, "ms");
  return 0;
}
