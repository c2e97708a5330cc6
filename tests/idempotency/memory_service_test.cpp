// The idempotency table in memory: its bounds, and what it forgets when. Time is handed in.
#include "idempotency/memory_service.hpp"

#include <map>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;
using standing = idempotency_store::standing;

namespace {

// Notes what the dispatcher would hear.
struct heard : idempotency_observer {
  void on_intended(request_id leader, bool durable) override {
    CHECK(durable);
    intended.push_back(leader);
  }
  void on_recorded(request_id leader) override { recorded.push_back(leader); }
  void on_fetched(request_id id, bool found, bool served, std::string_view result) override {
    CHECK(found && served);
    fetched[id] = result;
  }
  std::vector<request_id> intended, recorded;
  std::map<request_id, std::string> fetched;
};

constexpr std::size_t memory = 64 << 10;

struct table {
  table()
      : book({.windows = {0s, 1500ms},
              .longest_wait = 4s,
              .memory = memory,
              .largest_result = 4096,
              .open = 8},
             counters) {
    book.report_to(events);
  }
  standing arrive(request_id id, const std::string& key, time_point at, std::uint64_t content = 1) {
    request r;
    r.content = content;
    r.request_class = 1;
    r.key = key;
    r.arrived = at;
    return book.arrive(id, r).how;
  }
  // A first try from its arrival to its result.
  void run(request_id id, const std::string& key, time_point at, const std::string& result) {
    CHECK(arrive(id, key, at) == standing::first);
    book.intend(id, {});
    book.step(at);
    CHECK(events.intended.back() == id);
    CHECK(book.record(id, true, result));
    book.step(at);
    CHECK(events.recorded.back() == id);
    book.close(id);
  }

  telemetry::counters counters;
  heard events;
  idempotency::memory_service book;
};

// However many keys come, results stay within the memory; what finds no room is refused, and there is room
// again once the first have aged.
void bounded() {
  table t;
  const std::string result(4096, 'x');
  request_id id = 0;
  time_point now = 10s;
  std::size_t kept = 0;
  const auto arrives = [&] {
    ++id;
    return t.arrive(id, std::to_string(id), now);
  };
  while (arrives() == standing::first) {
    CHECK(++kept < 100);
    t.book.intend(id, {});
    t.book.step(now);
    CHECK(t.book.record(id, true, result));
    t.book.step(now);
    t.book.close(id);
    CHECK(t.book.bytes() <= memory);
  }
  CHECK(kept >= 10 && t.counters.no_room == 1);
  now += 1500ms + 4s + 200ms;
  t.book.step(now);
  CHECK(t.book.bytes() == 0 && t.book.known().size() == 0);
  t.run(++id, "again", now, result);
}

// So many are open at once, from their arrival to their result.
void bounded_open() {
  table t;
  for (request_id id = 1; id <= 8; ++id) CHECK(t.arrive(id, std::to_string(id), 10s) == standing::first);
  CHECK(t.arrive(9, "9", 10s) == standing::no_room);
  t.book.release(1);  // never ran
  t.book.close(1);
  CHECK(t.arrive(10, "9", 10s) == standing::first);
}

// The window opens and ends by arrivals, whenever a try is read; a key that comes anew has its new result.
void window() {
  table t;
  t.run(1, "a", 10s, "first");
  t.book.step(13s);
  CHECK(t.arrive(2, "a", 11400ms) == standing::answered);  // came in time, read late
  t.book.fetch(2);
  t.book.step(13s);
  CHECK(t.events.fetched.at(2) == "first");
  t.run(3, "a", 11600ms, "second");
  CHECK(t.arrive(4, "a", 13s) == standing::answered);
  t.book.fetch(4);
  t.book.step(15600ms);  // the first result's time is up, not the second's
  CHECK(t.events.fetched.at(4) == "second");
  CHECK(t.arrive(5, "a", 13050ms) == standing::answered);
  t.book.step(30s);  // nobody fetched it: its caller had left
  CHECK(t.book.bytes() == 0);
}

// A run that was stopped: its outcome is unknown, and no repeat runs.
void in_doubt() {
  table t;
  CHECK(t.arrive(1, "a", 10s) == standing::first);
  t.book.intend(1, {});
  t.book.step(10s);
  CHECK(t.arrive(2, "a", 10s) == standing::joins);
  t.book.doubt(1);
  t.book.close(1);
  CHECK(t.arrive(3, "a", 11s) == standing::in_doubt);
  CHECK(t.arrive(4, "a", 12s) == standing::first);  // past the window
}

// Somebody else's key with other content, before the one whose key it is and behind it: each for itself.
void taken_keys() {
  table t;
  CHECK(t.arrive(1, "a", 10s, 99) == standing::first);
  CHECK(t.arrive(2, "a", 10s, 1) == standing::first);
  CHECK(t.arrive(3, "a", 10s, 1) == standing::joins);
  t.book.release(1);  // the backend knows no such request
  t.book.close(1);
  t.book.intend(2, {});
  t.book.step(10s);
  CHECK(t.book.record(2, true, "result"));
  t.book.step(10s);
  CHECK(t.arrive(4, "a", 10s, 99) == standing::first);
  CHECK(t.arrive(5, "a", 10s, 1) == standing::answered);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"bounded", bounded},
                                                   {"bounded_open", bounded_open},
                                                   {"window", window},
                                                   {"in_doubt", in_doubt},
                                                   {"taken_keys", taken_keys}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
