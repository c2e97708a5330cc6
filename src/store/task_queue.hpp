// A bounded queue for a thread that blocks on disk I/O. Producers never wait: push() fails at once if the
// queue is full.
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
  explicit task_queue(std::size_t capacity) : capacity_(capacity) {}

  // From any thread. False: the queue is full or stopped, and the task was not added.
  bool push(Task task) {
    bool first = false;
    {
      const std::lock_guard lock(mutex_);
      if (stopped_ || queue_.size() >= capacity_) return false;
      first = queue_.empty();
      queue_.push_back(std::move(task));
    }
    if (first) task_added_.notify_one();  // otherwise the thread is busy and checks the queue before it waits
    return true;
  }

  // From the consuming thread. Waits up to `timeout` for a task, then moves tasks to `batch` until
  // `fits(task, number of tasks moved)` returns false for one. Returns false once the queue is stopped and
  // empty.
  template <typename Fits>
  bool pop_batch(std::vector<Task>& batch, std::chrono::nanoseconds timeout, Fits&& fits) {
    batch.clear();
    std::unique_lock lock(mutex_);
    task_added_.wait_for(lock, timeout, [this] { return stopped_ || !queue_.empty(); });
    if (stopped_ && queue_.empty()) return false;
    while (!queue_.empty() && fits(queue_.front(), batch.size())) {
      batch.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    return true;
  }

  void stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    task_added_.notify_all();
  }

 private:
  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable task_added_;
  std::deque<Task> queue_;  // under mutex_
  bool stopped_ = false;    // under mutex_
};

}  // namespace marblewharf::store
