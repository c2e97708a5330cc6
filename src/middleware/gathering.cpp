#include "marblewharf/gathering.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "fan_out/state_machine.hpp"
#include "middleware/gathering_plan.hpp"

namespace marblewharf::middleware {
namespace {

constexpr duration min_timer_wait = std::chrono::microseconds(100);
constexpr duration max_timer_wait = std::chrono::milliseconds(100);

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

part_state state_of(fan_out::sub_response_state state) {
  switch (state) {
    case fan_out::sub_response_state::fresh: return part_state::fresh;
    case fan_out::sub_response_state::stale: return part_state::stale;
    case fan_out::sub_response_state::fallback: return part_state::stand_in;
    case fan_out::sub_response_state::missing: break;
  }
  return part_state::missing;
}

}  // namespace

// Protects the fan-out state machine with a lock. Each source has its own worker threads, so that a hanging
// source does not block other sources; one more thread drives the timers.
class gathering::impl {
 public:
  impl(std::vector<source> sources, const std::vector<part_of>& parts, duration latency_objective,
       std::size_t cache_bytes, std::uint64_t seed)
      : sources_(std::move(sources)),
        state_machine_(detail::plans_of(sources_, parts, latency_objective), detail::rules_of(sources_),
                       cache_bytes, seed),
        pools_(sources_.size()) {
    for (std::size_t i = 0; i < sources_.size(); ++i) {
      for (unsigned n = 0; n < sources_[i].threads; ++n) threads_.emplace_back([this, i] { run_worker(i); });
    }
    threads_.emplace_back([this] { drive_timers(); });
  }

