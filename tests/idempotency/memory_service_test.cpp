// Tests the bounds of the in-memory idempotency service and the expiry of its keys, with simulated time.
#include "idempotency/memory_service.hpp"

#include <map>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

// Records the replies to the dispatcher.
struct recording_observer : idempotency_observer {
  void on_intent_written(request_id primary, bool durable) override {
    CHECK(durable);
    intended.push_back(primary);
  }
  void on_result_recorded(request_id primary) override { recorded.push_back(primary); }
  void on_result_fetched(request_id id, const fetched_result& result) override {
    CHECK(result.outcome == fetch_outcome::succeeded);
    fetched[id] = result.bytes;
  }
  std::vector<request_id> intended, recorded;
  std::map<request_id, std::string> fetched;
};

constexpr std::size_t memory = 64 << 10;

struct fixture {
  fixture()
      : service({.windows = {0s, 1500ms},
                 .longest_wait = 4s,
                 .memory = memory,
                 .largest_result = 4096,
                 .max_open_keys = 8,
                 .classes = {"read", "write"},
                 .tenants = {"tenant"}},
                counters) {
    service.set_observer(observer);
  }
  claim_status arrive(request_id id, const std::string& key, time_point arrival,
                      std::uint64_t fingerprint = 1) {
    request r;
    r.fingerprint = fingerprint;
    r.request_class = 1;
    r.key = key;
    r.arrival_time = arrival;
    return service.claim(id, r).status;
  }
  // Executes a first request from its arrival to its result.
  void run(request_id id, const std::string& key, time_point arrival, const std::string& result) {
    CHECK(arrive(id, key, arrival) == claim_status::primary);
    service.write_intent(id, {});
    service.step(arrival);
    CHECK(observer.intended.back() == id);
    CHECK(service.record_result(id, true, result));
    service.step(arrival);
    CHECK(observer.recorded.back() == id);
    service.close_primary(id);
  }

  telemetry::counters counters;
  recording_observer observer;
  idempotency::memory_service service;
};

// Guards against unbounded memory use: when the memory is full, new keys are rejected. New keys are accepted
// again once the first ones have expired.
void results_stay_within_the_memory() {
  fixture f;
  const std::string result(4096, 'x');
  request_id id = 0;
  time_point now = 10s;
  std::size_t recorded = 0;
  const auto arrive_next = [&] {
    ++id;
    return f.arrive(id, std::to_string(id), now);
  };
  while (arrive_next() == claim_status::primary) {
    CHECK(++recorded < 100);
    f.service.write_intent(id, {});
    f.service.step(now);
    CHECK(f.service.record_result(id, true, result));
    f.service.step(now);
    f.service.close_primary(id);
    CHECK(f.service.bytes() <= memory);
  }
  CHECK(recorded >= 10 && f.counters.rejected_for_key_capacity == 1);
  now += 1500ms + 4s + 200ms;
  f.service.step(now);
  CHECK(f.service.bytes() == 0 && f.service.table().size() == 0);
  f.run(++id, "again", now, result);
}

// The number of open keys is bounded; a key is open from the arrival of its request to its result.
void open_keys_are_bounded() {
  fixture f;
  for (request_id id = 1; id <= 8; ++id)
    CHECK(f.arrive(id, std::to_string(id), 10s) == claim_status::primary);
  CHECK(f.arrive(9, "9", 10s) == claim_status::no_capacity);
  f.service.release_key(1);  // its request never ran
  f.service.close_primary(1);
  CHECK(f.arrive(10, "9", 10s) == claim_status::primary);
}

// The window is measured between arrivals, even if a request is read late. A key that is claimed again after
// its window gets the new result.
void window_is_counted_from_arrivals() {
  fixture f;
  f.run(1, "a", 10s, "first");
  f.service.step(13s);
  CHECK(f.arrive(2, "a", 11400ms) == claim_status::completed);  // arrived within the window, read after it
  f.service.fetch_result(2);
  f.service.step(13s);
  CHECK(f.observer.fetched.at(2) == "first");
  f.run(3, "a", 11600ms, "second");
  CHECK(f.arrive(4, "a", 13s) == claim_status::completed);
  f.service.fetch_result(4);
  f.service.step(15600ms);  // the first result has expired, the second has not
  CHECK(f.observer.fetched.at(4) == "second");
  CHECK(f.arrive(5, "a", 13050ms) == claim_status::completed);
  f.service.step(30s);  // the result was never fetched, because its caller had left
  CHECK(f.service.bytes() == 0);
}

// The outcome of a stopped run is unknown: duplicates within the window must not run.
void stopped_run_leaves_its_outcome_unknown() {
  fixture f;
  CHECK(f.arrive(1, "a", 10s) == claim_status::primary);
  f.service.write_intent(1, {});
  f.service.step(10s);
  CHECK(f.arrive(2, "a", 10s) == claim_status::coalesced);
  f.service.mark_outcome_unknown(1);
  f.service.close_primary(1);
  CHECK(f.arrive(3, "a", 11s) == claim_status::outcome_unknown);
  CHECK(f.arrive(4, "a", 12s) == claim_status::primary);  // past the window
}

// Requests with the same key and different content are independent, in either order: neither may block or
// answer the other.
void other_content_under_the_same_key_is_another_key() {
  fixture f;
  CHECK(f.arrive(1, "a", 10s, 99) == claim_status::primary);
  CHECK(f.arrive(2, "a", 10s, 1) == claim_status::primary);
  CHECK(f.arrive(3, "a", 10s, 1) == claim_status::coalesced);
  f.service.release_key(1);  // the backend reports that it never ran
  f.service.close_primary(1);
  f.service.write_intent(2, {});
  f.service.step(10s);
  CHECK(f.service.record_result(2, true, "result"));
  f.service.step(10s);
  CHECK(f.arrive(4, "a", 10s, 99) == claim_status::primary);
  CHECK(f.arrive(5, "a", 10s, 1) == claim_status::completed);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"bounded_memory", results_stay_within_the_memory},
      {"bounded_open_keys", open_keys_are_bounded},
      {"window", window_is_counted_from_arrivals},
      {"outcome_unknown", stopped_run_leaves_its_outcome_unknown},
      {"different_content", other_content_under_the_same_key_is_another_key}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
