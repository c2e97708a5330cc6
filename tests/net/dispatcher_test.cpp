// The invariants of the dispatcher hold for a front and a backend that report events in any order,
// repeatedly, or for unknown requests.
#include "core/dispatcher.hpp"

#include <cstdlib>
#include <map>
#include <new>
#include <set>
#include <stdexcept>

#include "harness.hpp"

// Counts the memory blocks that are allocated and not freed.
static long allocated_blocks = 0;
void* operator new(std::size_t size) {
  ++allocated_blocks;
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  return block;
}
void operator delete(void* block) noexcept {
  allocated_blocks -= block != nullptr;
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept {
  operator delete(block);
}

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

struct fixture : front, backend {
  explicit fixture(admission_policy::settings settings) : dispatcher_under_test(settings, 1, now, counters) {
    dispatcher_under_test.add_front(*this);
    dispatcher_under_test.on_server_up(false, now);
    dispatcher_under_test.step(now, {});
  }
  void respond(request_id id, const answer& final_answer) override {
    CHECK(answers.emplace(id, final_answer.status).second);  // one final answer for each request
    retry_after[id] = final_answer.retry_after;
  }
  void close_idle(duration) override {}
  void run(request_id id, const request&) override {
    if (throws_at_run) throw std::runtime_error("run");
    CHECK(runs.insert(id).second);  // at most one run for each request
    if (needs_calls) dispatcher_under_test.on_dependency_call_needed(id);
  }
  void place_call(request_id id, duration) override { calls.insert(id); }
  void skip_call(request_id id) override { calls.insert(id); }
  void end_waiting_run(request_id id) override {
    CHECK(!calls.contains(id));
    dispatcher_under_test.on_run_ended(id, run_end::never_started, {}, 0s);
  }
  void pause(request_id id) override { paused.insert(id); }
  void resume(request_id) override {}
  bool inquire(request_id id, const request&) override {
    if (throws_at_inquiry) throw std::runtime_error("inquiry");
    inquiries.insert(id);
    return true;
  }

  // Stores the results of the class "write", but not those of the class "read".
  void store_writes_in(idempotency_store& store) {
    dispatcher_under_test.enable_idempotency(store, 0s, std::vector<std::chrono::nanoseconds>{0s, 1h});
  }
  request_id arrive(unsigned request_class = 0, const std::string& key = {}) {
    request details;
    details.key = key;
    details.request_class = request_class;
    details.reserved_kb = 10;
    details.caller = ++last_caller;
    return dispatcher_under_test.on_arrival(*this, *this, std::move(details));
  }
  // Advances the clock and steps the dispatcher every 10 ms.
  void advance(duration elapsed) {
    for (const time_point until = now + elapsed; now < until; now += 10ms)
      dispatcher_under_test.step(now, {});
  }

  bool throws_at_run = false, throws_at_inquiry = false;
  bool needs_calls = false;  // each run waits for a dependency call
  time_point now = 1000s;
  unsigned last_caller = 0;
  telemetry::counters counters;
  std::map<request_id, response_status> answers;
  std::map<request_id, duration> retry_after;
  std::set<request_id> runs, paused, inquiries, calls;
  dispatcher dispatcher_under_test;
};

// A store that grants every key and writes its intents at once.
struct granting_store : idempotency_store {
  explicit granting_store(dispatcher& owner) : observer(owner) {}
  claim_result claim(request_id id, const request&) override {
    claimed.insert(id);
    return {.status = claim_status::primary, .primary = id};
  }
  void write_intent(request_id primary, const request&) override {
    observer.on_intent_written(primary, true);
  }
  bool record_result(request_id primary, bool, std::string_view) override {
    observer.on_result_recorded(primary);
    return true;
  }
  void mark_outcome_unknown(request_id) override {}
  void release_key(request_id primary) override { released.insert(primary); }
  duration schedule_inquiry_retry(request_id) override { return {}; }
  void close_primary(request_id primary) override { closed.insert(primary); }
  void abandon(request_id id) override { abandoned.insert(id); }
  void fetch_result(request_id) override {}

  dispatcher& observer;
  std::set<request_id> claimed, released, closed, abandoned;
};

// A store that throws exceptions where the test says so. Requests with the same key share its first primary.
struct throwing_store : granting_store {
  using granting_store::granting_store;
  claim_result claim(request_id id, const request& details) override {
    if (throws_at_claim) throw std::out_of_range("claim");
    const auto [primary, is_new] = primaries.emplace(details.key, id);
    if (!is_new) return {.status = claim_status::coalesced, .primary = primary->second};
    return granting_store::claim(id, details);
  }
  bool record_result(request_id, bool, std::string_view) override { throw std::runtime_error("record"); }

  bool throws_at_claim = false;
  std::map<std::string, request_id> primaries;
};

// A store that knows no outcome, and asks for it again 100 ms after each reply that does not tell it.
struct inquiring_store : granting_store {
  using granting_store::granting_store;
  claim_result claim(request_id id, const request&) override {
    return {.status = claim_status::inquiry_primary, .primary = id};
  }
  duration schedule_inquiry_retry(request_id) override { return 100ms; }
};

// A store that has the result of each key, and throws an exception when it is to read it.
struct unreadable_store : granting_store {
  using granting_store::granting_store;
  claim_result claim(request_id id, const request&) override {
    return {.status = claim_status::completed, .primary = id};
  }
  void fetch_result(request_id) override { throw std::runtime_error("fetch"); }
};

admission_policy::settings test_settings(unsigned cores = 2) {
  admission_policy::settings settings;
  settings.cores = cores;
  settings.concurrency_ceiling_per_core = 5;
  settings.tick = 1ms;
  settings.halt = admission_policy::halt_mode::pause;
  settings.max_retry_after = 1s;
  settings.drain_grace = 500ms;
  settings.classes.push_back({.name = "read", .latency_objective = 1s, .deadline = 3s});
  settings.classes.push_back({.name = "write",
                              .latency_objective = 1s,
                              .deadline = 3s,
                              .effect = admission_policy::request_effect::unsafe});
  return settings;
}

// The settings of test_settings() with keyed writes.
admission_policy::settings keyed_settings() {
  admission_policy::settings settings = test_settings();
  settings.classes[1].effect = admission_policy::request_effect::keyed;
  settings.classes[1].idempotency_window = 3s;
  return settings;
}

// A run end that is premature, repeated or of an unknown request, and a cancellation after the answer, have
// no effect.
void each_request_gets_one_answer() {
  fixture test(test_settings());
  const request_id id = test.arrive(1);
  test.dispatcher_under_test.on_run_ended(id, run_end::succeeded, "early",
                                          1ms);  // the request was not started yet
  CHECK(test.answers.empty());
  test.advance(10ms);
  CHECK(test.runs.contains(id));
  test.dispatcher_under_test.on_run_ended(id, run_end::succeeded, "x", 5ms);
  test.dispatcher_under_test.on_run_ended(id, run_end::failed, "", 5ms);
  test.dispatcher_under_test.on_run_ended(12345, run_end::succeeded, "", 5ms);
  test.dispatcher_under_test.on_client_cancelled(id);
  test.advance(5s);
  CHECK(test.answers.at(id) == response_status::served && test.dispatcher_under_test.open_requests() == 0 &&
        test.counters.served == 1);
}

// A request that was started is answered `failed` whichever unsuccessful end the backend reports, because
// `rejected` would tell the client that it never ran.
void started_requests_are_never_rejected() {
  fixture test(test_settings());
  for (const run_end end : {run_end::failed, run_end::aborted, run_end::never_started}) {
    const request_id id = test.arrive(1);
    test.advance(10ms);
    test.dispatcher_under_test.on_run_ended(id, end, {}, 5ms);
    test.advance(20ms);
    CHECK(test.answers.at(id) == response_status::failed);
  }
  CHECK(test.dispatcher_under_test.open_requests() == 0);
}

// A request whose run exceeds its latency objective is failed with a retry-after, and the run is stopped.
void requests_past_the_latency_objective_fail_with_retry_after() {
  fixture test(test_settings());
  const request_id id = test.arrive(1);
  test.advance(1050ms);
  CHECK(test.answers.at(id) == response_status::failed && test.paused.contains(id) &&
        test.retry_after.at(id) > 0ns);
  test.dispatcher_under_test.on_run_ended(id, run_end::aborted, {}, 1s);
  CHECK(test.dispatcher_under_test.open_requests() == 0);
}

void cancelled_requests_get_no_answer() {
  fixture test(test_settings(1));
  std::vector<request_id> ids;
  for (int i = 0; i < 8; ++i) ids.push_back(test.arrive());
  test.advance(10ms);
  for (const request_id id : ids) {
    if (!test.answers.contains(id)) test.dispatcher_under_test.on_client_cancelled(id);
  }
  const std::size_t answered = test.answers.size();
  test.advance(5s);
  CHECK(test.answers.size() == answered);
  for (const request_id id : test.runs)
    test.dispatcher_under_test.on_run_ended(id, run_end::aborted, {}, 1ms);
  CHECK(test.dispatcher_under_test.open_requests() == 0);
}

// Guards against a table that grows with the number of requests: every request has a new caller id, and half
// of the clients cancel before their request runs.
void ended_requests_leave_no_memory() {
  fixture test(test_settings());
  const auto serve = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const request_id served = test.arrive(0), cancelled = test.arrive(0);
      test.dispatcher_under_test.on_client_cancelled(cancelled);
      test.advance(10ms);
      test.dispatcher_under_test.on_run_ended(served, run_end::succeeded, "x", 5ms);
      test.answers.clear();
      test.retry_after.clear();
      test.runs.clear();
    }
    test.advance(10s);
    return allocated_blocks;
  };
  const long blocks_after_warm_up = serve(1000);
  CHECK(serve(4000) < blocks_after_warm_up + 500);
}

