// Dispatcher, durable service and the store's thread together, over a disk that stops and comes back.
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

// The real disk, behind a switch.
class switched_disk : public store::posix_file_system {
 public:
  std::atomic<bool> broken = false;
  std::atomic<bool> held = false;  // a sync waits as long as this is set
  std::atomic<int> syncs = 0;

  std::unique_ptr<store::file> create(const std::string& path, std::uint64_t size) override {
    check();
    return std::make_unique<switched>(*this, posix_file_system::create(path, size));
  }

 private:
  class switched : public store::file {
   public:
    switched(switched_disk& d, std::unique_ptr<store::file> f) : disk_(d), file_(std::move(f)) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override { file_->write_at(offset, bytes); }
    void sync() override {
      while (disk_.held) std::this_thread::sleep_for(1ms);
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
    if (broken) throw store::io_error("the disk is out");
  }
};

struct fixture : front, backend {
  explicit fixture(duration deadline = 20s) : dispatch(settings_of(deadline), 1, steady(), counters) {
    char name[] = "/tmp/marblewharf-durable-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    dispatch.add(*this);
    dispatch.on_server_up(false, steady() - 60s);
    open();
  }
  ~fixture() override {
    disk.held = false;
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
    o.unix_now = 1000s;
    o.steady_now = steady();
    service = std::make_unique<idempotency::durable_service>(disk, o, counters, [] {});
    service->set_observer(dispatch);
    dispatch.use(*service, 10s);
  }
  request_id submit(const std::string& key) {
    request r;
    r.payload = "price";
    r.reserved_kb = 1;
    r.key = key;
    return dispatch.on_arrival(*this, *this, std::move(r));
  }
  void respond(request_id id, const answer& final) override {
    CHECK(!answers.contains(id));  // one final answer each
    answers[id] = final;
    results[id] = final.result;
  }
  void close_idle(duration) override {}
  void run(request_id id, const request& what) override {
    ++ran[what.key];
    running.push_back(id);
  }
  void pause(request_id) override { CHECK(false && "a keyed run is not stopped"); }
  void resume(request_id) override {}

  void step() {
    service->step(steady());
    dispatch.step(steady(), {});
  }
  void until(const std::function<bool()>& what) {
    const auto last = steady() + 15s;
    while (!what()) {
      CHECK(steady() < last);
      step();
      std::this_thread::sleep_for(1ms);
    }
  }
  void pass(duration d) {
    for (const auto last = steady() + d; steady() < last; std::this_thread::sleep_for(1ms)) step();
  }
  bool answered(request_id id) const { return answers.contains(id); }
  response_status how(request_id id) const { return answers.at(id).status; }
  void end(const std::string& result) {
    const request_id id = running.back();
    running.pop_back();
    dispatch.on_end(id, run_end::succeeded, result, 1ms);
  }

