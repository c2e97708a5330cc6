// The four rules under random but legal events, watched by a checker that knows only the host's side: what
// was read, started, called, kept and answered. Seeds are fixed; nothing here scores decisions.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <string>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

enum class stage { held, running, wants_call, at_call, sharing };

struct seen {
  request_id id{};
  request_id same_as{};  // the first try of the request
  unsigned request_class{};
  stage at = stage::held;
  time_point arrived{};
  time_point due{};
  time_point run_ends{};   // on the cores
  time_point call_ends{};  // the outcome comes then
  outcome call_result = outcome::ok;
  unsigned calls_left = 0;
  unsigned starts = 0;
  double kb{};
  unsigned caller{};
  bool answered = false;
  bool gone = false;
  bool call_may_have_run = false;
};

// A host with made-up work. It keeps the books and names the first rule that an action breaks.
class world {
 public:
  world(settings s, std::uint64_t seed) : set_(std::move(s)), random_(seed), policy_(set_, seed, now_) {
    apply(policy_.handle(now_, {}));
  }

  std::string run(unsigned steps) {
    for (unsigned i = 0; i < steps && broken_.empty(); ++i) step(i);
    const bool stops = stop_at_ > 0ns;
    for (; broken_.empty() && (stops ? now_ < stop_at_ : !requests_.empty() && now_ < last_due_ + 60s);)
      step(steps);
    for (const auto& [id, r] : requests_) {
      if (stops && !r.answered && !r.gone) fail_with("drain: unanswered at the stop", id);
    }
    return broken_;
  }
  unsigned starts() const { return starts_; }

 private:
  unsigned below(unsigned n) { return static_cast<unsigned>(random_() % n); }
  void fail_with(const std::string& what, request_id id) {
    if (broken_.empty())
      broken_ = what + " (request " + std::to_string(id) + " at " + std::to_string(now_.count()) + ")";
  }

  void step(unsigned i) {
    now_ += set_.tick * (1 + below(30));
    if (timer_at_ && *timer_at_ < now_) {
      const time_point on_time = std::max(before_ + set_.tick, *timer_at_);
      if (below(50) != 0 || on_time > now_) {
        now_ = on_time;
      } else {  // a stall of the process: not counted against it
        for (auto& [id, r] : requests_) r.due += now_ - on_time;
      }
    }
    std::vector<event> batch;
    if (timer_at_ && *timer_at_ <= now_) {
      timer_at_.reset();
      batch.emplace_back(timer_fired{{below(101) / 100.0, 0.5}});
    }
    progress(batch);
    const bool draining = stop_at_ > 0ns;
    if (i < 2000 && below(3) != 0) {
      for (unsigned n = below(below(20) == 0 ? 30 : 3); n > 0; --n) batch.emplace_back(arrive());
    }
    if (i == 1500 && !draining && below(2) == 0) {
      stop_at_ = now_ + 3s;
      notice_at_ = now_;
      batch.emplace_back(shutdown_notice{3s});
    }
    if (!batch.empty()) {
      before_ = now_;
      apply(policy_.handle(now_, batch));
    }
    check_after();
  }

  arrival arrive() {
    arrival a;
    a.id = ++ids_;
    a.request_class = below(static_cast<unsigned>(set_.classes.size()));
    a.tenant = below(4);
    a.caller = below(40);
    a.reserved_kb = 5 + below(20);
    a.read_delay = set_.tick * below(below(10) == 0 ? 900 : 20);
    a.expected_work = below(2) == 0 ? duration{0} : 50ms * (1 + below(10));
    const class_settings& c = set_.classes[a.request_class];
    seen r;
    r.same_as = a.id;
    if (c.effect == request_effect::keyed && !kept_.empty() &&
        below(4) == 0) {  // a further try of a kept one
      const auto k = std::next(kept_.begin(), below(static_cast<unsigned>(kept_.size())));
      const time_point reached = now_ - a.read_delay;
      if (k->second.request_class == a.request_class && k->second.from <= reached &&
          reached < k->second.until) {
        a.duplicate_of = k->second.id;
        a.retry = true;
        r.same_as = k->first;
      }
    }
    // Or one that reached the machine while its first try was still unread there: nothing links the two.
    if (c.effect == request_effect::keyed && a.duplicate_of == 0 && below(3) == 0) {
      for (const auto& [first, k] : kept_) {
        const time_point reached = now_ - a.read_delay;
        if (k.request_class != a.request_class || reached >= k.from ||
            reached < k.arrived + c.latency_objective / 2)
          continue;
        a.retry = true;
        a.caller = k.caller;
        r.same_as = first;
        break;
      }
    }
    if (below(3) == 0) a.client_timeout = set_.tick * (1 + below(4000));
    r.id = a.id;
    r.request_class = a.request_class;
    r.arrived = now_ - a.read_delay;
    r.due = (a.client_timeout > 0ns ? now_ + a.client_timeout : std::max(now_, r.arrived + c.deadline)) +
            set_.answer_slack;
    r.kb = a.reserved_kb;
    r.caller = a.caller;
    r.calls_left = c.calls_dependency ? below(4) : 0;
    last_due_ = std::max(last_due_, r.due);
    requests_[r.id] = r;
    return a;
  }