// Guards against a class whose keys go to the store of another class (review/6): each class has its own
// store, and its own time for a run to end after its deadline. A class without a store has no keys.
void each_class_has_its_own_store() {
  admission_policy::settings settings = test_settings();
  settings.classes.push_back(settings.classes[1]);
  fixture test(settings);
  granting_store disk(test.dispatcher_under_test), memory(test.dispatcher_under_test);
  const std::vector<std::chrono::nanoseconds> disk_windows = {0s, 1h, 0s}, memory_windows = {0s, 0s, 5s};
  test.dispatcher_under_test.enable_idempotency(disk, 10s, disk_windows);
  test.dispatcher_under_test.enable_idempotency(memory, 0s, memory_windows);
  const request_id unkeyed = test.arrive(0, "a"), on_disk = test.arrive(1, "a"),
                   in_memory = test.arrive(2, "a");
  CHECK(disk.claimed == std::set{on_disk} && memory.claimed == std::set{in_memory});
  test.advance(10ms);
  CHECK(test.runs.contains(unkeyed));
  test.dispatcher_under_test.on_run_ended(unkeyed, run_end::succeeded, "x", 5ms);
  test.advance(4s);
  CHECK(test.runs.contains(on_disk) && test.runs.contains(in_memory));
  CHECK(test.paused == std::set{in_memory});
  for (const request_id id : {on_disk, in_memory})
    test.dispatcher_under_test.on_run_ended(id, run_end::succeeded, "x", 4s);
  CHECK(disk.closed == std::set{on_disk} && memory.closed == std::set{in_memory});
  CHECK(test.dispatcher_under_test.open_requests() == 0);
}

