// Tests of keys that two processes of a node share: two in-memory idempotency services over one log, with
// simulated time.
#include "idempotency/shared_keys.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "../check.hpp"
#include "idempotency/memory_service.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

constexpr duration window = 1500ms;
constexpr duration longest_wait = 4s;
constexpr time_point start = 10s;

struct folder {
  folder() {
    char name[] = "/tmp/marblewharf-shared-keys-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    path = name;
  }
  ~folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// Records the replies to the dispatcher.
struct recording_observer : idempotency_observer {
  void on_intent_written(request_id primary, bool durable) override { intents[primary] = durable; }
  void on_result_recorded(request_id) override {}
  void on_result_fetched(request_id id, const fetched_result& fetched) override {
    outcomes[id] = fetched.outcome;
    results[id] = fetched.bytes;
  }
  std::map<request_id, bool> intents;
  std::map<request_id, fetch_outcome> outcomes;
  std::map<request_id, std::string> results;
};

store::shared_log_options log_options(const folder& at, store::log_member member) {
  return {.folder = at.path,
          .max_bytes = 32 << 10,
          .segment_bytes = 1024,
          .max_lifetime = (window + longest_wait).count(),
          .member = member,
          .salt = member};
}

// The service of one process.
struct process {
  process(const folder& at, store::log_member member) {
    auto log = std::make_unique<store::shared_log>(log_options(at, member), start.count());
    idempotency::memory_service_options options{
        .windows = {window}, .longest_wait = longest_wait, .memory = 64 << 10, .salt = log->salt()};
    options.classes = {"write"};
    options.tenants = {"tenant"};
    service.emplace(std::move(options), counters,
                    std::make_unique<idempotency::shared_keys>(std::move(log), start), start);
    service->set_observer(observer);
  }
  static request attempt(const std::string& key, time_point arrival) {
    request details;
    details.key = key;
    details.arrival_time = arrival;
    return details;
  }
  claim_status arrive(request_id id, const std::string& key, time_point arrival = start) {
    return service->claim(id, attempt(key, arrival)).status;
  }
  // Returns whether the request may run.
  bool intend(request_id id, const std::string& key, time_point arrival = start) {
    service->write_intent(id, attempt(key, arrival));
    service->step(arrival);
    return observer.intents.at(id);
  }
  void begin(request_id id, const std::string& key, time_point arrival = start) {
    CHECK(arrive(id, key, arrival) == claim_status::primary);
    CHECK(intend(id, key, arrival));
  }
  void complete(request_id id, bool succeeded, const std::string& result, time_point now = start) {
    CHECK(service->record_result(id, succeeded, result));
    service->step(now);
    service->close_primary(id);
  }
  // Asks for the result that the request waits for; returns nothing while it has to wait.
  std::optional<fetch_outcome> fetch(request_id id, time_point now = start) {
    service->fetch_result(id);
    return outcome(id, now);
  }
  std::optional<fetch_outcome> outcome(request_id id, time_point now = start) {
    service->step(now);
    const auto found = observer.outcomes.find(id);
    if (found == observer.outcomes.end()) return std::nullopt;
    return found->second;
  }