  // What the work does by itself: ends, calls, returns, callers that leave.
  void progress(std::vector<event>& batch) {
    std::vector<request_id> over;
    for (auto& [id, r] : requests_) {
      if (r.at == stage::running && r.run_ends <= now_) {
        if (r.calls_left > 0) {
          --r.calls_left;
          if (r.answered || r.gone) {
            batch.emplace_back(completion{id, outcome::cancelled, 1ms});
            over.push_back(id);
          } else {
            r.at = stage::wants_call;
            r.call_may_have_run = false;
            batch.emplace_back(call_needed{id});
          }
        } else {
          batch.emplace_back(completion{id, below(20) == 0 ? outcome::error : outcome::ok, 1ms});
          over.push_back(id);
        }
      } else if (r.at == stage::at_call && r.call_ends <= now_) {
        if (r.answered || r.gone) {
          batch.emplace_back(completion{id, outcome::cancelled, 1ms});
          over.push_back(id);
          continue;
        }
        batch.emplace_back(call_ended{id, r.call_result, 1ms});
        r.call_may_have_run = r.call_result != outcome::full && r.call_result != outcome::connect_failed;
        r.at = r.call_result == outcome::ok ? stage::running : stage::wants_call;
        r.run_ends = now_ + set_.tick * (1 + below(100));
      } else if (r.at == stage::sharing && below(40) == 0) {
        batch.emplace_back(completion{id, below(3) == 0 ? outcome::error : outcome::ok, 1ms});
        over.push_back(id);
      } else if (!r.answered && below(400) == 0) {
        r.gone = true;
        batch.emplace_back(client_cancelled{id});
        if (r.at == stage::held || r.at == stage::sharing) over.push_back(id);
      }
    }
    for (const request_id id : over) requests_.erase(id);
    if (below(100) == 0) batch.emplace_back(completion{ids_ + 7, outcome::ok, 1ms});  // of nobody
    if (below(100) == 0) batch.emplace_back(call_ended{ids_ + 7, outcome::ok, 1ms});
    for (auto i = kept_.begin(); i != kept_.end();)
      i = i->second.until <= now_ ? kept_.erase(i) : std::next(i);
  }