  telemetry::counters counters;
  dispatcher dispatch;
  switched_disk disk;
  std::string folder;
  std::unique_ptr<idempotency::durable_service> service;
  std::map<request_id, answer> answers;
  std::map<request_id, std::string> results;
  std::map<std::string, int> ran;
  std::vector<request_id> running;
};

// Without a durable intent nothing runs and nobody is answered `served`; later requests are served again.
void requests_are_rejected_while_the_disk_fails() {
  fixture r;
  r.disk.broken = true;
  const request_id first = r.submit("a");
  r.until([&] { return r.answered(first); });
  CHECK(r.how(first) == response_status::rejected && r.ran.empty() && r.answers[first].retry_after > 0s);
  const request_id second = r.submit("a");
  r.until([&] { return r.answered(second); });
  CHECK(r.how(second) == response_status::rejected && r.ran.empty());
  r.disk.broken = false;
  request_id third = 0;
  r.until([&] {
    if (third == 0 || (r.answered(third) && r.how(third) == response_status::rejected)) third = r.submit("a");
    return r.ran["a"] == 1;
  });
  r.end("done");
  r.until([&] { return r.answered(third); });
  CHECK(r.how(third) == response_status::served && r.results[third] == "done");
  // An intent that the disk did not take leaves no unknown outcome after a restart.
  r.service.reset();
  r.open();
  CHECK(r.service->known().size() == 1 && r.service->known().outcomes_unknown() == 0);
}

// The run has ended and its record waits for the disk: nobody is answered, a duplicate is coalesced, and both
// are answered once the record is durable.
void duplicate_arrives_while_the_result_is_recorded() {
  fixture r;
  const request_id first = r.submit("a");
  r.until([&] { return r.ran["a"] == 1; });
  r.disk.held = true;
  r.end("done");
  const request_id repeat = r.submit("a");
  r.pass(100ms);
  CHECK(!r.answered(first) && !r.answered(repeat));
  r.disk.held = false;
  r.until([&] { return r.answered(first) && r.answered(repeat); });
  CHECK(r.results[first] == "done" && r.results[repeat] == "done" && r.ran["a"] == 1);
}

// The disk fails between run and record, past the client's deadline: the client is answered in time that the
// outcome is unknown; the record follows when the disk is back, and a later duplicate gets the result.
void result_is_recorded_after_the_deadline() {
  fixture r(700ms);
  const auto begin = steady();
  const request_id first = r.submit("a");
  r.until([&] { return r.ran["a"] == 1; });
  r.disk.broken = true;
  r.end("done");
  r.until([&] { return r.answered(first); });
  CHECK(r.how(first) == response_status::failed && r.answers[first].outcome_unknown &&
        steady() - begin >= 500ms);
  const request_id overdue = r.submit("a");
  r.until([&] { return r.answered(overdue); });
  CHECK(r.how(overdue) == response_status::failed);  // coalesced, and its deadline passed
  r.disk.broken = false;
  request_id later = 0;
  r.until([&] {
    if (later == 0 || (r.answered(later) && r.how(later) != response_status::served)) later = r.submit("a");
    return r.answered(later) && r.how(later) == response_status::served;
  });
  CHECK(r.results[later] == "done" && r.ran["a"] == 1);
  r.service.reset();
  r.open();
  CHECK(r.service->known().size() == 1 && r.service->known().outcomes_unknown() == 0);
}

// Each commit takes the writes that came meanwhile: many writes, few syncs.
void one_sync_for_many_writes() {
  fixture r;
  const int before = r.disk.syncs;
  r.disk.held = true;
  std::vector<request_id> all;
  for (int i = 0; i < 50; ++i) all.push_back(r.submit("k" + std::to_string(i)));
  r.until([&] {
    r.disk.held = false;
    while (!r.running.empty()) r.end("done");
    return std::all_of(all.begin(), all.end(), [&](request_id id) { return r.answered(id); });
  });
  CHECK(r.disk.syncs - before < 60);
}

// While its primary is queued or writes its intent, a key stays with it: a cancelled client does not free it
// under the duplicates.
void cancelled_primary_keeps_its_key_for_duplicates() {
  fixture r;
  r.disk.held = true;
  const request_id first = r.submit("a");
  r.step();
  const request_id second = r.submit("a");
  r.step();
  r.dispatch.on_client_cancelled(first);
  r.pass(50ms);
  r.disk.held = false;
  r.until([&] { return r.ran["a"] == 1; });
  r.end("done");
  r.until([&] { return r.answered(second); });
  CHECK(r.how(second) == response_status::served && !r.answered(first));
  // All clients cancel before the intent is durable: it never runs, and its key is free.
  r.disk.held = true;
  const request_id third = r.submit("b");
  r.step();
  r.dispatch.on_client_cancelled(third);
  r.disk.held = false;
  r.until([&] { return r.dispatch.open() == 0; });
  CHECK(r.ran["b"] == 0);
  const request_id fourth = r.submit("b");
  r.until([&] { return r.ran["b"] == 1; });
  r.end("done");
  r.until([&] { return r.answered(fourth); });
  CHECK(r.dispatch.open() == 0 && r.service->known().open() == 0);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"disk_failure", requests_are_rejected_while_the_disk_fails},
      {"duplicate_while_recording", duplicate_arrives_while_the_result_is_recorded},
      {"late_record", result_is_recorded_after_the_deadline},
      {"group_commit", one_sync_for_many_writes},
      {"cancelled_clients", cancelled_primary_keeps_its_key_for_duplicates}};
  tests.at(argv[1])();
  return 0;
}