  telemetry::counters counters;
  recording_observer observer;
  std::optional<idempotency::memory_service> service;
};

// Guards against a second run in another process: a repeat waits for the run and gets its result, whichever
// of the processes ran it.
void repeat_shares_the_run_of_another_process() {
  const folder at;
  process first(at, 1), second(at, 2);
  first.begin(1, "a");
  CHECK(second.arrive(11, "a") == claim_status::completed);
  CHECK(!second.fetch(11) && second.service->due() < time_point::max());
  first.complete(1, true, "result");
  CHECK(second.outcome(11) == fetch_outcome::succeeded && second.observer.results.at(11) == "result");
  CHECK(second.service->due() == time_point::max());
  second.begin(12, "b");
  second.complete(12, false, "");
  CHECK(first.arrive(2, "b") == claim_status::completed);
  CHECK(first.fetch(2) == fetch_outcome::run_failed);
}

// Guards against a second run of a key whose handling failed with an exception: one that has not run is free,
// the outcome of one that runs is unknown in all processes, and an intent that was not published is not.
void abandoned_keys_do_not_run_twice() {
  const folder at;
  process first(at, 1), second(at, 2);
  CHECK(first.arrive(1, "queued") == claim_status::primary);
  first.service->abandon(1);
  CHECK(first.arrive(2, "queued") == claim_status::primary);
  first.begin(3, "running");
  first.service->abandon(3);
  first.service->step(start);
  CHECK(first.arrive(4, "running") == claim_status::outcome_unknown);
  CHECK(second.arrive(11, "running") == claim_status::outcome_unknown);
  CHECK(first.arrive(5, "unpublished") == claim_status::primary);
  first.service->write_intent(5, process::attempt("unpublished", start));
  first.service->abandon(5);
  first.service->step(start);
  CHECK(!first.observer.intents.contains(5));
  CHECK(second.arrive(12, "unpublished") == claim_status::primary);
}

// Guards against two runs of a key that both processes had queued: the one that publishes its intent first
// runs, the other one does not.
void one_of_two_queued_attempts_runs() {
  const folder at;
  process first(at, 1), second(at, 2);
  CHECK(first.arrive(1, "a") == claim_status::primary && second.arrive(11, "a") == claim_status::primary);
  CHECK(second.intend(11, "a"));
  CHECK(!first.intend(1, "a"));
  first.service->close_primary(1);
  CHECK(first.arrive(2, "a") == claim_status::completed);  // the key is free here, and runs there
  CHECK(!first.fetch(2));
  second.complete(11, true, "x");
  CHECK(first.outcome(2) == fetch_outcome::succeeded);
}

// Guards against an outcome that is concluded from silence: without a result, the end of a process leaves the
// outcome of its runs unknown; its last result counts although it ended right afterwards.
void outcome_is_unknown_without_an_event() {
  const folder at;
  process second(at, 2);
  {
    process first(at, 1);
    first.begin(1, "open");
    first.begin(2, "closed");
    CHECK(second.arrive(11, "open") == claim_status::completed && !second.fetch(11));
    CHECK(second.arrive(12, "closed") == claim_status::completed && !second.fetch(12));
    first.complete(2, true, "last");
  }
  constexpr time_point later = start + 20ms;  // whether a process lives is checked at intervals
  CHECK(second.outcome(11, later) == fetch_outcome::outcome_unknown);
  CHECK(second.outcome(12, later) == fetch_outcome::succeeded);
  CHECK(second.arrive(13, "open") == claim_status::outcome_unknown);
  CHECK(second.arrive(14, "closed") == claim_status::completed);
  CHECK(second.counters.duplicates_of_unknown_outcome == 1);
}

// Guards against a repeat that is answered as if its run were open or unknown after the process has published
// more.
void later_events_settle_the_outcome() {
  const folder at;
  process first(at, 1), second(at, 2);
  first.begin(1, "stopped");
  first.service->mark_outcome_unknown(1);
  first.service->step(start);
  CHECK(second.arrive(11, "stopped") == claim_status::outcome_unknown);
  first.complete(1, true, "late");
  CHECK(second.arrive(12, "stopped") == claim_status::completed);
  CHECK(second.fetch(12) == fetch_outcome::succeeded && second.observer.results.at(12) == "late");
  first.begin(2, "released");
  CHECK(second.arrive(13, "released") == claim_status::completed && !second.fetch(13));
  first.service->release_key(2);
  first.service->close_primary(2);
  first.service->step(start);
  CHECK(second.outcome(13) == fetch_outcome::never_ran);
  second.begin(14, "released");
}

// Guards against keys that are remembered too short or for ever: the window is counted between arrivals.
void window_is_the_same_in_all_processes() {
  const folder at;
  process first(at, 1), second(at, 2);
  first.begin(1, "a");
  first.complete(1, true, "x");
  CHECK(second.arrive(11, "a", start + window - 1ms) == claim_status::completed);
  CHECK(second.arrive(12, "a", start + window) == claim_status::primary);
  CHECK(second.intend(12, "a", start + window));
  const time_point expired = start + 2 * window + longest_wait + 200ms;
  second.complete(12, true, "y", expired);
  second.service->step(expired);
  CHECK(first.arrive(2, "a", expired) == claim_status::primary);
}

// Guards against a run that other processes would not know of, because the log is full or another process
// has the lock and is suspended.
void nothing_runs_unpublished() {
  const folder at;
  process first(at, 1);
  store::shared_log suspended(log_options(at, 9), start.count());
  CHECK(first.arrive(1, "a") == claim_status::primary);
  first.service->write_intent(1, process::attempt("a", start));
  {
    const auto held = suspended.try_lock(start.count());
    first.service->step(start);
    CHECK(!first.observer.intents.contains(1));  // the lock is tried again
    first.service->step(start + 100ms);
    CHECK(!first.observer.intents.at(1));
  }
  first.service->close_primary(1);
  first.begin(2, "a", start + 100ms);
  {
    const auto lock = suspended.try_lock(start.count());
    while (suspended.append(*lock, {{(start + window).count(), std::string(500, 'x')}})) {
    }
  }
  CHECK(first.arrive(3, "b", start + 100ms) ==
        claim_status::primary);  // the other process has filled the log
  CHECK(!first.intend(3, "b", start + 100ms));
  first.service->close_primary(3);
  CHECK(first.arrive(4, "b", start + 100ms) == claim_status::no_capacity);
}

// Guards against a process that joins late and knows only what is published afterwards.
void joining_process_knows_earlier_keys() {
  const folder at;
  std::optional<process> first(std::in_place, at, 1);
  first->begin(1, "done");
  first->complete(1, true, "x");
  first->begin(2, "open");
  process second(at, 2);
  CHECK(second.arrive(11, "done") == claim_status::completed && second.fetch(11) == fetch_outcome::succeeded);
  CHECK(second.arrive(12, "open") == claim_status::completed && !second.fetch(12));
  first.reset();
  process third(at, 3);
  CHECK(third.arrive(21, "done") == claim_status::completed && third.fetch(21) == fetch_outcome::succeeded);
  CHECK(third.arrive(22, "open") == claim_status::outcome_unknown);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"repeat", repeat_shares_the_run_of_another_process},
      {"abandoned", abandoned_keys_do_not_run_twice},
      {"queued_in_both", one_of_two_queued_attempts_runs},
      {"silence", outcome_is_unknown_without_an_event},
      {"later_events", later_events_settle_the_outcome},
      {"window", window_is_the_same_in_all_processes},
      {"unpublished", nothing_runs_unpublished},
      {"joining", joining_process_knows_earlier_keys},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
