// Tests the dispatcher, the durable service and the committer's thread together, on a disk that fails and
// recovers.
#include "idempotency/durable_service.hpp"

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <thread>

#include "../check.hpp"
#include "core/dispatcher.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

time_point steady() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// The real file system with switches to fail or delay syncs.
class switched_disk : public store::posix_file_system {
 public:
  std::atomic<bool> failing = false;
  std::atomic<bool> sync_blocked = false;  // while set, syncs block
  std::atomic<int> syncs = 0;

  std::unique_ptr<store::file> create(const std::string& path, std::uint64_t size) override {
    check();
    return std::make_unique<switched_file>(*this, posix_file_system::create(path, size));
  }

 private:
  class switched_file : public store::file {
   public:
    switched_file(switched_disk& d, std::unique_ptr<store::file> f) : disk_(d), file_(std::move(f)) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override { file_->write_at(offset, bytes); }
    void sync() override {
      while (disk_.sync_blocked) std::this_thread::sleep_for(1ms);
      disk_.check();
      file_->sync();
      ++disk_.syncs;
    }
    void truncate(std::uint64_t size) override { file_->truncate(size); }

   private:
    switched_disk& disk_;
    std::unique_ptr<store::file> file_;
  };
  void check() const {
    if (failing) throw store::io_error("injected fault");
  }
};

struct fixture : front, backend {
  // `killed`: a node whose folder this one finds as a kill would leave it now; null: an empty folder.
  explicit fixture(duration deadline = 20s, const fixture* killed = nullptr)
      : dispatch(settings_of(deadline), 1, steady(), counters) {
    char name[] = "/tmp/marblewharf-durable-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    if (killed != nullptr) std::filesystem::copy(killed->folder + "/results", folder + "/results");
    dispatch.add_front(*this);
    dispatch.on_server_up(false, steady() - 60s);
    open();
  }
  ~fixture() override {
    disk.sync_blocked = false;
    service.reset();
    std::filesystem::remove_all(folder);
  }
  static admission_policy::settings settings_of(duration deadline) {
    admission_policy::settings s;
    s.cores = 8;
    s.tick = 1ms;
    s.classes.push_back({.name = "kurs-meldung",
                         .latency_objective = deadline,
                         .deadline = deadline,
                         .effect = admission_policy::request_effect::keyed,
                         .idempotency_window = deadline});
    return s;
  }
  void open() {
    idempotency::durable_service_options o;
    o.folder = folder + "/results";
    o.windows = {1h};
    o.classes = {"kurs-meldung"};
    o.segment = 64 << 10;
    o.retry_disk = 20ms;
    o.inquiry_tries = 1;
    o.max_server_name_bytes = 8;
    o.unix_now = 1000s;
    o.steady_now = steady();
    service = std::make_unique<idempotency::durable_service>(disk, o, counters, [] {});
    service->set_observer(dispatch);
    dispatch.enable_idempotency(*service, 10s, o.windows);
  }
  request_id submit(const std::string& key) {
    request arriving;
    arriving.payload = "price";
    arriving.reserved_kb = 1;
    arriving.key = key;
    return dispatch.on_arrival(*this, *this, std::move(arriving));
  }
  void respond(request_id id, const answer& final) override {
    CHECK(!answers.contains(id));  // exactly one final answer per request
    answers[id] = final;
    results[id] = final.result;
  }
  void close_idle(duration) override {}
  std::optional<std::string> choose_server(const request&,
                                           const std::vector<std::string>& unreachable) override {
    if (unreachable.size() == servers.size()) return std::nullopt;
    return servers[unreachable.size()];
  }
  void run(request_id id, const request& started) override {
    ++runs[started.key];
    running.push_back(id);
    last_server = started.server;
  }
  bool inquire(request_id, const request& inquired) override {
    last_server = inquired.server;
    return true;
  }
  void pause(request_id) override { CHECK(false && "a keyed run must not be paused"); }
  void resume(request_id) override {}

  void step() {
    service->step(steady());
    dispatch.step(steady(), {});
  }
  void step_until(const std::function<bool()>& condition) {
    const auto last = steady() + 15s;
    while (!condition()) {
      CHECK(steady() < last);
      step();
      std::this_thread::sleep_for(1ms);
    }
  }
  void step_for(duration d) {
    for (const auto last = steady() + d; steady() < last; std::this_thread::sleep_for(1ms)) step();
  }
  bool answered(request_id id) const { return answers.contains(id); }
  response_status status_of(request_id id) const { return answers.at(id).status; }
  void end_run(const std::string& result) {
    const request_id id = running.back();
    running.pop_back();
    dispatch.on_run_ended(id, run_end::succeeded, result, 1ms);
  }

