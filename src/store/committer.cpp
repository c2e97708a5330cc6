#include "store/committer.hpp"

#include <chrono>
#include <utility>

namespace marblewharf::store {

committer::committer(std::unique_ptr<log> l, committer_options options, std::function<std::int64_t()> now,
                     std::function<void()> notify)
    : log_(std::move(l)),
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

bool committer::write(std::uint64_t ticket, entry what) {
  return queue_.push({ticket, kind::write, std::move(what), {}});
}

bool committer::read(std::uint64_t ticket, const position& at) {
  return queue_.push({ticket, kind::read, {}, at});
}

committer::condition committer::collect(std::vector<done>& out) {
  const std::lock_guard lock(guard_);
  out = std::exchange(done_, {});
  return condition_;
}

void committer::serve() {
  auto next_look = std::chrono::steady_clock::now() + options_.tidy;
  std::vector<task> batch;
  std::uint64_t bytes = 0;
  const auto fits = [&](const task& t, std::size_t taken) {
    bytes = (taken == 0 ? 0 : bytes) + room_for(t.writes.what.body.size());
    return taken == 0 || (taken < options_.batch && bytes <= log_->largest_frame());
  };
  while (queue_.take(batch, log_->is_open() ? options_.tidy : options_.retry, fits)) {
    const bool look = std::chrono::steady_clock::now() >= next_look;
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
  // A segment that was filled leaves no spare: the next one is set aside before anybody hears how much room
  // there is.
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
