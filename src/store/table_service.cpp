#include "store/table_service.hpp"

#include <utility>

namespace marblewharf::store {
namespace {

// Between looks for what waits in memory; also how long a failed flush waits.
constexpr std::chrono::milliseconds look_every{20};

}  // namespace

table_service::table_service(std::shared_ptr<file_system> fs, std::string folder, std::unique_ptr<tables> t,
                             table_service_options o, std::function<std::int64_t()> now,
                             std::function<void()> notify)
    : fs_(std::move(fs)),
      folder_(std::move(folder)),
      options_(o),
      now_(std::move(now)),
      notify_(std::move(notify)),
      tables_(std::move(t)),
      queue_(o.queue),
      condition_{false, {}, {}, tables_->rules()} {
  look_after(false);
  thread_ = std::thread([this] { serve(); });
}

table_service::~table_service() {
  stop();
}

void table_service::stop() {
  queue_.stop();
  if (thread_.joinable()) thread_.join();
}

std::unique_lock<std::mutex> table_service::hold() const {
  const std::lock_guard turn(turn_);
  return std::unique_lock(tables_guard_);
}

bool table_service::commit(std::uint64_t ticket, batch b, durability how) {
  tables_->expect_possible(b);
  return queue_.push({ticket, kind::commit, std::move(b), how, {}, {}});
}

bool table_service::get(std::uint64_t ticket, std::string table, std::string key) {
  return queue_.push({ticket, kind::get, {}, durability::now, std::move(table), std::move(key)});
}

table_service::condition table_service::collect(std::vector<done>& out) {
  const std::lock_guard lock(guard_);
  out = std::exchange(done_, {});
  return condition_;
}

// Under the tables' guard: what is said of them is what they are.
void table_service::report(std::vector<done> out) {
  condition c{tables_->writable(), tables_->writable() ? std::string() : fault_, tables_->show().disk,
              tables_->rules()};
  const std::lock_guard lock(guard_);
  condition_ = std::move(c);
  done_.insert(done_.end(), std::make_move_iterator(out.begin()), std::make_move_iterator(out.end()));
}

// A closed segment does not change, and nobody but the caller of slices takes it away.
std::uint64_t table_service::read_ahead() {
  tables::wanted_segment next;
  {
    const auto lock = hold();
    next = tables_->oldest_wanted();
  }
  if (next.number == 0) return 0;
  tables::read_ahead r = tables::read_segment(*fs_, folder_, next);
  const std::uint64_t bytes = r.bytes.size();
  const auto lock = hold();
  tables_->take(std::move(r), now_());
  return bytes;
}

table_service::slice table_service::step(work what) {
  slice s;
  try {
    if (what == work::clean) s.read = read_ahead();
  } catch (const std::runtime_error& e) {
    s.fault = e.what();
    return s;
  }
  const auto lock = hold();
  const std::uint64_t before = tables_->show().copied;
  try {
    switch (what) {
      case work::clean: s.more = tables_->clean_step(now_()); break;
      case work::checkpoint: s.more = tables_->checkpoint_step(now_()); break;
      case work::age: s.more = tables_->age_step(now_()); break;
    }
  } catch (const std::runtime_error& e) {  // io_error or damaged: nobody's request, said by whoever called
    s.fault = e.what();
  }
  s.written = tables_->show().copied - before;
  report({});
  return s;
}

tables::figures table_service::show() const {
  const auto lock = hold();
  return tables_->show();
}

// What waits in memory goes to disk in its time, and a disk that failed is tried again, also where nobody
// asks for anything: whoever knows that it cannot be written to does not.
void table_service::look_after(bool leaving) {
  const auto lock = hold();
  const std::int64_t now = now_();
  const auto due = tables_->flush_due();
  try {
    tables_->mend(now);
    if (due && (leaving || *due <= now)) tables_->flush(now);
  } catch (const io_error& e) {  // what waits still waits
    fault_ = e.what();
  }
  report({});
}

void table_service::serve() {
  std::vector<task> all;
  const auto fits = [this](const task&, std::size_t taken) { return taken < options_.group; };
  auto next_look = std::chrono::steady_clock::now() + options_.retry;
  while (queue_.take(all, look_every, fits)) {
    if (!all.empty()) {
      {
        const auto lock = hold();
        report(carry_out(all));
      }
      notify_();
    }
    const auto at = std::chrono::steady_clock::now();
    if (!flush_wanted() && at < next_look) continue;
    next_look = at + options_.retry;
    look_after(false);
  }
  look_after(true);
}

bool table_service::flush_wanted() const {
  const auto lock = hold();
  const auto due = tables_->flush_due();
  return due && *due <= now_();
}

// Under the tables' guard. In their order: a get behind a commit sees it. Durable commits that stand next to
// each other go together.
std::vector<table_service::done> table_service::carry_out(std::vector<task>& all) {
  const std::int64_t now = now_();
  std::vector<done> out;
  for (std::size_t i = 0; i < all.size();) {
    const task& t = all[i];
    if (t.what == kind::commit && t.how == durability::now) {
      std::vector<const batch*> group;
      for (std::size_t k = i; k < all.size() && all[k].what == kind::commit && all[k].how == durability::now;
           ++k)
        group.push_back(&all[k].writes);
      const std::vector<tables::committed> done_with = tables_->commit_all(group, now);
      for (const tables::committed& c : done_with) {
        if (!c.fault.empty()) fault_ = c.fault;
        out.push_back({all[i++].ticket, kind::commit, c.v, {}, c.fault});
      }
      continue;
    }
    done d{t.ticket, t.what, {}, {}, {}};
    try {
      if (t.what == kind::commit) {
        d.v = tables_->commit(t.writes, t.how, now);
      } else {
        d.value = tables_->get(t.table, t.key, now);
      }
    } catch (const std::runtime_error& e) {
      d.fault = e.what();
    }
    out.push_back(std::move(d));
    ++i;
  }
  return out;
}

}  // namespace marblewharf::store
