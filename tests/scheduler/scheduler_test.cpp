// Background jobs (ctest -L scheduler): scheduling decisions (rapidcheck), the worker threads of the pool,
// and the scrubbing of a directory with corrupted bytes.
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

namespace scheduler = marblewharf::scheduler;
namespace store = marblewharf::store;
using namespace std::chrono_literals;

namespace {

// With random jobs, headroom and costs: over any time span the slices must not use more of a budget than its
// rate, its burst and the overdraft of the slices that ran when it was emptied; two slices of the same job
// must never run at the same time; without headroom only urgent jobs may run.
void budgets_are_kept() {
  CHECK(rc::check("usage over any time span is within the budgets", [] {
    scheduler::options options;
    options.workers = static_cast<unsigned>(*rc::gen::inRange(1, 4));
    options.budget = {*rc::gen::inRange(1, 10) / 10.0, *rc::gen::inRange(1, 50) * 1000.0, 0};
    options.burst = 100ms;
    options.urgent_share = 0.5;
    scheduler::scheduler jobs(options, 0ns);
    const int job_count = *rc::gen::inRange(1, 5);
    std::map<scheduler::job_id, scheduler::rates> job_budgets;
    for (int i = 0; i < job_count; ++i) {
      scheduler::job_rules rules;
      rules.name = std::to_string(i);
      rules.priority = *rc::gen::inRange(0, 5);
      rules.interval = std::chrono::milliseconds(*rc::gen::inRange(1, 500));
      rules.deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      rules.budget.read = *rc::gen::inRange(0, 20) * 1000.0;
      const scheduler::job_id id = jobs.add(rules, std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
      job_budgets[id] = rules.budget;
    }
    struct usage {
      scheduler::time_point ended_at{};
      scheduler::job_id job = 0;
      double read = 0;
    };
    std::vector<usage> used;
    std::map<scheduler::job_id, std::pair<scheduler::time_point, double>>
        running;  // end of the slice, bytes read
    constexpr double max_bytes_per_slice = 3000;
    double headroom = 1;
    for (scheduler::time_point now = 0ns; now < 6s; now += 1ms) {
      if (*rc::gen::inRange(0, 200) == 0) {
        headroom = *rc::gen::element(0.0, 0.0, 0.3, 1.0);
        jobs.set_headroom(headroom, now);
      }
      for (auto slice = running.begin(); slice != running.end();) {
        if (slice->second.first > now) {
          ++slice;
          continue;
        }
        const auto end = *rc::gen::element(scheduler::slice_end::more, scheduler::slice_end::done,
                                           scheduler::slice_end::failed);
        used.push_back({now, slice->first, slice->second.second});
        const scheduler::job_id id = slice->first;
        const double bytes = slice->second.second;
        slice = running.erase(slice);
        jobs.on_end(id, end, {2ms, static_cast<std::uint64_t>(bytes), 0}, now);
      }
      while (const auto next = jobs.pick(now)) {
        RC_ASSERT(!running.contains(next->job));
        if (headroom == 0)
          for (const scheduler::job_statistics& job : jobs.statistics(now))
            RC_ASSERT(job.id != next->job || job.urgent);
        running[next->job] = {now + 2ms, *rc::gen::inRange(100, static_cast<int>(max_bytes_per_slice))};
        RC_ASSERT(running.size() <= options.workers);
      }
    }
    const auto check_bound = [&](double rate, unsigned max_parallel_slices, auto&& counts) {
      if (rate <= 0) return;
      for (std::size_t first = 0; first < used.size(); ++first) {
        double sum = 0;
        for (std::size_t last = first; last < used.size(); ++last) {
          if (!counts(used[last])) continue;
          sum += used[last].read;
          const double span =
              std::chrono::duration<double>(used[last].ended_at - used[first].ended_at).count() + 0.002;
          RC_ASSERT(sum <= rate * (span + 0.1) + max_parallel_slices * max_bytes_per_slice + 1);
        }
      }
    };
    check_bound(options.budget.read, options.workers, [](const usage&) { return true; });
    for (const auto& [id, budget] : job_budgets)
      check_bound(budget.read, 1, [&, job = id](const usage& one) { return one.job == job; });
  }));
}

// Jobs of low priority must not starve although jobs of higher priority are always due.
void no_job_starves() {
  scheduler::options options;
  options.ageing_step = 1s;
  scheduler::scheduler jobs(options, 0ns);
  std::map<scheduler::job_id, int> ran;
  for (int i = 0; i < 100; ++i) {  // all jobs are due at the same time, as after a long pause of the process
    scheduler::job_rules rules;
    rules.name = std::to_string(i);
    rules.priority = i % 10;
    rules.interval = 1ns;
    ran[jobs.add(rules, 0ns)] = 0;
  }
  scheduler::time_point now = 1s;
  for (int i = 0; i < 3000; ++i, now += 10ms) {
    const auto next = jobs.pick(now);
    CHECK(next && !jobs.pick(now));  // there is only one worker
    ++ran[next->job];
    jobs.on_end(next->job, scheduler::slice_end::done, {1ms, 0, 0}, now + 5ms);
  }
  for (const auto& [id, times] : ran) CHECK(times > 0);
}

// A job must wait for the jobs named in its rules, these jobs must inherit its urgency, and a cycle must be
// rejected.
void dependencies_and_deadlines() {
  scheduler::scheduler jobs({}, 0ns);
  scheduler::job_rules first{
      .name = "first", .priority = 9, .interval = 1h, .deadline = {}, .runs_after = {}, .budget = {}};
  scheduler::job_rules other{
      .name = "other", .priority = 1, .interval = 1h, .deadline = {}, .runs_after = {}, .budget = {}};
  scheduler::job_rules last{
      .name = "last", .priority = 5, .interval = 1h, .deadline = 10s, .runs_after = {"first"}, .budget = {}};
  jobs.add(first, 0s);
  jobs.add(other, 0s);
  jobs.add(last, 0s);
  scheduler::job_rules cycle{
      .name = "cycle", .priority = 0, .interval = {}, .deadline = {}, .runs_after = {"cycle"}, .budget = {}};
  bool rejected = false;
  try {
    jobs.add(cycle, 0s);
  } catch (const std::invalid_argument&) {
    rejected = true;
  }
  CHECK(rejected);
  jobs.set_headroom(0, 0s);
  CHECK(!jobs.pick(1s) && jobs.due(1s) == 10s);
  // At its deadline `last` becomes urgent, and `first`, which it waits for, becomes urgent as well; `other`
  // does not.
  auto next = jobs.pick(10s);
  CHECK(next && next->name == "first");
  jobs.on_end(next->job, scheduler::slice_end::done, {}, 11s);
  next = jobs.pick(11s);
  CHECK(next && next->name == "last");
  jobs.on_end(next->job, scheduler::slice_end::done, {}, 12s);
  CHECK(!jobs.pick(13s));
  jobs.set_headroom(1, 13s);
  next = jobs.pick(13s);
  CHECK(next && next->name == "other");
}

// A job that always fails must be retried with exponential backoff and not delay other jobs. A cancelled job
// must not run again. A slice that does not return must be reported as an overrun.
void retries_cancellation_and_overruns() {
  scheduler::options options;
  options.first_retry_delay = 1s;
  options.max_retry_delay = 8s;
  scheduler::scheduler jobs(options, 0ns);
  const scheduler::job_id bad = jobs.add(
      {.name = "bad", .priority = 0, .interval = 1ms, .deadline = 1ms, .runs_after = {}, .budget = {}}, 0s);
  const scheduler::job_id good = jobs.add(
      {.name = "good", .priority = 9, .interval = 1ms, .deadline = {}, .runs_after = {}, .budget = {}}, 0s);
  std::map<scheduler::job_id, int> ran;
  for (scheduler::time_point now = 0s; now < 60s; now += 10ms) {
    const auto next = jobs.pick(now);
    if (!next) continue;
    ++ran[next->job];
    jobs.on_end(next->job, next->job == bad ? scheduler::slice_end::failed : scheduler::slice_end::more,
                {1ms, 0, 0}, now + 1ms);
  }
  CHECK(ran[bad] >= 8 && ran[bad] <= 12 &&
        ran[good] > 1000);  // retries after 0, 1, 3, 7, 15, 23, ... seconds
  const auto next = jobs.pick(60s);
  CHECK(next);
  jobs.cancel(next->job);
  CHECK(jobs.contains(next->job));
  for (const scheduler::job_statistics& job : jobs.statistics(66s))
    CHECK(job.overrun == (job.id == next->job));
  jobs.on_end(next->job, scheduler::slice_end::more, {}, 67s);
  CHECK(!jobs.contains(next->job));
}

// The headroom must fall linearly with the busy cores, be 0 for 1 s after a request had to wait, and be 1 if
// the load is unknown.
void headroom() {
  scheduler::headroom_meter meter({.full_below = 0.5, .none_above = 0.9, .wait_hold_off = 1s});
  CHECK(meter.evaluate(1s, 0.2, 0) == 1 && meter.evaluate(1s, 0.95, 0) == 0);
  const double half = meter.evaluate(1s, 0.7, 0);
  CHECK(half > 0.45 && half < 0.55);
  CHECK(meter.evaluate(2s, 0.1, 3) == 0 && meter.evaluate(2900ms, 0.1, 0) == 0 &&
        meter.evaluate(3s, 0.1, 0) == 1);
  CHECK(meter.evaluate(9s, std::nullopt, 0) == 1);
}

// Slices on real threads: two slices of the same job must never run at the same time, notes must arrive on
// the owner's thread, and a slice that does not return must block neither the other jobs nor the destruction
// of the pool.
void worker_threads() {
  struct state {  // shared with the slices, because a slice can outlive the pool
    std::atomic<int> inside = 0, ran = 0, overlapping = 0, notified = 0;
    std::atomic<bool> release = false;
  };
  const auto shared = std::make_shared<state>();
  std::vector<std::string> notes;
  const auto clock = [] { return std::chrono::steady_clock::now().time_since_epoch(); };
  const auto started = clock();
  {
    scheduler::options options;
    options.workers = 2;
    options.overrun_threshold = 50ms;
    scheduler::pool pool(
        options, [shared] { ++shared->notified; },
        [&](const std::string& job, const std::string& note) { notes.push_back(job + " " + note); }, clock());
    pool.add(
        {.name = "stuck", .priority = 0, .interval = {}, .deadline = {}, .runs_after = {}, .budget = {}},
        [shared](const std::atomic<bool>&) {
          while (!shared->release) std::this_thread::sleep_for(5ms);
          return scheduler::slice_result{};
        },
        clock());
    pool.add(
        {.name = "well", .priority = 1, .interval = 1ms, .deadline = {}, .runs_after = {}, .budget = {}},
        [shared](const std::atomic<bool>&) {
          if (++shared->inside > 1) ++shared->overlapping;
          ++shared->ran;
          --shared->inside;
          if (shared->ran == 3) throw std::runtime_error("simulated failure");
          return scheduler::slice_result{scheduler::slice_end::more, 1, 0, ""};
        },
        clock());
    while (shared->ran < 3 || notes.size() < 2) {
      pool.step(clock(), 1);
      std::this_thread::sleep_for(1ms);
      CHECK(clock() - started < 20s);
    }
  }
  CHECK(clock() - started < 25s);
  CHECK(shared->overlapping == 0 && shared->notified > 0);
  const std::set<std::string> unique_notes(notes.begin(), notes.end());
  CHECK(unique_notes.contains("well simulated failure") &&
        unique_notes.contains("stuck a slice exceeds its maximum run time"));
  shared->release = true;
  std::this_thread::sleep_for(100ms);
}

// Scrubbing must find and name every corrupted byte of a closed segment that a checksum covers. It must
// report no fault for an intact directory, nor for a segment that is removed during the scrubbing.
void scrubbing() {
  char name[] = "/tmp/marblewharf-scrub-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = name;
  const auto fs = std::make_shared<store::posix_file_system>();
  {
    store::log log(
        *fs, {folder, 4096, 65536, 7}, [](std::uint32_t, std::string_view) { return std::int64_t{1000}; },
        [](std::uint32_t, std::string_view, const store::position&) {});
    log.open(1);
    for (int i = 0; i < 120; ++i)
      log.append(
          std::vector<store::entry>{{{1, std::string(100 + i, static_cast<char>('a' + i % 26))}, 1000}}, 1);
  }
  std::set<std::string> segments;
  for (const std::string& file : fs->list(folder))
    if (file.ends_with(".seg")) segments.insert(file);
  CHECK(segments.size() > 3);
  const auto scrub_all = [&](store::scrubber& scrubber) {
    std::vector<std::string> faults;
    std::size_t steps = 0;
    for (bool more = true; more; ++steps) {
      const auto result = scrubber.step();
      more = result.has_more;
      if (!result.fault.empty()) faults.push_back(result.fault);
    }
    CHECK(steps == segments.size() - 1);
    return faults;
  };
  store::scrubber scrubber(fs, folder);
  CHECK(scrub_all(scrubber).empty() && scrub_all(scrubber).empty());
  const std::string second = folder + "/" + *std::next(segments.begin());
  const std::string intact = fs->read(second, 0, fs->size_of(second));
  // No checksum covers the padding of the segment header and the record count of each frame, because they are
  // not read.
  const auto is_covered = [&](std::size_t offset) {
    std::size_t frame = store::header_size;
    if (offset < frame) return offset < 72;
    while (frame < intact.size()) {
      std::uint32_t length = 0;
      std::memcpy(&length, intact.data() + frame + 4, sizeof length);
      if (offset >= frame + 24 && offset < frame + store::frame_head) return false;
      frame += store::frame_head + length;
    }
    return true;
  };
  int found = 0, corrupted = 0;
  for (std::size_t offset = 0; offset < intact.size(); offset += 37) {
    if (!is_covered(offset)) continue;
    std::string bytes = intact;
    bytes[offset] = static_cast<char>(bytes[offset] ^ 0x20);
    std::ofstream(second, std::ios::binary) << bytes;
    const auto faults = scrub_all(scrubber);
    ++corrupted;
    // The header contains the valid length of the previous segment, so a corrupted header is already found
    // while the previous segment is scrubbed. In that case, too, the fault must name the segment with the
    // corrupted header.
    found += !faults.empty() && faults[0].find(second) == 0;
  }
  std::ofstream(second, std::ios::binary) << intact;
  std::printf("%d of %d corrupted bytes found\n", found, corrupted);
  CHECK(found == corrupted && corrupted > 80);
  std::filesystem::remove(second);
  CHECK(scrubber.step().fault.empty());
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"budgets_are_kept", budgets_are_kept},
      {"no_job_starves", no_job_starves},
      {"dependencies_and_deadlines", dependencies_and_deadlines},
      {"retries_cancellation_and_overruns", retries_cancellation_and_overruns},
      {"headroom", headroom},
      {"worker_threads", worker_threads},
      {"scrubbing", scrubbing}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
