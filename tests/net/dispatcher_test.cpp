// The dispatcher between a front and a backend that keep to no protocol.
#include "core/dispatcher.hpp"

#include <cstdlib>
#include <map>
#include <new>
#include <set>

#include "harness.hpp"

// Counts what is allocated and not given back.
static long allocated = 0;
void* operator new(std::size_t size) {
  ++allocated;
  void* p = std::malloc(size);
  if (p == nullptr) throw std::bad_alloc();
  return p;
}
void operator delete(void* p) noexcept {
  allocated -= p != nullptr;
  std::free(p);
}
void operator delete(void* p, std::size_t) noexcept {
  operator delete(p);
}

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

struct fixture : front, backend {
  explicit fixture(admission_policy::settings s) : dispatch(s, 1, now, counters) {
    dispatch.add(*this);
    dispatch.on_server_up(false, now);
    dispatch.step(now, {});
  }
  void respond(request_id id, const answer& final) override {
    CHECK(answers.emplace(id, final.status).second);  // one final answer each
    advice[id] = final.retry_after;
  }
  void close_idle(duration) override {}
  void run(request_id id, const request&) override { CHECK(runs.insert(id).second); }  // at most once
  void pause(request_id id) override { paused.insert(id); }
  void resume(request_id) override {}

  request_id arrive(unsigned request_class = 0) {
    request r;
    r.request_class = request_class;
    r.reserved_kb = 10;
    r.caller = ++last_caller;
    return dispatch.on_arrival(*this, *this, std::move(r));
  }
  void pass(duration d) {
    for (const time_point until = now + d; now < until; now += 10ms) dispatch.step(now, {});
  }

  time_point now = 1000s;
  unsigned last_caller = 0;
  telemetry::counters counters;
  std::map<request_id, response_status> answers;
  std::map<request_id, duration> advice;
  std::set<request_id> runs, paused;
  dispatcher dispatch;
};

admission_policy::settings usual(unsigned cores = 2) {
  admission_policy::settings s;
  s.cores = cores;
  s.concurrency_ceiling_per_core = 5;
  s.tick = 1ms;
  s.halt = admission_policy::halt_mode::pause;
  s.max_retry_after = 1s;
  s.drain_grace = 500ms;
  s.classes.push_back({.name = "read", .latency_objective = 1s, .deadline = 3s});
  s.classes.push_back({.name = "write",
                       .latency_objective = 1s,
                       .deadline = 3s,
                       .effect = admission_policy::request_effect::unsafe});
  return s;
}

void ends_count_once() {
  fixture r(usual());
  const request_id id = r.arrive(1);
  r.dispatch.on_end(id, run_end::succeeded, "early", 1ms);  // of what never started
  CHECK(r.answers.empty());
  r.pass(10ms);
  CHECK(r.runs.contains(id));
  r.dispatch.on_end(id, run_end::succeeded, "x", 5ms);
  r.dispatch.on_end(id, run_end::failed, "", 5ms);
  r.dispatch.on_end(12345, run_end::succeeded, "", 5ms);
  r.dispatch.on_client_cancelled(id);
  r.pass(5s);
  CHECK(r.answers.at(id) == response_status::served && r.dispatch.open() == 0 && r.counters.served == 1);
}

void started_requests_are_never_rejected() {
  fixture r(usual());
  for (const run_end how : {run_end::failed, run_end::aborted, run_end::never_started}) {
    const request_id id = r.arrive(1);
    r.pass(10ms);
    r.dispatch.on_end(id, how, {}, 5ms);
    r.pass(20ms);
    CHECK(r.answers.at(id) == response_status::failed);
  }
  CHECK(r.dispatch.open() == 0);
}

// A run past its latency objective is failed then, with a retry-after, and stopped.
void failed_requests_get_a_retry_after() {
  fixture r(usual());
  const request_id id = r.arrive(1);
  r.pass(1050ms);
  CHECK(r.answers.at(id) == response_status::failed && r.paused.contains(id) && r.advice.at(id) > 0ns);
  r.dispatch.on_end(id, run_end::aborted, {}, 1s);
  CHECK(r.dispatch.open() == 0);
}

void cancelled_requests_get_no_answer() {
  fixture r(usual(1));
  std::vector<request_id> ids;
  for (int i = 0; i < 8; ++i) ids.push_back(r.arrive());
  r.pass(10ms);
  for (const request_id id : ids) {
    if (!r.answers.contains(id)) r.dispatch.on_client_cancelled(id);
  }
  const std::size_t answered = r.answers.size();
  r.pass(5s);
  CHECK(r.answers.size() == answered);
  for (const request_id id : r.runs) r.dispatch.on_end(id, run_end::aborted, {}, 1ms);
  CHECK(r.dispatch.open() == 0);
}

// No table grows with the number of requests served: caller ids are ever new, and some clients cancel before
// their request runs.
void ended_requests_leave_no_memory() {
  fixture r(usual());
  const auto serve = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const request_id runs = r.arrive(0), leaves = r.arrive(0);
      r.dispatch.on_client_cancelled(leaves);
      r.pass(10ms);
      r.dispatch.on_end(runs, run_end::succeeded, "x", 5ms);
      r.answers.clear();
      r.advice.clear();
      r.runs.clear();
    }
    r.pass(10s);
    return allocated;
  };
  const long before = serve(1000);
  CHECK(serve(4000) < before + 500);
}

// Every request that arrives during a drain is answered before the stop, and none starts that arrived after
// the grace period.
void drain_answers_every_request() {
  fixture r(usual(1));
  std::vector<request_id> early, late;
  early.push_back(r.arrive(1));
  r.pass(10ms);
  r.dispatch.on_shutdown_notice(3s);
  r.pass(600ms);
  for (int i = 0; i < 5; ++i) late.push_back(r.arrive());
  r.pass(2300ms);
  for (const request_id id : early) CHECK(r.answers.contains(id));
  for (const request_id id : late)
    CHECK(r.answers.at(id) == response_status::rejected && !r.runs.contains(id));
  CHECK(!r.dispatch.healthy());
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"one_answer", ends_count_once},
      {"never_rejected_after_start", started_requests_are_never_rejected},
      {"retry_after", failed_requests_get_a_retry_after},
      {"cancelled", cancelled_requests_get_no_answer},
      {"drain", drain_answers_every_request},
      {"bounded_memory", ended_requests_leave_no_memory}};
  tests.at(argv[1])();
  return 0;
}