  telemetry::counters counters;
  dispatcher dispatch;
  switched_disk disk;
  std::string folder;
  std::unique_ptr<idempotency::durable_service> service;
  std::map<request_id, answer> answers;
  std::map<request_id, std::string> results;
  std::map<std::string, int> runs;
  std::vector<request_id> running;
  std::vector<std::string> servers = {""};
  std::string last_server;  // of the last run or inquiry
};

// While the disk fails, no intent can be written: requests are rejected and must not run. After the disk
// recovers, requests are served again.
void requests_are_rejected_while_the_disk_fails() {
  fixture f;
  f.disk.failing = true;
  const request_id first = f.submit("a");
  f.step_until([&] { return f.answered(first); });
  CHECK(f.status_of(first) == response_status::rejected && f.runs.empty() &&
        f.answers[first].retry_after > 0s);
  const request_id second = f.submit("a");
  f.step_until([&] { return f.answered(second); });
  CHECK(f.status_of(second) == response_status::rejected && f.runs.empty());
  f.disk.failing = false;
  request_id third = 0;
  f.step_until([&] {
    if (third == 0 || (f.answered(third) && f.status_of(third) == response_status::rejected))
      third = f.submit("a");
    return f.runs["a"] == 1;
  });
  f.end_run("done");
  f.step_until([&] { return f.answered(third); });
  CHECK(f.status_of(third) == response_status::served && f.results[third] == "done");
  // After a restart, an intent whose write failed does not appear as an unknown outcome.
  f.service.reset();
  f.open();
  CHECK(f.service->table().size() == 1 && f.service->table().outcomes_unknown() == 0);
}

// The run has ended, but its result is not durable yet: no client must be answered, and a duplicate is
// coalesced. Both are answered once the result is durable.
void duplicate_arrives_while_the_result_is_recorded() {
  fixture f;
  const request_id first = f.submit("a");
  f.step_until([&] { return f.runs["a"] == 1; });
  f.disk.sync_blocked = true;
  f.end_run("done");
  const request_id repeat = f.submit("a");
  f.step_for(100ms);
  CHECK(!f.answered(first) && !f.answered(repeat));
  f.disk.sync_blocked = false;
  f.step_until([&] { return f.answered(first) && f.answered(repeat); });
  CHECK(f.results[first] == "done" && f.results[repeat] == "done" && f.runs["a"] == 1);
}

// The disk fails after the run and stays so past the client's deadline: the client is answered in time with
// an unknown outcome. The result is recorded when the disk recovers, and a later duplicate gets it.
void result_is_recorded_after_the_deadline() {
  fixture f(700ms);
  const auto begin = steady();
  const request_id first = f.submit("a");
  f.step_until([&] { return f.runs["a"] == 1; });
  f.disk.failing = true;
  f.end_run("done");
  f.step_until([&] { return f.answered(first); });
  CHECK(f.status_of(first) == response_status::failed && f.answers[first].outcome_unknown &&
        steady() - begin >= 500ms);
  const request_id overdue = f.submit("a");
  f.step_until([&] { return f.answered(overdue); });
  CHECK(f.status_of(overdue) ==
        response_status::failed);  // the duplicate was coalesced, and then its deadline passed
  f.disk.failing = false;
  request_id later = 0;
  f.step_until([&] {
    if (later == 0 || (f.answered(later) && f.status_of(later) != response_status::served))
      later = f.submit("a");
    return f.answered(later) && f.status_of(later) == response_status::served;
  });
  CHECK(f.results[later] == "done" && f.runs["a"] == 1);
  f.service.reset();
  f.open();
  CHECK(f.service->table().size() == 1 && f.service->table().outcomes_unknown() == 0);
}

// Group commit: writes that arrive during a commit share the next sync, so that 50 keyed requests take fewer
// than 60 syncs.
void one_sync_for_many_writes() {
  fixture f;
  const int before = f.disk.syncs;
  f.disk.sync_blocked = true;
  std::vector<request_id> all;
  for (int i = 0; i < 50; ++i) all.push_back(f.submit("k" + std::to_string(i)));
  f.step_until([&] {
    f.disk.sync_blocked = false;
    while (!f.running.empty()) f.end_run("done");
    return std::all_of(all.begin(), all.end(), [&](request_id id) { return f.answered(id); });
  });
  CHECK(f.disk.syncs - before < 60);
}

