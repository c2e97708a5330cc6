// Exceptions in the handlers that read requests and the ends of their runs, for both fronts in this process:
// whichever allocation fails after the bytes of a request were read, or while the end of its run is handled
// and its answer written, the request gets one final answer, nothing stays booked for it, and its key is free
// if it did not run.
#include <atomic>
#include <cstdlib>
#include <map>
#include <new>
#include <string>
#include <thread>
#include <utility>

#include "core/dispatcher.hpp"
#include "harness.hpp"
#include "idempotency/memory_service.hpp"
#include "thrift/front.hpp"
#include "uwsgi/front.hpp"
#include "uwsgi_peer.hpp"

// On the thread that injects failures: allocations until one fails; 0: none fails.
static thread_local int allocations_until_failure = 0;
[[gnu::noinline]] void* operator new(std::size_t size) {
  if (allocations_until_failure > 0 && --allocations_until_failure == 0) throw std::bad_alloc();
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  return block;
}
[[gnu::noinline]] void operator delete(void* block) noexcept {
  std::free(block);
}
[[gnu::noinline]] void operator delete(void* block, std::size_t) noexcept {
  std::free(block);
}

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

constexpr unsigned keyed_class = 1;

// Where an allocation fails.
enum class failure_phase {
  read,     // after bytes were read from a connection
  run_end,  // after a run has ended, up to its answer
};

// Lets the allocation with a given number fail in a phase, once.
class failure_injector : public net::traffic_observer {
 public:
  void arm(int allocation, failure_phase phase) {
    phase_ = phase;
    phase_ended_ = false;
    next_failure_ = allocation;
  }
  void begin(failure_phase phase) {
    if (phase_ != phase || next_failure_ == 0) return;
    allocations_until_failure = next_failure_.exchange(0);
    in_phase_ = true;
  }
  // Ends a phase: no other allocation of a step fails.
  void end_phase() {
    if (!std::exchange(in_phase_, false)) return;
    reached_ = allocations_until_failure == 0;
    allocations_until_failure = 0;
    phase_ended_ = true;
    phase_ended_.notify_all();
  }
  // Whether the last failure happened; false once the phase needs fewer allocations. Waits for the end of the
  // phase: the answer may come before it.
  bool reached() const {
    phase_ended_.wait(false);
    return reached_;
  }

  void on_open(const void*, const std::string&, const std::string&) override {}
  void on_read(const void*, std::string_view) override { begin(failure_phase::read); }
  void on_written(const void*, std::string_view) override {}
  void on_close(const void*) override {}

 private:
  std::atomic<failure_phase> phase_ = failure_phase::read;
  std::atomic<int> next_failure_ = 0;
  bool in_phase_ = false;  // used on the reactor's thread
  std::atomic<bool> phase_ended_ = true;
  std::atomic<bool> reached_ = true;
};

// Ends each run in the next round. Counts the runs by body.
class counting_backend : public backend {
 public:
  void run(request_id id, const request& details) override {
    ++runs_of[details.key];
    begun_.push_back(id);
  }
  void pause(request_id) override {}
  void resume(request_id) override {}
  // While runs are held, none ends.
  void hold(bool held) { held_ = held; }
  bool has_runs_to_end() const { return !held_ && !begun_.empty(); }
  void end_runs(dispatcher& requests) {
    for (const request_id id : std::exchange(begun_, {}))
      requests.on_run_ended(id, run_end::succeeded, "HTTP/1.1 200 OK\r\n\r\n", 1ms);
  }
  std::map<std::string, int> runs_of;

 private:
  std::vector<request_id> begun_;
  std::atomic<bool> held_ = false;
};

endpoint own_endpoint() {
  return {harness::own_host(), static_cast<std::uint16_t>(harness::free_port())};
}

config test_config() {
  config settings;
  settings.listen = own_endpoint();
  settings.policy_settings.cores = 4;
  settings.policy_settings.tick = 1ms;
  settings.policy_settings.memory_kb = 2000;
  settings.policy_settings.concurrency_ceiling_per_core = 5;
  settings.policy_settings.classes.push_back(
      {.name = "kurs-abfrage", .latency_objective = 20s, .deadline = 60s});
  settings.policy_settings.classes.push_back({.name = "kurs-meldung",
                                              .latency_objective = 20s,
                                              .deadline = 60s,
                                              .effect = admission_policy::request_effect::keyed,
                                              .idempotency_window = 60s});
  settings.platform_windows = {0s, 60s};
  settings.memory_idempotency.emplace().windows = settings.platform_windows;
  settings.keyed.emplace().uwsgi_var = "KEY";
  settings.uwsgi.emplace().listen = own_endpoint();
  settings.uwsgi->request_class.var = "CLASS";
  settings.uwsgi->reserved_kb = 20;
  return settings;
}

