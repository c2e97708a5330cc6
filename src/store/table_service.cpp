#include "store/table_service.hpp"

#include <utility>

namespace marblewharf::store {
namespace {

// How often the thread checks for buffered batches that are due; also the delay after a failed flush.
constexpr std::chrono::milliseconds poll_interval{20};

}  // namespace

table_service::table_service(std::shared_ptr<file_system> fs, std::string folder,
                             std::unique_ptr<tables> tables, table_service_options options,
                             std::function<std::int64_t()> now, std::function<void()> notify)
    : fs_(std::move(fs)),
      folder_(std::move(folder)),
      options_(options),
      now_(std::move(now)),
      notify_(std::move(notify)),
      tables_(std::move(tables)),
      queue_(options.queue),
      condition_{false, {}, {}, tables_->rules()} {
  maintain(false);
  thread_ = std::thread([this] { serve(); });
}

table_service::~table_service() {
  stop();
}

void table_service::stop() {
  queue_.stop();
  if (thread_.joinable()) thread_.join();
}

std::unique_lock<std::mutex> table_service::lock_tables() const {
  const std::lock_guard turn(turn_mutex_);
  return std::unique_lock(tables_mutex_);
}

bool table_service::commit(std::uint64_t ticket, batch changes, durability mode) {
  tables_->require_valid(changes);
  return queue_.push({ticket, kind::commit, std::move(changes), mode, {}, {}});
}

bool table_service::get(std::uint64_t ticket, std::string table, std::string key) {
  return queue_.push({ticket, kind::get, {}, durability::now, std::move(table), std::move(key)});
}

table_service::condition table_service::collect(std::vector<done>& completed) {
  const std::lock_guard lock(mutex_);
  completed = std::exchange(done_, {});
  return condition_;
}

// Requires tables_mutex_, so that the reported condition is that of the tables.
void table_service::report(std::vector<done> completed) {
  condition c{tables_->writable(), tables_->writable() ? std::string() : fault_, tables_->show().disk,
              tables_->rules()};
  const std::lock_guard lock(mutex_);
  condition_ = std::move(c);
  done_.insert(done_.end(), std::make_move_iterator(completed.begin()),
               std::make_move_iterator(completed.end()));
}

// Reads without tables_mutex_: a closed segment does not change, and only the caller of step() deletes it.
std::uint64_t table_service::read_ahead() {
  tables::segment_range next;
  {
    const auto lock = lock_tables();
    next = tables_->segment_to_clean();
  }
  if (next.number == 0) return 0;
  tables::read_ahead r = tables::read_segment(*fs_, folder_, next);
  const std::uint64_t bytes = r.bytes.size();
  const auto lock = lock_tables();
  tables_->accept_read_ahead(std::move(r), now_());
  return bytes;
}

table_service::slice table_service::step(work work_kind) {
  slice s;
  try {
    if (work_kind == work::clean) s.read = read_ahead();
  } catch (const std::runtime_error& e) {
    s.fault = e.what();
    return s;
  }
  const auto lock = lock_tables();
  const std::uint64_t copied_before = tables_->show().copied;
  try {
    switch (work_kind) {
      case work::clean: s.has_more = tables_->clean_step(now_()); break;
      case work::checkpoint: s.has_more = tables_->checkpoint_step(now_()); break;
      case work::expire: s.has_more = tables_->expire_step(now_()); break;
    }
  } catch (const std::runtime_error& e) {  // io_error or damaged: the caller reports it, as no request failed
    s.fault = e.what();
  }
  s.written = tables_->show().copied - copied_before;
  report({});
  return s;
}

tables::figures table_service::show() const {
  const auto lock = lock_tables();
  return tables_->show();
}

// Flushes buffered batches when they are due, and tries a failed disk again. This must not depend on
// requests: callers that know that the disk is not writable do not send any.
void table_service::maintain(bool stopping) {
  const auto lock = lock_tables();
  const std::int64_t now = now_();
  const auto due = tables_->flush_due();
  try {
    tables_->retry_open(now);
    if (due && (stopping || *due <= now)) tables_->flush(now);
  } catch (const io_error& e) {  // the batches stay buffered
    fault_ = e.what();
  }
  report({});
}

void table_service::serve() {
  std::vector<task> tasks;
  const auto fits = [this](const task&, std::size_t taken) { return taken < options_.group; };
  auto next_maintenance = std::chrono::steady_clock::now() + options_.retry;
  while (queue_.pop_batch(tasks, poll_interval, fits)) {
    if (!tasks.empty()) {
      {
        const auto lock = lock_tables();
        report(execute(tasks));
      }
      notify_();
    }
    const auto time = std::chrono::steady_clock::now();
    if (!flush_is_due() && time < next_maintenance) continue;
    next_maintenance = time + options_.retry;
    maintain(false);
  }
  maintain(true);
}

bool table_service::flush_is_due() const {
  const auto lock = lock_tables();
  const auto due = tables_->flush_due();
  return due && *due <= now_();
}

// Requires tables_mutex_. Executes the tasks in order, so that a get sees the commits before it. Adjacent
// durable commits form a group.
std::vector<table_service::done> table_service::execute(std::vector<task>& tasks) {
  const std::int64_t now = now_();
  std::vector<done> completed;
  for (std::size_t i = 0; i < tasks.size();) {
    const task& t = tasks[i];
    if (t.operation == kind::commit && t.mode == durability::now) {
      std::vector<const batch*> group;
      for (std::size_t k = i;
           k < tasks.size() && tasks[k].operation == kind::commit && tasks[k].mode == durability::now; ++k)
        group.push_back(&tasks[k].changes);
      const std::vector<tables::committed> results = tables_->commit_all(group, now);
      for (const tables::committed& c : results) {
        if (!c.fault.empty()) fault_ = c.fault;
        completed.push_back({tasks[i++].ticket, kind::commit, c.result, {}, c.fault});
      }
      continue;
    }
    done d{t.ticket, t.operation, {}, {}, {}};
    try {
      if (t.operation == kind::commit) {
        d.result = tables_->commit(t.changes, t.mode, now);
      } else {
        d.value = tables_->get(t.table, t.key, now);
      }
    } catch (const std::runtime_error& e) {
      d.fault = e.what();
    }
    completed.push_back(std::move(d));
    ++i;
  }
  return completed;
}

}  // namespace marblewharf::store