  ~impl() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      for (auto& [id, cancelled] : cancel_flags_) *cancelled = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_) thread.join();
  }

  gathered gather(const subject& about, duration within) {
    std::unique_lock lock(mutex_);
    const fan_out::fan_out_id id = next_id();
    pending_gathering pending;
    pending_.emplace(id, &pending);
    const time_point now = steady_now();
    state_machine_.begin(id, 0, {about.member(), about.object()}, now + within, now);
    apply_actions();
    changed_.notify_all();
    changed_.wait(lock, [&pending] { return pending.done; });
    pending_.erase(id);
    return std::move(pending.result);
  }

  void set_reachable(const std::string& name, std::size_t endpoint, bool reachable) {
    const std::lock_guard lock(mutex_);
    const std::size_t source_index = detail::find_source(sources_, name);
    if (endpoint >= sources_[source_index].where.size())
      throw std::invalid_argument("endpoint index is not in where, source: " + name);
    state_machine_.set_reachable(source_index, endpoint, reachable);
  }

 private:
  using cancel_flag = std::shared_ptr<std::atomic<bool>>;

  struct pending_gathering {
    bool done = false;
    gathered result;
  };
  struct call_task {
    fan_out::start_call call;
    time_point until{};
    cancel_flag cancelled;
  };
  struct worker_pool {
    std::deque<call_task> tasks;
    unsigned busy = 0;  // threads that are making a call
  };
  struct call_result {
    fan_out::call_result end = fan_out::call_result::failed;
    std::string bytes;
    duration retry_after{};  // set if the call threw not_now
  };

  // Ids wrap around. 0 stands for no id, and ids that are still pending are skipped.
  fan_out::fan_out_id next_id() {
    do {
      ++last_id_;
    } while (last_id_ == 0 || pending_.contains(last_id_));
    return last_id_;
  }

  // ---- Actions of the state machine; require the lock -----------------------------------------------------

  void apply_actions() {
    while (std::optional<fan_out::action> next = state_machine_.next_action())
      std::visit([this](auto& action) { apply(action); }, *next);
  }

  // The call fails at once if all threads of the pool are in use, for example by cancelled calls that have
  // not returned yet.
  void apply(const fan_out::start_call& action) {
    worker_pool& pool = pools_[action.dependency];
    if (pool.busy + pool.tasks.size() >= sources_[action.dependency].threads) {
      state_machine_.on_result(action.id, fan_out::call_result::failed, {}, {}, steady_now());
      return;
    }
    call_task task{action, steady_now() + action.budget, std::make_shared<std::atomic<bool>>(false)};
    cancel_flags_[action.id] = task.cancelled;
    pool.tasks.push_back(std::move(task));
  }

  void apply(const fan_out::cancel_call& action) {
    const auto found = cancel_flags_.find(action.id);
    if (found != cancel_flags_.end()) *found->second = true;
  }

  void apply(fan_out::request_finished& action) {
    const auto found = pending_.find(action.id);
    if (found == pending_.end()) return;
    gathered& result = found->second->result;
    result.complete = action.complete;
    result.failed = action.missing_required.has_value();
    for (fan_out::sub_response& part : action.parts)
      result.parts.push_back({state_of(part.state), part.age, std::move(part.bytes)});
    found->second->done = true;
  }

  void apply(const fan_out::endpoint_changed&) {}  // ignored: only the daemon logs changes

  // ---- Threads --------------------------------------------------------------------------------------------

  void run_worker(std::size_t source_index) {
    std::unique_lock lock(mutex_);
    worker_pool& pool = pools_[source_index];
    while (true) {
      changed_.wait(lock, [this, &pool] { return stopping_ || !pool.tasks.empty(); });
      if (stopping_) return;
      const call_task task = std::move(pool.tasks.front());
      pool.tasks.pop_front();
      ++pool.busy;
      call_result result;
      if (!*task.cancelled) {
        lock.unlock();
        result = make_call(sources_[source_index].endpoints[task.call.endpoint], task);
        lock.lock();
      }
      --pool.busy;
      cancel_flags_.erase(task.call.id);
      state_machine_.on_result(task.call.id, result.end, std::move(result.bytes), result.retry_after,
                               steady_now());
      apply_actions();
      changed_.notify_all();
    }
  }

  // Must be called without the lock.
  static call_result make_call(const source_call& call, const call_task& task) {
    call_result result;
    try {
      result.bytes = call({std::chrono::steady_clock::time_point(task.until), task.cancelled.get()});
      result.end = fan_out::call_result::succeeded;
    } catch (const not_now& advice) {
      result.end = fan_out::call_result::rejected;
      result.retry_after = advice.after;
    } catch (...) {  // any other exception means that the call failed
      result.end = fan_out::call_result::failed;
    }
    return result;
  }

  void drive_timers() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      const time_point now = steady_now();
      if (state_machine_.next_timer_at() <= now) {
        state_machine_.step(now);
        apply_actions();
        changed_.notify_all();
      }
      const duration until_due = state_machine_.next_timer_at() - steady_now();
      changed_.wait_for(lock, std::clamp<duration>(until_due, min_timer_wait, max_timer_wait));
    }
  }

  const std::vector<source> sources_;
  std::mutex mutex_;  // guards all members below
  std::condition_variable changed_;
  fan_out::state_machine state_machine_;
  std::vector<worker_pool> pools_;                                       // by source
  std::unordered_map<fan_out::fan_out_id, pending_gathering*> pending_;  // owned by the threads that wait
  std::unordered_map<fan_out::call_id, cancel_flag> cancel_flags_;       // of queued and running calls
  fan_out::fan_out_id last_id_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

gathering::gathering(std::vector<source> sources, const std::vector<part_of>& parts,
                     std::chrono::nanoseconds aim, std::size_t cache_bytes, std::uint64_t seed)
    : impl_(std::make_unique<impl>(std::move(sources), parts, aim, cache_bytes, seed)) {}
gathering::~gathering() = default;

void gathering::set_reachable(const std::string& name, std::size_t endpoint, bool reachable) {
  impl_->set_reachable(name, endpoint, reachable);
}

gathered gathering::gather(const subject& about, std::chrono::nanoseconds within) {
  return impl_->gather(about, within);
}

}  // namespace marblewharf::middleware