// Both fronts, a dispatcher and a store in memory, driven by a reactor on a thread of its own.
class node_in_process {
 public:
  node_in_process() { requests_.enable_idempotency(store_, {}, settings_.platform_windows); }
  ~node_in_process() { stop(); }

  void start() {
    store_.set_observer(requests_);
    requests_.on_server_up(false, net::steady_now());
    reactor_.set_traffic_observer(&injector);
    thread_ = std::thread([this] { reactor_.serve([this] { return step(); }); });
  }
  // After it, the members may be read.
  void stop() {
    if (!thread_.joinable()) return;
    stopping_ = true;
    thread_.join();
  }
  int thrift_port() const { return settings_.listen.port; }
  int uwsgi_port() const { return settings_.uwsgi->listen.port; }
  std::size_t open_requests() const { return requests_.open_requests(); }
  std::size_t open_keys() const { return store_.table().open(); }

  failure_injector injector;
  counting_backend runs;
  telemetry::counters counters;

 private:
  time_point step() {
    injector.end_phase();
    if (stopping_) reactor_.stop();
    const time_point now = net::steady_now();
    if (runs.has_runs_to_end()) {
      end_runs(now);
    } else {
      store_.step(now);
    }
    requests_.step(now, {});
    thrift_.step(now);
    uwsgi_.step(now);
    return now + 1ms;
  }

  // The store's step reports that the results of keyed runs are recorded.
  void end_runs(time_point now) {
    injector.begin(failure_phase::run_end);
    runs.end_runs(requests_);
    store_.step(now);
    injector.end_phase();
  }

