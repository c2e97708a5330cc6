#include "marblewharf/gathering.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "fan_out/state_machine.hpp"

namespace marblewharf::middleware {
namespace {

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

std::size_t find_source(const std::vector<source>& all, const std::string& name) {
  const auto at = std::find_if(all.begin(), all.end(), [&](const source& s) { return s.name == name; });
  if (at == all.end()) throw std::invalid_argument("no source: " + name);
  return static_cast<std::size_t>(at - all.begin());
}

std::vector<marblewharf::upstream::dependency_rules> rules_of(const std::vector<source>& all) {
  std::vector<marblewharf::upstream::dependency_rules> rules;
  for (const source& s : all) {
    if (s.endpoints.empty()) throw std::invalid_argument("no endpoint: " + s.name);
    if (s.threads == 0) throw std::invalid_argument("no thread: " + s.name);
    marblewharf::upstream::dependency_rules r;
    r.name = s.name;
    r.endpoints = s.endpoints.size();
    r.budget = s.budget;
    r.tries = s.tries;
    r.hedge_share = s.hedge_share;
    if (s.hedge_share <= 0) r.hedge_quantile = 0;
    r.most_in_flight = s.threads;
    if (!s.where.empty() && s.where.size() != s.endpoints.size())
      throw std::invalid_argument("where does not name as many as endpoints: " + s.name);
    static_assert(static_cast<int>(nearness::elsewhere) == static_cast<int>(failover::level::rest));
    for (const nearness n : s.where) r.near.where.push_back(static_cast<failover::level>(n));
    r.near.rules = {s.near.overprovisioning, s.near.panic_threshold, s.near.most_each};
    rules.push_back(std::move(r));
  }
  return rules;
}

std::vector<marblewharf::upstream::request_plan> plan_of(const std::vector<source>& sources,
                                                         const std::vector<part_of>& parts, duration aim) {
  marblewharf::upstream::request_plan p;
  p.latency_objective = aim;
  p.reserve = {};
  for (const part_of& part : parts) {
    marblewharf::upstream::part_plan one{part.name, find_source(sources, part.source), part.required, {}};
    for (const stand_in_for& s : part.stand_ins) {
      if (!s.source.empty())
        one.stand_ins.push_back(
            {marblewharf::upstream::fallback::kind::dependency, find_source(sources, s.source), {}, {}});
      else if (s.oldest.count() > 0)
        one.stand_ins.push_back({marblewharf::upstream::fallback::kind::stale, 0, s.oldest, {}});
      else
        one.stand_ins.push_back({marblewharf::upstream::fallback::kind::fixed, 0, {}, s.fixed});
    }
    p.parts.push_back(std::move(one));
  }
  try {
    marblewharf::upstream::check_plans({p}, rules_of(sources));
  } catch (const marblewharf::upstream::bad_plan& e) {
    const std::string at = e.part_at < 0 ? "" : parts[static_cast<std::size_t>(e.part_at)].name + " ";
    throw std::invalid_argument("part " + at + e.what());
  }
  return {p};
}

}  // namespace

// The conductor under a lock; a thread that lets time pass for it; for each source threads of its own, so
// that one that hangs takes none of the others'.
class gathering::impl {
 public:
  impl(std::vector<source> sources, const std::vector<part_of>& parts, duration aim, std::size_t cache,
       std::uint64_t seed)
      : sources_(std::move(sources)),
        state_machine_(plan_of(sources_, parts, aim), rules_of(sources_), cache, seed),
        pools_(sources_.size()) {
    for (std::size_t i = 0; i < sources_.size(); ++i) {
      for (unsigned n = 0; n < sources_[i].threads; ++n) threads_.emplace_back([this, i] { work(i); });
    }
    threads_.emplace_back([this] { let_time_pass(); });
  }
  ~impl() {
    {
      const std::lock_guard lock(guard_);
      stopping_ = true;
      for (auto& [id, flag] : flags_) *flag = true;
    }
    changed_.notify_all();
    for (std::thread& t : threads_) t.join();
  }

  gathered gather(std::uint64_t subject, duration within) {
    std::unique_lock lock(guard_);
    do {
      ++last_id_;
    } while (last_id_ == 0 || waiting_.contains(last_id_));
    const fan_out::gathering_id id = last_id_;
    waiter w;
    waiting_.emplace(id, &w);
    const time_point now = steady_now();
    state_machine_.begin(id, 0, subject, now + within, now);
    apply();
    changed_.notify_all();
    changed_.wait(lock, [&w] { return w.done; });
    waiting_.erase(id);
    return std::move(w.result);
  }

