// When background work runs (ctest -L scheduler): decisions under rapidcheck, the pool's threads, and the
// scrubbing of a folder whose bytes a disk changes.
#include "scheduler/scheduler.hpp"

#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "../check.hpp"
#include "scheduler/headroom_meter.hpp"
#include "scheduler/pool.hpp"
#include "store/log.hpp"
#include "store/scrub.hpp"

namespace sched = marblewharf::scheduler;
namespace store = marblewharf::store;
using namespace std::chrono_literals;

namespace {

// Any jobs, headroom and costs: over any span the slices use no more of a budget than its rate, burst and the
// slices that ran when it was emptied; never two of one job at once; without headroom only urgent jobs run.
void within_budgets() {
  CHECK(rc::check("budgets over any span", [] {
    sched::options o;
    o.workers = static_cast<unsigned>(*rc::gen::inRange(1, 4));
    o.budget = {*rc::gen::inRange(1, 10) / 10.0, *rc::gen::inRange(1, 50) * 1000.0, 0};
    o.burst = 100ms;
    o.urgent = 0.5;
    sched::scheduler s(o, 0ns);
    const int n = *rc::gen::inRange(1, 5);
    std::map<sched::job_id, sched::rates> own;
    for (int i = 0; i < n; ++i) {
      sched::job_rules r;
      r.name = std::to_string(i);
      r.priority = *rc::gen::inRange(0, 5);
      r.every = std::chrono::milliseconds(*rc::gen::inRange(1, 500));
      r.deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      r.budget.read = *rc::gen::inRange(0, 20) * 1000.0;
      const sched::job_id id = s.add(r, std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
      own[id] = r.budget;
    }
    struct use {
      sched::time_point at{};
      sched::job_id job = 0;
      double read = 0;
    };
    std::vector<use> used;
    std::map<sched::job_id, std::pair<sched::time_point, double>> out;  // until, bytes
    constexpr double most_a_slice = 3000;
    double headroom = 1;
    for (sched::time_point now = 0ns; now < 6s; now += 1ms) {
      if (*rc::gen::inRange(0, 200) == 0) {
        headroom = *rc::gen::element(0.0, 0.0, 0.3, 1.0);
        s.set_headroom(headroom, now);
      }
      for (auto i = out.begin(); i != out.end();) {
        if (i->second.first > now) {
          ++i;
          continue;
        }
        const auto how =
            *rc::gen::element(sched::slice_end::more, sched::slice_end::done, sched::slice_end::failed);
        used.push_back({now, i->first, i->second.second});
        const sched::job_id id = i->first;
        const double bytes = i->second.second;
        i = out.erase(i);
        s.on_end(id, how, {2ms, static_cast<std::uint64_t>(bytes), 0}, now);
      }
      while (const auto next = s.pick(now)) {
        RC_ASSERT(!out.contains(next->job));
        if (headroom == 0)
          for (const sched::job_statistics& f : s.figures(now)) RC_ASSERT(f.id != next->job || f.urgent);
        out[next->job] = {now + 2ms, *rc::gen::inRange(100, static_cast<int>(most_a_slice))};
        RC_ASSERT(out.size() <= o.workers);
      }
    }
    const auto bounded = [&](double rate, unsigned at_once, auto&& counts) {
      if (rate <= 0) return;
      for (std::size_t from = 0; from < used.size(); ++from) {
        double sum = 0;
        for (std::size_t to = from; to < used.size(); ++to) {
          if (!counts(used[to])) continue;
          sum += used[to].read;
          const double span = std::chrono::duration<double>(used[to].at - used[from].at).count() + 0.002;
          RC_ASSERT(sum <= rate * (span + 0.1) + at_once * most_a_slice + 1);
        }
      }
    };
    bounded(o.budget.read, o.workers, [](const use&) { return true; });
    for (const auto& [id, r] : own)
      bounded(r.read, 1, [&, which = id](const use& u) { return u.job == which; });
  }));
}

// A job of the lowest priority beside ones that are always due: it has its turn, and every other one too.
void nobody_starves() {
  sched::options o;
  o.ageing = 1s;
  sched::scheduler s(o, 0ns);
  std::map<sched::job_id, int> ran;
  for (int i = 0; i < 100; ++i) {  // all due at once, as after a long stop
    sched::job_rules r;
    r.name = std::to_string(i);
    r.priority = i % 10;
    r.every = 1ns;
    ran[s.add(r, 0ns)] = 0;
  }
  sched::time_point now = 1s;
  for (int i = 0; i < 3000; ++i, now += 10ms) {
    const auto next = s.pick(now);
    CHECK(next && !s.pick(now));  // one worker
    ++ran[next->job];
    s.on_end(next->job, sched::slice_end::done, {1ms, 0, 0}, now + 5ms);
  }
  for (const auto& [id, times] : ran) CHECK(times > 0);
}

// A job waits for those that it names; they inherit its urgency; cycles are rejected.
void order_and_deadlines() {
  sched::scheduler s({}, 0ns);
  sched::job_rules first{
      .name = "first", .priority = 9, .every = 1h, .deadline = {}, .after = {}, .budget = {}};
  sched::job_rules other{
      .name = "other", .priority = 1, .every = 1h, .deadline = {}, .after = {}, .budget = {}};
  sched::job_rules last{
      .name = "last", .priority = 5, .every = 1h, .deadline = 10s, .after = {"first"}, .budget = {}};
  s.add(first, 0s);
  s.add(other, 0s);
  s.add(last, 0s);
  sched::job_rules circle{
      .name = "circle", .priority = 0, .every = {}, .deadline = {}, .after = {"circle"}, .budget = {}};
  bool refused = false;
  try {
    s.add(circle, 0s);
  } catch (const std::invalid_argument&) {
    refused = true;
  }
  CHECK(refused);
  s.set_headroom(0, 0s);
  CHECK(!s.pick(1s) && s.due(1s) == 10s);
  // At its deadline `last` is urgent, and so is what it waits for; `other` is not.
  auto next = s.pick(10s);
  CHECK(next && next->name == "first");
  s.on_end(next->job, sched::slice_end::done, {}, 11s);
  next = s.pick(11s);
  CHECK(next && next->name == "last");
  s.on_end(next->job, sched::slice_end::done, {}, 12s);
  CHECK(!s.pick(13s));
  s.set_headroom(1, 13s);
  next = s.pick(13s);
  CHECK(next && next->name == "other");
}

// A job that always fails is retried after ever longer pauses and does not hold up the others; a cancelled
// one runs no more; a slice that does not return is reported.
void failing_cancelled_stuck() {
  sched::options o;
  o.first_pause = 1s;
  o.longest_pause = 8s;
  sched::scheduler s(o, 0ns);
  const sched::job_id bad =
      s.add({.name = "bad", .priority = 0, .every = 1ms, .deadline = 1ms, .after = {}, .budget = {}}, 0s);
  const sched::job_id good =
      s.add({.name = "good", .priority = 9, .every = 1ms, .deadline = {}, .after = {}, .budget = {}}, 0s);
  std::map<sched::job_id, int> ran;
  for (sched::time_point now = 0s; now < 60s; now += 10ms) {
    const auto next = s.pick(now);
    if (!next) continue;
    ++ran[next->job];
    s.on_end(next->job, next->job == bad ? sched::slice_end::failed : sched::slice_end::more, {1ms, 0, 0},
             now + 1ms);
  }
  CHECK(ran[bad] >= 8 && ran[bad] <= 12 && ran[good] > 1000);  // after 0, 1, 3, 7, 15, 23, ... seconds
  const auto next = s.pick(60s);
  CHECK(next);
  s.cancel(next->job);
  CHECK(s.contains(next->job));
  for (const sched::job_statistics& f : s.figures(66s)) CHECK(f.overrun == (f.id == next->job));
  s.on_end(next->job, sched::slice_end::more, {}, 67s);
  CHECK(!s.contains(next->job));
}

void headroom() {
  sched::headroom_meter m({.quiet = 0.5, .busy = 0.9, .calm = 1s});
  CHECK(m.evaluate(1s, 0.2, 0) == 1 && m.evaluate(1s, 0.95, 0) == 0);
  const double half = m.evaluate(1s, 0.7, 0);
  CHECK(half > 0.45 && half < 0.55);
  CHECK(m.evaluate(2s, 0.1, 3) == 0 && m.evaluate(2900ms, 0.1, 0) == 0 && m.evaluate(3s, 0.1, 0) == 1);
  CHECK(m.evaluate(9s, std::nullopt, 0) == 1);
}

// Slices on real threads: never two of one job at once, notes come to the owner's thread, and a slice that
// does not return holds up neither the other jobs nor the end of the pool.
void threads() {
  struct state {  // outlives the pool: so may a slice
    std::atomic<int> inside = 0, ran = 0, both = 0, notified = 0;
    std::atomic<bool> let_go = false;
  };
  const auto st = std::make_shared<state>();
  std::vector<std::string> notes;
  const auto clock = [] { return std::chrono::steady_clock::now().time_since_epoch(); };
  const auto begun = clock();
  {
    sched::options o;
    o.workers = 2;
    o.overrun = 50ms;
    sched::pool p(
        o, [st] { ++st->notified; },
        [&](const std::string& job, const std::string& n) { notes.push_back(job + " " + n); }, clock());
    p.add(
        {.name = "stuck", .priority = 0, .every = {}, .deadline = {}, .after = {}, .budget = {}},
        [st](const std::atomic<bool>&) {
          while (!st->let_go) std::this_thread::sleep_for(5ms);
          return sched::slice_result{};
        },
        clock());
    p.add(
        {.name = "well", .priority = 1, .every = 1ms, .deadline = {}, .after = {}, .budget = {}},
        [st](const std::atomic<bool>&) {
          if (++st->inside > 1) ++st->both;
          ++st->ran;
          --st->inside;
          if (st->ran == 3) throw std::runtime_error("no luck");
          return sched::slice_result{sched::slice_end::more, 1, 0, ""};
        },
        clock());
    while (st->ran < 3 || notes.size() < 2) {
      p.step(clock(), 1);
      std::this_thread::sleep_for(1ms);
      CHECK(clock() - begun < 20s);
    }
  }
  CHECK(clock() - begun < 25s);
  CHECK(st->both == 0 && st->notified > 0);
  const std::set<std::string> said(notes.begin(), notes.end());
  CHECK(said.contains("well no luck") && said.contains("stuck a slice does not come to its end"));
  st->let_go = true;
  std::this_thread::sleep_for(100ms);
}

// Each changed byte of a closed segment that a checksum covers is found and named; an intact folder has no
// fault; a segment that is removed meanwhile is none.
void scrubs() {
  char name[] = "/tmp/marblewharf-scrub-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = name;
  const auto fs = std::make_shared<store::posix_file_system>();
  {
    store::log l(
        *fs, {folder, 4096, 65536, 7}, [](std::uint32_t, std::string_view) { return std::int64_t{1000}; },
        [](std::uint32_t, std::string_view, const store::position&) {});
    l.open(1);
    for (int i = 0; i < 120; ++i)
      l.append(std::vector<store::entry>{{{1, std::string(100 + i, static_cast<char>('a' + i % 26))}, 1000}},
               1);
  }
  std::set<std::string> segments;
  for (const std::string& f : fs->list(folder))
    if (f.ends_with(".seg")) segments.insert(f);
  CHECK(segments.size() > 3);
  const auto round = [&](store::scrubber& s) {
    std::vector<std::string> faults;
    std::size_t steps = 0;
    for (bool more = true; more; ++steps) {
      const auto r = s.step();
      more = r.more;
      if (!r.fault.empty()) faults.push_back(r.fault);
    }
    CHECK(steps == segments.size() - 1);
    return faults;
  };
  store::scrubber s(fs, folder);
  CHECK(round(s).empty() && round(s).empty());
  const std::string second = folder + "/" + *std::next(segments.begin());
  const std::string whole = fs->read(second, 0, fs->size_of(second));
  // What no sum is over, as nothing is read from it: the header's padding and each frame's count of records.
  const auto counts = [&](std::size_t at) {
    std::size_t frame = store::header_size;
    if (at < frame) return at < 72;
    while (frame < whole.size()) {
      std::uint32_t length = 0;
      std::memcpy(&length, whole.data() + frame + 4, sizeof length);
      if (at >= frame + 24 && at < frame + store::frame_head) return false;
      frame += store::frame_head + length;
    }
    return true;
  };
  int found = 0, tried = 0;
  for (std::size_t at = 0; at < whole.size(); at += 37) {
    if (!counts(at)) continue;
    std::string bytes = whole;
    bytes[at] = static_cast<char>(bytes[at] ^ 0x20);
    std::ofstream(second, std::ios::binary) << bytes;
    const auto faults = round(s);
    ++tried;
    found += !faults.empty() &&
             faults[0].find(second) == 0;  // a header also says how much counts of the one before
  }
  std::ofstream(second, std::ios::binary) << whole;
  std::printf("%d of %d changed bytes found\n", found, tried);
  CHECK(found == tried && tried > 80);
  std::filesystem::remove(second);
  CHECK(s.step().fault.empty());
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"within_budgets", within_budgets},
                                                   {"nobody_starves", nobody_starves},
                                                   {"order_and_deadlines", order_and_deadlines},
                                                   {"failing_cancelled_stuck", failing_cancelled_stuck},
                                                   {"headroom", headroom},
                                                   {"threads", threads},
                                                   {"scrubs", scrubs}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