// Guards against requests that are never answered, and stay booked, because the handling of their arrival
// threw an exception (review/9): with and without a key.
void arrivals_that_throw_are_answered() {
  admission_policy::settings settings = test_settings();
  settings.memory_kb = 200;  // for twenty requests
  fixture test(settings);
  throwing_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  std::vector<request_id> ids;
  for (int i = 0; i < 100; ++i) {
    store.throws_at_claim = true;
    ids.push_back(test.arrive(1, "a"));
    test.dispatcher_under_test.set_arrival_observer([](const request&) { throw 7; });
    ids.push_back(test.arrive(0));
    test.dispatcher_under_test.set_arrival_observer({});
    test.advance(10ms);
  }
  for (const request_id id : ids) CHECK(test.answers.at(id) == response_status::failed);
  CHECK(test.runs.empty() && test.dispatcher_under_test.open_requests() == 0);
  CHECK(test.counters.internal_errors == 200 && test.counters.failed == 200 &&
        test.counters.received_requests == 200);
  CHECK(store.abandoned.size() == 100);
  store.throws_at_claim = false;
  const request_id keyed = test.arrive(1, "a"), unkeyed = test.arrive(0);
  test.advance(10ms);
  CHECK(test.runs.contains(keyed) && test.runs.contains(unkeyed));
}