  const config settings_ = test_config();
  net::reactor reactor_{settings_.bounds, &counters};
  dispatcher requests_{settings_.policy_settings, 1, net::steady_now(), counters};
  idempotency::memory_service store_{{.windows = settings_.platform_windows,
                                      .longest_wait = 60s,
                                      .memory = 8 << 20,
                                      .largest_result = 4096,
                                      .classes = {"kurs-abfrage", "kurs-meldung"}},
                                     counters};
  thrift::server thrift_{reactor_, settings_, requests_, runs, counters};
  uwsgi::server uwsgi_{reactor_, settings_, requests_, runs, counters};
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

std::string thrift_request(int number, const std::string& key) {
  harness::fields f = harness::usual(number, key.empty() ? "kurs-abfrage" : "kurs-meldung");
  if (!key.empty()) f.emplace_back("unique", key);
  return harness::execute(1, f, "price");
}

std::string uwsgi_request(const std::string& key) {
  harness::fields vars = {{"CLASS", key.empty() ? "kurs-abfrage" : "kurs-meldung"}, {"CONTENT_LENGTH", "5"}};
  if (!key.empty()) vars.emplace_back("KEY", key);
  return uwsgi_peer::packet(vars, "price");
}

// Reads until the request is answered or the connection ends. Returns the kind of the answer, or "closed".
std::string thrift_answer(harness::connection& client) {
  std::string received;
  harness::reply next;
  while (true) {
    while (harness::take_reply(received, next))
      if (next.kind != "closing") return next.kind;
    if (!client.more()) return "closed";
    received += client.take_received();
  }
}

std::string uwsgi_answer(harness::connection& client) {
  const std::string response = client.rest();
  return response.empty() ? "closed" : response.substr(9, 3);
}

bool is_served(const std::string& answer) {
  return answer == "served" || answer == "200";
}

// Sends one request after the other; in the n-th, the n-th allocation of the phase fails. Each request is
// repeated without a failure; a key whose run has ended may have an unknown outcome, all others are served.
// Returns the answers to the requests with a failure, and how many got each.
using send_request = std::string (*)(const node_in_process& node, int number, const std::string& key);
std::map<std::string, int> fail_each_allocation(node_in_process& node, failure_phase phase, bool keyed,
                                                send_request send) {
  constexpr int most_allocations = 1000;
  std::map<std::string, int> answers;
  for (int allocation = 1; allocation < most_allocations; ++allocation) {
    const std::string key = keyed ? "key" + std::to_string(allocation) : "";
    node.injector.arm(allocation, phase);
    const std::string answer = send(node, allocation, key);
    if (!node.injector.reached()) return answers;
    ++answers[answer];
    const std::string repeated = send(node, most_allocations + allocation, key);
    const bool may_be_unknown = keyed && phase == failure_phase::run_end && !is_served(answer);
    CHECK(is_served(repeated) || (may_be_unknown && (repeated == "failed" || repeated == "409")));
  }
  CHECK(!"the requests need ever more allocations");
  return answers;
}

std::string send_thrift(const node_in_process& node, int number, const std::string& key) {
  harness::connection client = harness::connection::to(node.thrift_port());
  client.send(thrift_request(number, key));
  return thrift_answer(client);
}

std::string send_uwsgi(const node_in_process& node, int, const std::string& key) {
  harness::connection client = harness::connection::to(node.uwsgi_port());
  client.send(uwsgi_request(key));
  return uwsgi_answer(client);
}

// Each failure was counted, nothing is open, and no key ran twice.
void check_at_rest(node_in_process& node, failure_phase phase, const std::map<std::string, int>& answers) {
  std::this_thread::sleep_for(50ms);  // the connections' ends are handled
  node.stop();
  int failures = 0;
  for (const auto& [answer, count] : answers) {
    std::printf("%s: %d\n", answer.c_str(), count);
    failures += count;
  }
  const int least_failures = phase == failure_phase::read ? 5 : 2;
  CHECK(failures >= least_failures && !answers.contains("closed"));
  CHECK(node.counters.internal_errors >= static_cast<std::uint64_t>(failures));
  CHECK(node.open_requests() == 0 && node.open_keys() == 0);
  const telemetry::counters& c = node.counters;
  CHECK(c.received_requests == c.served + c.rejected + c.failed + c.cancelled);
  for (const auto& [key, runs] : node.runs.runs_of) CHECK(key.empty() || runs == 1);
}

void failed_allocations(failure_phase phase, bool keyed, send_request send, const std::string& failed) {
  node_in_process node;
  node.start();
  const std::map<std::string, int> answers = fail_each_allocation(node, phase, keyed, send);
  CHECK(answers.contains(failed));
  check_at_rest(node, phase, answers);
}

// Guards against requests that are read and never answered, because a handler threw (review/9).
void thrift_reads_are_answered() {
  failed_allocations(failure_phase::read, false, send_thrift, "failed");
}
void thrift_keyed_writes_are_answered() {
  failed_allocations(failure_phase::read, true, send_thrift, "failed");
}
void uwsgi_reads_are_answered() {
  failed_allocations(failure_phase::read, false, send_uwsgi, "500");
}
void uwsgi_keyed_writes_are_answered() {
  failed_allocations(failure_phase::read, true, send_uwsgi, "502");
}

// Guards against requests whose answer is lost, because it could not be encoded or written.
void thrift_answers_to_reads_are_sent() {
  failed_allocations(failure_phase::run_end, false, send_thrift, "failed");
}
void thrift_answers_to_keyed_writes_are_sent() {
  failed_allocations(failure_phase::run_end, true, send_thrift, "failed");
}
void uwsgi_answers_to_reads_are_sent() {
  failed_allocations(failure_phase::run_end, false, send_uwsgi, "500");
}
void uwsgi_answers_to_keyed_writes_are_sent() {
  failed_allocations(failure_phase::run_end, true, send_uwsgi, "409");
}

// Returns the kinds of the answers on the connection until all requests are answered or it ends, by sequence
// number.
std::map<int, std::string> answers_on(harness::connection& client, std::size_t requests) {
  std::map<int, std::string> kinds;
  std::string received;
  harness::reply next;
  while (kinds.size() < requests) {
    if (!harness::take_reply(received, next)) {
      if (!client.more()) return kinds;
      received += client.take_received();
    } else if (next.kind != "closing") {
      CHECK(kinds.emplace(next.seqid, next.kind).second);
    }
  }
  return kinds;
}

// Guards against an exception that takes the answers of other requests: of one that is open on the same
// connection. A health check that was read together with the request may end the connection, if it is the
// check that fails.
void other_requests_of_the_connection_are_answered() {
  node_in_process node;
  node.start();
  for (int allocation = 1; node.injector.reached(); ++allocation) {
    harness::connection client = harness::connection::to(node.thrift_port());
    node.runs.hold(true);
    client.send(harness::execute(7, harness::usual(7), "price") + harness::check(8));
    CHECK(harness::read_reply(client).seqid == 8);  // so the first request was read
    node.injector.arm(allocation, failure_phase::read);
    client.send(thrift_request(allocation, "") + harness::check(9));
    std::this_thread::sleep_for(10ms);
    node.runs.hold(false);
    const std::map<int, std::string> kinds = answers_on(client, 3);
    CHECK(kinds.at(7) == "served" && (kinds.at(1) == "served" || kinds.at(1) == "failed"));
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"thrift_reads", thrift_reads_are_answered},
      {"thrift_keyed_writes", thrift_keyed_writes_are_answered},
      {"uwsgi_reads", uwsgi_reads_are_answered},
      {"uwsgi_keyed_writes", uwsgi_keyed_writes_are_answered},
      {"thrift_answers", thrift_answers_to_reads_are_sent},
      {"thrift_keyed_answers", thrift_answers_to_keyed_writes_are_sent},
      {"uwsgi_answers", uwsgi_answers_to_reads_are_sent},
      {"uwsgi_keyed_answers", uwsgi_answers_to_keyed_writes_are_sent},
      {"same_connection", other_requests_of_the_connection_are_answered},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
