#include "scheduler/pool.hpp"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <ctime>
#include <deque>
#include <exception>
#include <mutex>
#include <utility>

namespace marblewharf::scheduler {

namespace {

// How long the destructor waits for running slices.
constexpr duration stop_timeout = std::chrono::milliseconds(300);

constexpr int lowest_priority = 19;

duration thread_cpu_time() {
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

// Gives requests precedence over slices at the CPU. If the system call fails, the budgets still limit the
// slices.
void lower_thread_priority() {
  ::setpriority(PRIO_PROCESS, static_cast<id_t>(::syscall(SYS_gettid)), lowest_priority);
}

struct queued_slice {
  job_id job = 0;
  std::shared_ptr<slice_function> run;
};

struct ended_slice {
  job_id job = 0;
  slice_result result;
  duration cpu{};
};

ended_slice run_slice(const queued_slice& queued, const std::atomic<bool>& stopping) {
  ended_slice ended{queued.job, {}, {}};
  const duration cpu_time_at_start = thread_cpu_time();
  try {
    ended.result = (*queued.run)(stopping);
  } catch (const std::exception& fault) {
    ended.result = {slice_end::failed, 0, 0, fault.what()};
  }
  ended.cpu = thread_cpu_time() - cpu_time_at_start;
  return ended;
}

}  // namespace

struct pool::shared_state {
  std::mutex mutex;
  std::condition_variable work_available;  // notified when a slice is queued or the pool is stopping
  std::condition_variable worker_exited;
  // Guarded by `mutex`.
  std::deque<queued_slice> queue;
  std::vector<ended_slice> ended;
  std::vector<bool> exited;  // by worker

  std::atomic<bool> stopping = false;
  std::function<void()> notify;  // not called after `stopping` is set
};

pool::pool(options settings, std::function<void()> notify, note_handler handle_note, time_point now)
    : scheduler_(settings, now),
      handle_note_(std::move(handle_note)),
      state_(std::make_shared<shared_state>()) {
  state_->notify = std::move(notify);
  state_->exited.assign(settings.workers, false);
  for (std::size_t worker = 0; worker < settings.workers; ++worker)
    threads_.emplace_back([state = state_, worker] { run_worker(state, worker); });
}

pool::~pool() {
  std::unique_lock lock(state_->mutex);
  state_->stopping = true;
  state_->queue.clear();
  state_->work_available.notify_all();
  const auto all_exited = [this] {
    return std::all_of(state_->exited.begin(), state_->exited.end(), [](bool exited) { return exited; });
  };
  state_->worker_exited.wait_for(lock, stop_timeout, all_exited);
  const std::vector<bool> exited = state_->exited;
  lock.unlock();
  for (std::size_t worker = 0; worker < threads_.size(); ++worker) {
    if (exited[worker]) {
      threads_[worker].join();
    } else {
      threads_[worker].detach();  // joining a thread whose slice does not return would block the shutdown
    }
  }
}

void pool::run_worker(const std::shared_ptr<shared_state>& state, std::size_t worker) {
  lower_thread_priority();
  std::unique_lock lock(state->mutex);
  while (true) {
    state->work_available.wait(lock, [&] { return state->stopping || !state->queue.empty(); });
    if (state->stopping) break;
    const queued_slice queued = std::move(state->queue.front());
    state->queue.pop_front();
    lock.unlock();
    ended_slice ended = run_slice(queued, state->stopping);
    lock.lock();
    state->ended.push_back(std::move(ended));
    if (!state->stopping) state->notify();
  }
  state->exited[worker] = true;
  state->worker_exited.notify_all();
}

job_id pool::add(job_rules rules, slice_function run_slice, time_point first_due) {
  const std::string name = rules.name;
  const job_id id = scheduler_.add(std::move(rules), first_due);
  jobs_[id] = {name, std::make_shared<slice_function>(std::move(run_slice))};
  return id;
}

void pool::cancel(job_id id) {
  scheduler_.cancel(id);
  // A job with a running slice is erased when the slice has ended.
  if (!scheduler_.contains(id)) jobs_.erase(id);
}

time_point pool::step(time_point now, double headroom) {
  collect_ended_slices(now);
  scheduler_.set_headroom(headroom, now);
  start_slices(now);
  report_overruns(now);
  return scheduler_.due(now);
}

void pool::collect_ended_slices(time_point now) {
  std::vector<ended_slice> ended_slices;
  {
    const std::lock_guard lock(state_->mutex);
    ended_slices = std::exchange(state_->ended, {});
  }
  for (const ended_slice& ended : ended_slices) {
    const slice_result& result = ended.result;
    scheduler_.on_end(ended.job, result.end, {ended.cpu, result.read, result.written}, now);
    const auto job = jobs_.find(ended.job);
    if (job == jobs_.end()) continue;
    job->second.overrun_reported = false;
    if (!result.note.empty()) handle_note_(job->second.name, result.note);
    if (!scheduler_.contains(ended.job)) jobs_.erase(job);
  }
}

void pool::start_slices(time_point now) {
  bool started = false;
  while (const std::optional<slice> next = scheduler_.pick(now)) {
    const std::lock_guard lock(state_->mutex);
    state_->queue.push_back({next->job, jobs_.at(next->job).run_slice});
    started = true;
  }
  if (started) state_->work_available.notify_all();
}

void pool::report_overruns(time_point now) {
  for (const job_statistics& job : scheduler_.statistics(now)) {
    if (!job.overrun) continue;
    const bool reported = std::exchange(jobs_.at(job.id).overrun_reported, true);
    if (!reported) handle_note_(job.name, "a slice exceeds its maximum run time");
  }
}

}  // namespace marblewharf::scheduler