  seen* known(request_id id, const char* what) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) return &found->second;
    if (id == 0 || id > ids_) fail_with(std::string(what) + " of a request that was never read", id);
    return nullptr;
  }

  void apply(const std::vector<action>& actions) {
    for (const action& a : actions) std::visit([this](const auto& x) { on(x); }, a);
    std::vector<request_id> ended;
    for (const auto& [id, r] : requests_) {
      const bool waits = r.at == stage::held || r.at == stage::sharing || r.at == stage::wants_call;
      if ((r.answered || r.gone) && waits) ended.push_back(id);
    }
    for (const request_id id : ended) {
      if (requests_.at(id).at == stage::wants_call) later_.push_back(completion{id, outcome::cancelled, 1ms});
      requests_.erase(id);
    }
    if (!later_.empty()) {
      const std::vector<event> batch = std::exchange(later_, {});
      apply(policy_.handle(now_, batch));
    }
  }

  void answer(seen& r, const char* what) {
    if (r.answered || r.gone) fail_with(std::string(what) + ": a second answer", r.id);
    if (now_ > r.due) fail_with(std::string(what) + ": too late", r.id);
    r.answered = true;
  }
  void on(const start& a) {
    seen* r = known(a.id, "start");
    if (r == nullptr) return;
    const request_effect e = set_.classes[r->request_class].effect;
    if (r->at != stage::held || r->answered) fail_with("start: it is not held", a.id);
    if (++r->starts > 1 && e != request_effect::safe) fail_with("duplicate: a second start", a.id);
    if (e == request_effect::keyed && !ran_.insert({r->same_as, 1}).second)
      fail_with("duplicate: two tries ran", a.id);
    if (notice_at_ > 0ns && r->arrived > notice_at_ + set_.drain_grace)
      fail_with("drain: too late to run", a.id);
    r->at = stage::running;
    r->run_ends = now_ + set_.tick * (1 + below(500));
    ++starts_;
  }
  void on(const stop_run& a) {
    if (set_.halt == halt_mode::none) fail_with("a stop where none is possible", a.id);
    seen* r = known(a.id, "stop");
    if (r == nullptr || below(10) == 0) return;  // the cores are frozen
    if (!r->answered && !r->gone) fail_with("a stop of what is still owed", a.id);
    if (r->at == stage::running || r->at == stage::at_call) {
      later_.push_back(completion{a.id, outcome::cancelled, 1ms});
      requests_.erase(a.id);
    }
  }
  void on(const reject& a) {
    seen* r = known(a.id, "refuse");
    if (r == nullptr) return;
    if (r->starts > 0 && set_.classes[r->request_class].effect != request_effect::safe)
      fail_with("duplicate: refused after it ran", a.id);
    if (r->at == stage::sharing) fail_with("duplicate: a repeat refused", a.id);
    answer(*r, "refuse");
  }
  void on(const fail& a) {
    if (seen* r = known(a.id, "fail")) answer(*r, "fail");
  }
  void on(const place_call& a) {
    seen* r = known(a.id, "call");
    if (r == nullptr) return;
    if (r->at != stage::wants_call) fail_with("a call of what wants none", a.id);
    if (r->call_may_have_run && set_.classes[r->request_class].effect != request_effect::safe)
      fail_with("duplicate: a call again that may have had its effect", a.id);
    r->at = stage::at_call;
    const duration takes = set_.tick * (1 + below(below(5) == 0 ? 2000 : 50));
    const bool late = a.limit > 0ns && takes > a.limit;
    r->call_ends = now_ + (late ? a.limit : takes);
    constexpr outcome ends[] = {outcome::ok,   outcome::ok,    outcome::ok,
                                outcome::ok,   outcome::ok,    outcome::error,
                                outcome::full, outcome::reset, outcome::connect_failed};
    r->call_result = late ? outcome::timeout : ends[below(std::size(ends))];
  }
  void on(const skip_call& a) {
    seen* r = known(a.id, "skip");
    if (r == nullptr) return;
    if (set_.classes[r->request_class].weight_without_call <= 0)
      fail_with("a skip that keeps no worth", a.id);
    if (r->at != stage::wants_call) fail_with("a skip of what wants no call", a.id);
    r->at = stage::running;
    r->run_ends = now_ + set_.tick * (1 + below(100));
  }
  void on(const retain_key& a) {
    const seen* r = known(a.id, "keep");
    if (r == nullptr) return;
    const class_settings& c = set_.classes[r->request_class];
    if (c.effect == request_effect::keyed && now_ + a.ttl < r->arrived + c.idempotency_window)
      fail_with("keys: kept too short", a.id);
    kept_[r->same_as] = {r->id, r->request_class, r->caller, r->arrived, now_, now_ + a.ttl};
  }
  void on(const forget_key& a) {
    for (auto i = kept_.begin(); i != kept_.end();) i = i->second.id == a.id ? kept_.erase(i) : std::next(i);
    if (ran_.contains(a.id)) fail_with("duplicate: the key of a run is forgotten", a.id);
  }
  void on(const share_result& a) {
    seen* r = known(a.id, "share");
    if (r == nullptr) return;
    if (r->same_as == r->id) fail_with("a share of no repeat", a.id);
    r->at = stage::sharing;
  }
  void on(const set_timer& a) {
    if (a.after < set_.tick) fail_with("a timer under the tick", 0);
    if (!timer_at_ || now_ + a.after < *timer_at_) timer_at_ = now_ + a.after;
  }
  void on(const advertise& a) {
    if (set_.signal == signal_kind::none || a.value < 0) fail_with("an illegal value", 0);
  }
  void on(const set_health&) {}
  void on(const close_idle&) {}
  void on(const log_line&) {}

  void check_after() {
    double kb = set_.idempotency_key_kb * static_cast<double>(kept_.size());
    double calls = 0;
    unsigned running = 0;
    for (const auto& [id, r] : requests_) {
      const bool light = r.at == stage::held || r.at == stage::sharing;
      kb += r.kb * (light ? 1 : set_.running_memory_factor);
      running += r.at == stage::running ? 1 : 0;
      calls += r.at == stage::at_call ? 1 : 0;
      if (!r.answered && !r.gone && now_ > r.due) fail_with("lost: no answer in time", id);
    }
    if (kb > set_.memory_kb) fail_with("fall-over: memory", 0);
    const double warm = std::chrono::duration<double>(now_ - rig::start_of_time) / set_.slow_start_duration;
    const double cold =
        set_.cold_start ? std::min(1.0, set_.cold_start_capacity + (1 - set_.cold_start_capacity) * warm) : 1;
    if (running > (1 + (set_.concurrency_ceiling_per_core - 1) * cold) * set_.cores + 1e-9)
      fail_with("fall-over: crowd", 0);
    if (set_.fair_concurrent_calls > 0 && calls > std::max(1.0, set_.fair_concurrent_calls))
      fail_with("fall-over: calls in hand", 0);
  }

  struct entry {
    request_id id{};
    unsigned request_class{};
    unsigned caller{};
    time_point arrived{};
    time_point from{};
    time_point until{};
  };

  settings set_;
  std::mt19937_64 random_;
  time_point now_ = rig::start_of_time;
  time_point before_{};
  policy policy_;
  std::map<request_id, seen> requests_;
  std::map<request_id, entry> kept_;  // by first try
  std::map<request_id, int> ran_;     // keyed first tries of which one ran
  std::vector<event> later_;
  std::optional<time_point> timer_at_;
  time_point stop_at_{};
  time_point notice_at_{};
  time_point last_due_{};
  request_id ids_ = 0;
  unsigned starts_ = 0;
  std::string broken_;
};