  void set_reachable(const std::string& name, std::size_t endpoint, bool reachable) {
    const std::lock_guard lock(guard_);
    const std::size_t at = find_source(sources_, name);
    if (endpoint >= sources_[at].where.size())
      throw std::invalid_argument("no place of an endpoint: " + name);
    state_machine_.set_reachable(at, endpoint, reachable);
  }

 private:
  struct waiter {
    bool done = false;
    gathered result;
  };
  struct task {
    fan_out::start_call call;
    time_point until{};
    std::shared_ptr<std::atomic<bool>> cancelled;
  };
  struct pool {
    std::deque<task> tasks;
    unsigned busy = 0;
  };

  void apply() {
    while (auto next = state_machine_.pick()) {
      if (auto* s = std::get_if<fan_out::start_call>(&*next)) {
        pool& p = pools_[s->dependency];
        // Threads may still be in calls that nobody waits for: then this one cannot begin.
        if (p.busy + p.tasks.size() >= sources_[s->dependency].threads) {
          state_machine_.on_result(s->id, fan_out::call_end::failed, {}, {}, steady_now());
          continue;
        }
        task t{*s, steady_now() + s->budget, std::make_shared<std::atomic<bool>>(false)};
        flags_[s->id] = t.cancelled;
        p.tasks.push_back(std::move(t));
      } else if (const auto* c = std::get_if<fan_out::cancel_call>(&*next)) {
        if (const auto at = flags_.find(c->id); at != flags_.end()) *at->second = true;
      } else if (auto* f = std::get_if<fan_out::finished>(&*next)) {
        const auto at = waiting_.find(f->id);
        if (at == waiting_.end()) continue;
        gathered& g = at->second->result;
        g.complete = f->complete;
        g.failed = f->lacks >= 0;
        for (fan_out::part_result& p : f->parts) {
          const part_state state = p.how == fan_out::part_is::fresh      ? part_state::fresh
                                   : p.how == fan_out::part_is::stale    ? part_state::stale
                                   : p.how == fan_out::part_is::stand_in ? part_state::stand_in
                                                                         : part_state::missing;
          g.parts.push_back({state, p.age, std::move(p.bytes)});
        }
        at->second->done = true;
      }
    }
  }

  void work(std::size_t which) {
    std::unique_lock lock(guard_);
    pool& mine = pools_[which];
    while (true) {
      changed_.wait(lock, [&] { return stopping_ || !mine.tasks.empty(); });
      if (stopping_) return;
      const task t = std::move(mine.tasks.front());
      mine.tasks.pop_front();
      ++mine.busy;
      fan_out::call_end how = fan_out::call_end::failed;
      std::string bytes;
      duration come_back{};
      if (!*t.cancelled) {
        const source_call& call = sources_[which].endpoints[t.call.endpoint];
        lock.unlock();
        try {
          bytes = call({std::chrono::steady_clock::time_point(t.until), t.cancelled.get()});
          how = fan_out::call_end::good;
        } catch (const not_now& e) {
          how = fan_out::call_end::not_now;
          come_back = e.after;
        } catch (...) {  // whatever it is, the call brought nothing
        }
        lock.lock();
      }
      --mine.busy;
      flags_.erase(t.call.id);
      state_machine_.on_result(t.call.id, how, std::move(bytes), come_back, steady_now());
      apply();
      changed_.notify_all();
    }
  }

  void let_time_pass() {
    std::unique_lock lock(guard_);
    while (!stopping_) {
      const time_point now = steady_now();
      if (state_machine_.due() <= now) {
        state_machine_.step(now);
        apply();
        changed_.notify_all();
      }
      const duration wait =
          std::clamp<duration>(state_machine_.due() - steady_now(), std::chrono::microseconds(100),
                               std::chrono::milliseconds(100));
      changed_.wait_for(lock, wait);
    }
  }

  const std::vector<source> sources_;
  std::mutex guard_;
  std::condition_variable changed_;
  fan_out::state_machine state_machine_;
  std::vector<pool> pools_;
  std::unordered_map<fan_out::gathering_id, waiter*> waiting_;
  std::unordered_map<fan_out::call_id, std::shared_ptr<std::atomic<bool>>> flags_;  // of calls under way
  fan_out::gathering_id last_id_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

gathering::gathering(std::vector<source> sources, std::vector<part_of> parts, std::chrono::nanoseconds aim,
                     std::size_t cache_bytes, std::uint64_t seed)
    : impl_(std::make_unique<impl>(std::move(sources), parts, aim, cache_bytes, seed)) {}
gathering::~gathering() = default;

void gathering::set_reachable(const std::string& name, std::size_t endpoint, bool reachable) {
  impl_->set_reachable(name, endpoint, reachable);
}

gathered gathering::gather(std::uint64_t subject, std::chrono::nanoseconds within) {
  return impl_->gather(subject, within);
}

}  // namespace marblewharf::middleware
