#include "store/committer.hpp"

#include <chrono>
#include <utility>

namespace marblewharf::store {

committer::committer(std::unique_ptr<log> l, committer_options options, std::function<std::int64_t()> now,
                     std::function<void()> notify)
    : log_(std::move(l)), options_(options), now_(std::move(now)), notify_(std::move(notify)) {
  report({});
  thread_ = std::thread([this] { serve(); });
}

committer::~committer() {
  {
    const std::lock_guard lock(guard_);
    stopping_ = true;
  }
  asked_.notify_all();
  thread_.join();
}

bool committer::write(std::uint64_t ticket, entry what) {
  return ask({ticket, kind::write, std::move(what), {}});
}

bool committer::read(std::uint64_t ticket, const position& at) {
  return ask({ticket, kind::read, {}, at});
}

bool committer::ask(task t) {
  bool first = false;
  {
    const std::lock_guard lock(guard_);
    if (stopping_ || queue_.size() >= options_.queue) return false;
    first = queue_.empty();
    queue_.push_back(std::move(t));
  }
  if (first) asked_.notify_one();  // else the thread is at work, and looks again before it waits
  return true;
}

committer::condition committer::collect(std::vector<done>& out) {
  const std::lock_guard lock(guard_);
  out = std::exchange(done_, {});
  return condition_;
}

void committer::serve() {
  auto next_look = std::chrono::steady_clock::now() + options_.tidy;
  std::vector<task> batch;
  while (true) {
    batch.clear();
    bool look = false;
    {
      std::unique_lock lock(guard_);
      const auto wait = log_->is_open() ? options_.tidy : options_.retry;
      asked_.wait_for(lock, wait, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_ && queue_.empty()) return;
      std::uint64_t bytes = 0;
      while (!queue_.empty() && batch.size() < options_.batch) {
        bytes += room_for(queue_.front().writes.what.body.size());
        if (!batch.empty() && bytes > log_->largest_frame()) break;
        batch.push_back(std::move(queue_.front()));
        queue_.pop_front();
      }
      look = std::chrono::steady_clock::now() >= next_look;
    }
    if (!batch.empty()) commit(batch);
    if (!look) continue;
    look_after(true);
    next_look = std::chrono::steady_clock::now() + (log_->is_open() ? options_.tidy : options_.retry);
  }
}

void committer::commit(std::vector<task>& batch) {
  std::vector<done> out;
  std::vector<entry> writes;
  for (task& t : batch) {
    done d{t.ticket, t.what, false, {}, {}};
    if (t.what == kind::write) {
      writes.push_back(std::move(t.writes));
    } else {
      try {
        d.body = log_->read(t.reads);
        d.ok = true;
      } catch (const std::runtime_error& e) {  // damaged, or the disk does not answer: said by whoever asked
        d.body = e.what();
      }
    }
    out.push_back(std::move(d));
  }
  if (!writes.empty()) {
    std::vector<position> at;
    try {
      at = log_->append(writes, now_());
      ++commits_;
      fault_.clear();
    } catch (const io_error& e) {
      fault_ = e.what();
    }
    std::size_t i = 0;
    for (done& d : out) {
      if (d.what != kind::write) continue;
      d.ok = !at.empty();
      if (d.ok) d.at = at[i++];
    }
  }
  // A segment that was filled leaves no spare: the next one is set aside before anybody hears how much room there is.
  if (log_->is_open()) look_after(false);
  report(std::move(out));
}

void committer::look_after(bool due) {
  try {
    if (!log_->is_open()) log_->open(now_());
    if (due || log_->room() < log_->largest_frame() * 4) log_->tidy(now_());
    fault_.clear();
  } catch (const io_error& e) {
    fault_ = e.what();
  }
  if (due) report({});
}

void committer::report(std::vector<done> what) {
  {
    const std::lock_guard lock(guard_);
    condition_ = {log_->is_open(), log_->room(), log_->used(), log_->next_ageing(), commits_, fault_};
    for (done& d : what) done_.push_back(std::move(d));
  }
  notify_();
}

}  // namespace marblewharf::store
