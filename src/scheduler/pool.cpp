#include "scheduler/pool.hpp"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <utility>

namespace marblewharf::scheduler {

namespace {

constexpr duration patience = std::chrono::milliseconds(300);  // for slices at the pool's end

duration processor_time() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

}  // namespace

struct pool::shared {
  struct task {
    job_id job = 0;
    std::shared_ptr<work> what;
  };
  struct ended {
    job_id job = 0;
    slice_result result;
    duration cpu{};
  };
  std::mutex guard;
  std::condition_variable asked, gone;
  std::deque<task> queue;    // under guard
  std::vector<ended> done;   // under guard
  std::vector<bool> ended_;  // under guard: threads
  std::atomic<bool> leaving = false;
  std::function<void()> notify;  // not called once leaving
};

pool::pool(options o, std::function<void()> notify,
           std::function<void(const std::string&, const std::string&)> note, time_point now)
    : scheduler_(o, now), note_(std::move(note)), shared_(std::make_shared<shared>()) {
  shared_->notify = std::move(notify);
  shared_->ended_.assign(o.workers, false);
  for (std::size_t i = 0; i < o.workers; ++i) threads_.emplace_back([s = shared_, i] { serve(s, i); });
}

pool::~pool() {
  std::unique_lock lock(shared_->guard);
  shared_->leaving = true;
  shared_->queue.clear();
  shared_->asked.notify_all();
  const auto all_gone = [this] {
    for (const bool e : shared_->ended_)
      if (!e) return false;
    return true;
  };
  shared_->gone.wait_for(lock, patience, all_gone);
  const std::vector<bool> ended = shared_->ended_;
  lock.unlock();
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    if (ended[i]) {
      threads_[i].join();
    } else {
      threads_[i].detach();  // its slice does not return: a process that cannot end would be worse
    }
  }
}

void pool::serve(const std::shared_ptr<shared>& s, std::size_t which) {
  // Requests first, whatever a slice does. Where the system refuses, the budgets still bound it.
  constexpr int lowest = 19;
  ::setpriority(PRIO_PROCESS, static_cast<id_t>(::syscall(SYS_gettid)), lowest);
  std::unique_lock lock(s->guard);
  while (true) {
    s->asked.wait(lock, [&] { return s->leaving || !s->queue.empty(); });
    if (s->leaving) break;
    const shared::task t = std::move(s->queue.front());
    s->queue.pop_front();
    lock.unlock();
    shared::ended e{t.job, {}, {}};
    const duration before = processor_time();
    try {
      e.result = (*t.what)(s->leaving);
    } catch (const std::exception& x) {
      e.result = {slice_end::failed, 0, 0, x.what()};
    }
    e.cpu = processor_time() - before;
    lock.lock();
    s->done.push_back(std::move(e));
    if (!s->leaving) s->notify();
  }
  s->ended_[which] = true;
  s->gone.notify_all();
}

job_id pool::add(job_rules rules, work w, time_point from) {
  const std::string name = rules.name;
  const job_id id = scheduler_.add(std::move(rules), from);
  jobs_[id] = {name, std::make_shared<work>(std::move(w))};
  return id;
}

void pool::cancel(job_id id) {
  scheduler_.cancel(id);
  if (!scheduler_.knows(id)) jobs_.erase(id);  // else when its slice has ended
}

time_point pool::step(time_point now, double room) {
  std::vector<shared::ended> done;
  {
    const std::lock_guard lock(shared_->guard);
    done = std::exchange(shared_->done, {});
  }
  for (const shared::ended& e : done) {
    scheduler_.on_end(e.job, e.result.how, {e.cpu, e.result.read, e.result.written}, now);
    const auto at = jobs_.find(e.job);
    if (at == jobs_.end()) continue;
    at->second.overrun_said = false;
    if (!e.result.note.empty()) note_(at->second.name, e.result.note);
    if (!scheduler_.knows(e.job)) jobs_.erase(at);
  }
  scheduler_.set_load(room, now);
  bool sent = false;
  while (const auto s = scheduler_.pick(now)) {
    const std::lock_guard lock(shared_->guard);
    shared_->queue.push_back({s->job, jobs_.at(s->job).what});
    sent = true;
  }
  if (sent) shared_->asked.notify_all();
  for (const job_statistics& f : scheduler_.figures(now)) {
    if (f.overrun && !std::exchange(jobs_.at(f.id).overrun_said, true))
      note_(f.name, "a slice does not come to its end");
  }
  return scheduler_.due(now);
}

}  // namespace marblewharf::scheduler
