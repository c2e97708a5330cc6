#include "store/committer.hpp"

#include <chrono>
#include <utility>

namespace marblewharf::store {

committer::committer(std::unique_ptr<log> opened, committer_options options,
                     std::function<std::int64_t()> now, std::function<void()> notify)
    : log_(std::move(opened)),
      options_(options),
      now_(std::move(now)),
      notify_(std::move(notify)),
      queue_(options.queue) {
  report({});
  thread_ = std::thread([this] { serve(); });
}

committer::~committer() {
  queue_.stop();
  thread_.join();
}

bool committer::write(std::uint64_t ticket, entry content) {
  return queue_.push({ticket, kind::write, std::move(content), {}});
}

bool committer::read(std::uint64_t ticket, const position& location) {
  return queue_.push({ticket, kind::read, {}, location});
}

committer::disk_status committer::collect(std::vector<done>& completed) {
  const std::lock_guard lock(mutex_);
  completed = std::exchange(done_, {});
  return disk_status_;
}

void committer::serve() {
  auto next_reclaim = std::chrono::steady_clock::now() + options_.reclaim_interval;
  std::vector<task> batch;
  std::uint64_t bytes = 0;
  const auto fits = [&](const task& t, std::size_t taken) {
    bytes = (taken == 0 ? 0 : bytes) + max_bytes_on_disk(t.to_write.content.body.size());
    return taken == 0 || (taken < options_.max_batch_records && bytes <= log_->max_frame_bytes());
  };
  while (queue_.pop_batch(batch, log_->is_open() ? options_.reclaim_interval : options_.retry, fits)) {
    const bool reclaim_due = std::chrono::steady_clock::now() >= next_reclaim;
    if (!batch.empty()) commit(batch);
    if (!reclaim_due) continue;
    maintain(true);
    next_reclaim =
        std::chrono::steady_clock::now() + (log_->is_open() ? options_.reclaim_interval : options_.retry);
  }
}

void committer::commit(std::vector<task>& batch) {
  std::vector<done> completed;
  std::vector<entry> writes;
  for (task& t : batch) {
    done d{t.ticket, t.operation, false, {}, {}};
    if (t.operation == kind::write) {
      writes.push_back(std::move(t.to_write));
    } else {
      try {
        d.body = log_->read(t.to_read);
        d.ok = true;
      } catch (const std::runtime_error& e) {  // damaged, or an I/O error: the caller reports it
        d.body = e.what();
      }
    }
    completed.push_back(std::move(d));
  }
  if (!writes.empty()) {
    std::vector<position> positions;
    try {
      positions = log_->append(writes, now_());
      ++commits_;
      fault_.clear();
    } catch (const io_error& e) {
      fault_ = e.what();
    }
    std::size_t i = 0;
    for (done& d : completed) {
      if (d.operation != kind::write) continue;
      d.ok = !positions.empty();
      if (d.ok) d.location = positions[i++];
    }
  }
  // If the commit filled a segment, there is no spare any more. The next one is preallocated before the free
  // space is reported.
  if (log_->is_open()) maintain(false);
  report(std::move(completed));
}

void committer::maintain(bool reclaim_due) {
  try {
    if (!log_->is_open()) log_->open(now_());
    if (reclaim_due || log_->reserved_free_bytes() < log_->max_frame_bytes() * 4) log_->reclaim(now_());
    fault_.clear();
  } catch (const io_error& e) {
    fault_ = e.what();
  }
  if (reclaim_due) report({});
}

void committer::report(std::vector<done> completed) {
  {
    const std::lock_guard lock(mutex_);
    disk_status_ = {log_->is_open(),    log_->reserved_free_bytes(),
                    log_->used_bytes(), log_->next_expiry(),
                    commits_,           fault_};
    for (done& d : completed) done_.push_back(std::move(d));
  }
  notify_();
}

}  // namespace marblewharf::store