// The client of a primary cancels while the intent is being written: the key must stay claimed, so that the
// coalesced duplicates still get a result.
void cancelled_primary_keeps_its_key_for_duplicates() {
  fixture f;
  f.disk.sync_blocked = true;
  const request_id first = f.submit("a");
  f.step();
  const request_id second = f.submit("a");
  f.step();
  f.dispatch.on_client_cancelled(first);
  f.step_for(50ms);
  f.disk.sync_blocked = false;
  f.step_until([&] { return f.runs["a"] == 1; });
  f.end_run("done");
  f.step_until([&] { return f.answered(second); });
  CHECK(f.status_of(second) == response_status::served && !f.answered(first));
  // All clients cancel before the intent is durable: the request must not run, and its key is released.
  f.disk.sync_blocked = true;
  const request_id third = f.submit("b");
  f.step();
  f.dispatch.on_client_cancelled(third);
  f.disk.sync_blocked = false;
  f.step_until([&] { return f.dispatch.open_requests() == 0; });
  CHECK(f.runs["b"] == 0);
  const request_id fourth = f.submit("b");
  f.step_until([&] { return f.runs["b"] == 1; });
  f.end_run("done");
  f.step_until([&] { return f.answered(fourth); });
  CHECK(f.dispatch.open_requests() == 0 && f.service->table().open() == 0);
}

// The server of the unfinished run of "a" that a node asks after the kill of `killed`.
std::string server_asked_after_the_kill_of(const fixture& killed) {
  fixture restarted(20s, &killed);
  restarted.submit("a");
  restarted.step_until([&] { return !restarted.last_server.empty(); });
  CHECK(restarted.runs.empty());
  return restarted.last_server;
}

// Guards against a run at a server that no intent on disk names. The first server of a run cannot be reached,
// and the node is killed before and after the intent for the next one is durable.
void next_server_waits_for_its_intent() {
  fixture f;
  f.servers = {"first:1", "other:1"};
  const request_id id = f.submit("a");
  f.step_until([&] { return f.runs["a"] == 1; });
  CHECK(f.last_server == "first:1" && server_asked_after_the_kill_of(f) == "first:1");
  f.disk.sync_blocked = true;
  f.dispatch.on_server_unreachable(id);
  f.step_for(100ms);
  CHECK(f.runs["a"] == 1);  // no byte was sent to the other server
  f.disk.sync_blocked = false;
  f.step_until([&] { return f.runs["a"] == 2; });
  CHECK(f.last_server == "other:1" && server_asked_after_the_kill_of(f) == "other:1");
  f.end_run("done");
  f.step_until([&] { return f.answered(id); });
  CHECK(f.status_of(id) == response_status::served);
}

// The disk fails before the intent for the next server is durable: the request is rejected and has run
// nowhere.
void next_server_gets_nothing_if_its_intent_fails() {
  fixture f;
  f.servers = {"first:1", "other:1"};
  const request_id id = f.submit("a");
  f.step_until([&] { return f.runs["a"] == 1; });
  f.disk.failing = true;
  f.dispatch.on_server_unreachable(id);
  f.step_until([&] { return f.answered(id); });
  CHECK(f.status_of(id) == response_status::rejected && f.runs["a"] == 1);
  f.disk.failing = false;
  request_id repeat = 0;
  f.step_until([&] {
    if (repeat == 0 || f.answered(repeat)) repeat = f.submit("a");
    return f.runs["a"] == 2;
  });
  CHECK(f.last_server == "first:1");
  f.end_run("done");
  f.step_until([&] { return f.answered(repeat); });
  CHECK(f.status_of(repeat) == response_status::served);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"disk_failure", requests_are_rejected_while_the_disk_fails},
      {"duplicate_while_recording", duplicate_arrives_while_the_result_is_recorded},
      {"late_record", result_is_recorded_after_the_deadline},
      {"group_commit", one_sync_for_many_writes},
      {"cancelled_clients", cancelled_primary_keeps_its_key_for_duplicates},
      {"next_server", next_server_waits_for_its_intent},
      {"next_server_disk_failure", next_server_gets_nothing_if_its_intent_fails}};
  tests.at(argv[1])();
  return 0;
}