// Guards against an answer to a caller that has cancelled its request after the handling of the arrival threw
// an exception.
void cancelled_arrivals_that_throw_get_no_answer() {
  fixture test(test_settings());
  test.dispatcher_under_test.set_arrival_observer([](const request&) { throw std::bad_alloc(); });
  const request_id id = test.arrive(0);
  test.dispatcher_under_test.on_client_cancelled(id);
  test.advance(10ms);
  CHECK(test.answers.empty() && test.dispatcher_under_test.open_requests() == 0);
  CHECK(test.counters.cancelled == 1 && test.counters.failed == 0);
}

// Guards against a group that is never answered because the end of its run threw an exception.
void run_ends_that_throw_are_answered() {
  fixture test(keyed_settings());
  throwing_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  for (int i = 0; i < 100;
       ++i) {  // more than the cores can run, so that the slots of the runs are free again
    const std::string key = std::to_string(i);
    const request_id primary = test.arrive(1, key), duplicate = test.arrive(1, key);
    test.advance(10ms);
    CHECK(test.runs.contains(primary) && !test.runs.contains(duplicate));
    test.dispatcher_under_test.on_run_ended(primary, run_end::succeeded, "x", 5ms);
    CHECK(test.answers.at(primary) == response_status::failed);
    CHECK(test.answers.at(duplicate) == response_status::failed);
    CHECK(store.abandoned.contains(primary));
  }
  CHECK(test.dispatcher_under_test.open_requests() == 0 && test.counters.internal_errors == 100);
}

// Guards against a primary that stays open for ever, and a step that is lost to all other requests, because
// the backend threw an exception when it was asked again for an outcome.
void inquiries_that_throw_are_answered() {
  fixture test(keyed_settings());
  inquiring_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  const request_id id = test.arrive(1, "a");
  test.advance(10ms);
  CHECK(test.inquiries.contains(id) && test.answers.empty());
  test.dispatcher_under_test.on_inquiry_reply(id, inquiry_outcome::unknown, {});
  test.throws_at_inquiry = true;
  test.advance(90ms);
  CHECK(test.answers.empty());
  const request_id unkeyed = test.arrive(0);
  test.advance(50ms);
  CHECK(test.answers.at(id) == response_status::failed && store.abandoned.contains(id));
  CHECK(test.runs.contains(unkeyed) && test.dispatcher_under_test.open_requests() == 1);
  CHECK(test.counters.internal_errors == 1);
}

// Guards against a claim that the store keeps for a request that was answered, because reading its stored
// result threw an exception.
void fetches_that_throw_are_answered() {
  fixture test(keyed_settings());
  unreadable_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  const request_id id = test.arrive(1, "a");
  test.advance(10ms);
  CHECK(test.answers.at(id) == response_status::failed && store.abandoned.contains(id));
  CHECK(test.dispatcher_under_test.open_requests() == 0 && test.counters.internal_errors == 1);
}

// Settings in which a run cannot be stopped, and few dependency calls are permitted at a time.
admission_policy::settings call_settings() {
  admission_policy::settings settings = test_settings(8);
  settings.halt = admission_policy::halt_mode::none;
  settings.fair_concurrent_calls = 6;
  settings.calls_period = 5s;
  settings.classes[0].calls_dependency = true;
  return settings;
}

// Ends all calls and their runs.
void end_calls(fixture& test) {
  for (const request_id id : std::exchange(test.calls, {})) {
    test.dispatcher_under_test.on_dependency_call_ended(id, 10ms);
    test.dispatcher_under_test.on_run_ended(id, run_end::succeeded, "x", 10ms);
  }
  test.advance(10ms);
}

// Guards against runs whose callers have left while the runs waited for their calls: nothing ended them, and
// their memory stayed booked (review/8).
void left_runs_end_without_their_calls() {
  fixture test(call_settings());
  test.needs_calls = true;
  for (int round = 0; round < 20; ++round) {
    test.runs.clear();
    std::vector<request_id> ids;
    for (int i = 0; i < 20; ++i) ids.push_back(test.arrive(0));
    test.advance(10ms);
    CHECK(test.runs.size() > test.calls.size());  // some runs wait for their calls
    for (const request_id id : ids) test.dispatcher_under_test.on_client_cancelled(id);
    end_calls(test);
    CHECK(test.dispatcher_under_test.open_requests() == 0);
  }
}

