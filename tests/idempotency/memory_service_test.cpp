// The idempotency table in memory: its bounds, and what it forgets when. Time is handed in.
#include "idempotency/memory_service.hpp"

#include <map>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

// Notes what the dispatcher would hear.
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
                 .open = 8},
                counters) {
    service.set_observer(events);
  }
  claim_status arrive(request_id id, const std::string& key, time_point at, std::uint64_t fingerprint = 1) {
    request r;
    r.fingerprint = fingerprint;
    r.request_class = 1;
    r.key = key;
    r.arrived = at;
    return service.claim(id, r).status;
  }
  // A first try from its arrival to its result.
  void run(request_id id, const std::string& key, time_point at, const std::string& result) {
    CHECK(arrive(id, key, at) == claim_status::primary);
    service.write_intent(id, {});
    service.step(at);
    CHECK(events.intended.back() == id);
    CHECK(service.record_result(id, true, result));
    service.step(at);
    CHECK(events.recorded.back() == id);
    service.close_primary(id);
  }

  telemetry::counters counters;
  recording_observer events;
  idempotency::memory_service service;
};

// However many keys come, results stay within the memory; what finds no room is refused, and there is room
// again once the first have aged.
void results_stay_within_the_memory() {
  fixture t;
  const std::string result(4096, 'x');
  request_id id = 0;
  time_point now = 10s;
  std::size_t kept = 0;
  const auto arrives = [&] {
    ++id;
    return t.arrive(id, std::to_string(id), now);
  };
  while (arrives() == claim_status::primary) {
    CHECK(++kept < 100);
    t.service.write_intent(id, {});
    t.service.step(now);
    CHECK(t.service.record_result(id, true, result));
    t.service.step(now);
    t.service.close_primary(id);
    CHECK(t.service.bytes() <= memory);
  }
  CHECK(kept >= 10 && t.counters.no_room == 1);
  now += 1500ms + 4s + 200ms;
  t.service.step(now);
  CHECK(t.service.bytes() == 0 && t.service.known().size() == 0);
  t.run(++id, "again", now, result);
}

// So many are open at once, from their arrival to their result.
void open_keys_are_bounded() {
  fixture t;
  for (request_id id = 1; id <= 8; ++id)
    CHECK(t.arrive(id, std::to_string(id), 10s) == claim_status::primary);
  CHECK(t.arrive(9, "9", 10s) == claim_status::no_capacity);
  t.service.release_key(1);  // never ran
  t.service.close_primary(1);
  CHECK(t.arrive(10, "9", 10s) == claim_status::primary);
}

// The window opens and ends by arrivals, whenever a try is read; a key that comes anew has its new result.
void window_is_counted_from_arrivals() {
  fixture t;
  t.run(1, "a", 10s, "first");
  t.service.step(13s);
  CHECK(t.arrive(2, "a", 11400ms) == claim_status::completed);  // came in time, read late
  t.service.fetch_result(2);
  t.service.step(13s);
  CHECK(t.events.fetched.at(2) == "first");
  t.run(3, "a", 11600ms, "second");
  CHECK(t.arrive(4, "a", 13s) == claim_status::completed);
  t.service.fetch_result(4);
  t.service.step(15600ms);  // the first result's time is up, not the second's
  CHECK(t.events.fetched.at(4) == "second");
  CHECK(t.arrive(5, "a", 13050ms) == claim_status::completed);
  t.service.step(30s);  // nobody fetched it: its caller had left
  CHECK(t.service.bytes() == 0);
}

// A run that was stopped: its outcome is unknown, and no repeat runs.
void stopped_run_leaves_its_outcome_unknown() {
  fixture t;
  CHECK(t.arrive(1, "a", 10s) == claim_status::primary);
  t.service.write_intent(1, {});
  t.service.step(10s);
  CHECK(t.arrive(2, "a", 10s) == claim_status::coalesced);
  t.service.mark_outcome_unknown(1);
  t.service.close_primary(1);
  CHECK(t.arrive(3, "a", 11s) == claim_status::outcome_unknown);
  CHECK(t.arrive(4, "a", 12s) == claim_status::primary);  // past the window
}

// Somebody else's key with other content, before the one whose key it is and behind it: each for itself.
void other_content_under_the_same_key_is_another_key() {
  fixture t;
  CHECK(t.arrive(1, "a", 10s, 99) == claim_status::primary);
  CHECK(t.arrive(2, "a", 10s, 1) == claim_status::primary);
  CHECK(t.arrive(3, "a", 10s, 1) == claim_status::coalesced);
  t.service.release_key(1);  // the backend knows no such request
  t.service.close_primary(1);
  t.service.write_intent(2, {});
  t.service.step(10s);
  CHECK(t.service.record_result(2, true, "result"));
  t.service.step(10s);
  CHECK(t.arrive(4, "a", 10s, 99) == claim_status::primary);
  CHECK(t.arrive(5, "a", 10s, 1) == claim_status::completed);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"bounded", results_stay_within_the_memory},
      {"bounded_open", open_keys_are_bounded},
      {"window", window_is_counted_from_arrivals},
      {"outcome_unknown", stopped_run_leaves_its_outcome_unknown},
      {"foreign_keys", other_content_under_the_same_key_is_another_key}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
