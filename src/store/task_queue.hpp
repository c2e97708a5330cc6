// The bounded queue before a thread that a disk blocks: whoever asks never waits, and hears at once where it
// is full.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

namespace marblewharf::store {

template <typename Task>
class task_queue {
 public:
  explicit task_queue(std::size_t most) : most_(most) {}

  // From any thread. False: it is full, or stopped; nothing was taken.
  bool push(Task t) {
    bool first = false;
    {
      const std::lock_guard lock(guard_);
      if (stopped_ || queue_.size() >= most_) return false;
      first = queue_.empty();
      queue_.push_back(std::move(t));
    }
    if (first) asked_.notify_one();  // else the thread is at work, and looks again before it waits
    return true;
  }

  // The serving thread's: waits so long for a task, then moves to `out` the first and all behind it that
  // `fits(task, taken)` says yes to, up to the first no. False: stopped, and all is served.
  template <typename Fits>
  bool take(std::vector<Task>& out, std::chrono::nanoseconds wait, Fits&& fits) {
    out.clear();
    std::unique_lock lock(guard_);
    asked_.wait_for(lock, wait, [this] { return stopped_ || !queue_.empty(); });
    if (stopped_ && queue_.empty()) return false;
    while (!queue_.empty() && fits(queue_.front(), out.size())) {
      out.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    return true;
  }

  void stop() {
    {
      const std::lock_guard lock(guard_);
      stopped_ = true;
    }
    asked_.notify_all();
  }

 private:
  const std::size_t most_;
  std::mutex guard_;
  std::condition_variable asked_;
  std::deque<Task> queue_;  // under guard_
  bool stopped_ = false;    // under guard_
};

}  // namespace marblewharf::store