// Guards against runs that nothing ended after the policy had given them up while they waited for their calls
// (review/8).
void given_up_runs_end_without_their_calls() {
  fixture test(call_settings());
  test.needs_calls = true;
  std::size_t given_up = 0;
  for (int round = 0; round < 20; ++round) {
    test.runs.clear();
    for (int i = 0; i < 20; ++i) test.arrive(0);
    test.advance(5s);  // longer than the deadline
    for (const request_id id : test.runs) given_up += test.calls.contains(id) ? 0 : 1;
    end_calls(test);
    CHECK(test.dispatcher_under_test.open_requests() == 0);
  }
  CHECK(given_up > 0);
}

// Guards against a keyed run that waits for a call and keeps its key, although the policy has closed it and
// places no call.
void given_up_keyed_runs_end_without_their_calls() {
  admission_policy::settings settings = call_settings();
  settings.classes[1] = keyed_settings().classes[1];
  settings.classes[1].calls_dependency = true;
  fixture test(settings);
  test.needs_calls = true;
  granting_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  std::size_t given_up = 0;
  for (int round = 0; round < 20; ++round) {
    test.runs.clear();
    for (int i = 0; i < 20; ++i) test.arrive(1, std::to_string(round) + "." + std::to_string(i));
    test.advance(5s);  // longer than the deadline
    for (const request_id id : test.runs) {
      if (test.calls.contains(id)) continue;
      ++given_up;
      CHECK(store.released.contains(id) && test.answers.contains(id));
    }
    end_calls(test);
    CHECK(test.dispatcher_under_test.open_requests() == 0);
  }
  CHECK(given_up > 0);
}

// Guards against slots and memory that stay taken because a backend threw an exception when it was to start a
// run, or a store when its reply was handled.
void starts_that_throw_are_answered() {
  admission_policy::settings settings = keyed_settings();
  settings.memory_kb = 200;  // for twenty requests
  fixture test(settings);
  granting_store store(test.dispatcher_under_test);
  test.store_writes_in(store);
  test.throws_at_run = true;
  std::vector<request_id> ids;
  for (int i = 0; i < 100; ++i) {
    ids.push_back(test.arrive(0));
    ids.push_back(test.arrive(1, std::to_string(i)));
    test.advance(10ms);
  }
  for (const request_id id : ids) CHECK(test.answers.at(id) == response_status::failed);
  CHECK(test.dispatcher_under_test.open_requests() == 0 && test.counters.internal_errors == 200);
  CHECK(store.abandoned.size() == 100);
  test.throws_at_run = false;
  const request_id unkeyed = test.arrive(0), keyed = test.arrive(1, "after");
  test.advance(10ms);
  CHECK(test.runs.contains(unkeyed) && test.runs.contains(keyed));
}

// After a shutdown notice every request is answered before the process is killed, and requests that arrive
// after the grace period are rejected without a run.
void requests_are_answered_after_a_shutdown_notice() {
  fixture test(test_settings(1));
  std::vector<request_id> before_notice, after_grace;
  before_notice.push_back(test.arrive(1));
  test.advance(10ms);
  test.dispatcher_under_test.on_shutdown_notice(3s);
  test.advance(600ms);
  for (int i = 0; i < 5; ++i) after_grace.push_back(test.arrive());
  test.advance(2300ms);
  for (const request_id id : before_notice) CHECK(test.answers.contains(id));
  for (const request_id id : after_grace)
    CHECK(test.answers.at(id) == response_status::rejected && !test.runs.contains(id));
  CHECK(!test.dispatcher_under_test.healthy());
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"one_answer", each_request_gets_one_answer},
      {"never_rejected_after_start", started_requests_are_never_rejected},
      {"retry_after", requests_past_the_latency_objective_fail_with_retry_after},
      {"cancelled", cancelled_requests_get_no_answer},
      {"shutdown_notice", requests_are_answered_after_a_shutdown_notice},
      {"stores_by_class", each_class_has_its_own_store},
      {"throwing_arrival", arrivals_that_throw_are_answered},
      {"throwing_arrival_cancelled", cancelled_arrivals_that_throw_get_no_answer},
      {"throwing_start", starts_that_throw_are_answered},
      {"throwing_run_end", run_ends_that_throw_are_answered},
      {"throwing_inquiry", inquiries_that_throw_are_answered},
      {"throwing_fetch", fetches_that_throw_are_answered},
      {"left_calls", left_runs_end_without_their_calls},
      {"given_up_calls", given_up_runs_end_without_their_calls},
      {"given_up_keyed_calls", given_up_keyed_runs_end_without_their_calls},
      {"bounded_memory", ended_requests_leave_no_memory}};
  tests.at(argv[1])();
  return 0;
}