settings drawn(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  settings s;
  for (unsigned i = 0; i < 3; ++i) {
    class_settings c;
    c.name = "class";
    c.latency_objective = 300ms * (1 + pick(10));
    c.deadline = c.latency_objective * (1 + pick(4));
    c.late_weight = pick(2) * 0.2;
    c.calls_dependency = pick(2) == 0;
    c.effect = static_cast<request_effect>(i);
    c.weight_without_call = c.calls_dependency && pick(2) == 0 ? 0.5 : 0;
    c.idempotency_window = 1s * (1 + pick(20));
    s.classes.push_back(c);
  }
  for (unsigned i = pick(4); i > 0; --i) s.tenants.push_back({"t", 10.0 * pick(10)});
  s.servers = 1 + pick(300);
  s.callers = 1 + pick(1000);
  s.cores = 1 + pick(4);
  s.cold_start = pick(3) == 0;
  s.cold_start_capacity = 0.2 + 0.1 * pick(5);
  s.slow_start_duration = 18s;
  s.concurrency_ceiling_per_core = 5 + 3.0 * pick(2);
  s.concurrency_ceiling_period = 2s;
  s.running_memory_factor = 4 << pick(3);
  s.memory_kb = 25 * s.running_memory_factor * s.cores * (10 + pick(10));
  s.idempotency_key_kb = s.memory_kb / (50 + pick(400));
  s.fair_concurrent_calls = pick(3) == 0 ? 0 : 0.1 + 0.6 * pick(8);
  s.calls_period = 5s;
  s.abandoned_call_duration = 200ms;
  s.answer_slack = 80ms;
  s.drain_grace = 2s;
  s.max_retry_after = 1s;
  s.retry_after = true;
  s.tick = 2ms * (1 + pick(2));
  s.halt = static_cast<halt_mode>(pick(3));
  s.signal = static_cast<signal_kind>(pick(4));
  s.gauges = {"cpu_busy", "mem_used"};
  return s;
}

TEST(Rules, HoldUnderRandomEvents) {
  unsigned starts = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    world w(drawn(seed), seed);
    EXPECT_EQ(w.run(2500), "") << "seed " << seed;
    starts += w.starts();
  }
  EXPECT_GT(starts, 10000u);
}

}  // namespace
}  // namespace admission_policy::testing
