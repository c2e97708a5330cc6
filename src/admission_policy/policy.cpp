// wrenrill: every decision of a server and every tuned constant, behind include/wrenrill/policy.hpp.
//
// The ordinary path of a request (docs/design.md): on_arrival() tags it from its tenant's arrival curve (tag,
// resync), dispatch() starts the smallest finish tag while the running limit allows, shed_hopeless() turns
// away what cannot make its aim. Everything else is a guard around that path and says what it guards against.
#include "admission_policy/policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include "admission_policy/arrival_curve.hpp"
#include "admission_policy/drain_state.hpp"
#include "admission_policy/idle_connection_advisor.hpp"
#include "admission_policy/latency_objective.hpp"
#include "admission_policy/progress_watchdog.hpp"
#include "admission_policy/rate_quota_buckets.hpp"
#include "admission_policy/retry_age_estimator.hpp"
#include "admission_policy/slow_start.hpp"
#include "admission_policy/time_conversion.hpp"

namespace admission_policy {
namespace {

using namespace std::chrono_literals;

// Named constants, with unit and reason.
constexpr duration window = 100ms;      // of limit, signal and rates: several runs end in it, few callers act
constexpr double limit_cut = 0.8;       // factor: a crowd that slows itself is left in a few windows
constexpr double late_runs = 1.5;       // times the best time for a unit of work: beyond noise of run times
constexpr double idle_below = 0.9;      // share of the cores busy: under this a further run finds a core
constexpr double busy_above = 0.95;     // share of the cores busy: over this a further run slows the others
constexpr double crowd_margin = 0.7;    // of the survivable crowd: reads, stalls and returns come on top
constexpr double crowd_most = 0.9;      // of it, in whole runs: one more than that margin may be too many
constexpr double memory_margin = 0.85;  // of the memory: unread arrivals and one batch's lump come on top
constexpr double run_margin = 0.75;     // of the memory: runs start under it, what is read next needs room
constexpr double keys_margin = 0.5;     // of the memory: keys beyond it would crowd out the work itself
constexpr double evidence = 1;          // s of full cores that the drain rate remembers: a few runs a core
constexpr double unhinted_prior = 3;  // runs at the best pace, beside those seen: half of what few cores end
constexpr double residual_least = 0.3;   // of a run's work: what an overrunning run is taken to have left
constexpr duration assumed_run = 300ms;  // where neither hint nor history tells the time of a run
constexpr duration answer_early = 10ms;  // before due: the answer's own way through the batch clock
constexpr double try_least = 0.5;        // of the aim: no caller gives a try up sooner
constexpr double admit_cut = 0.85;       // factor a window with shedding: halves what comes in half a second
constexpr double admit_grow = 0.03;      // a window without: back to all in about three seconds
constexpr double admit_least = 0.1;      // share: enough comes in to see that the trouble has passed
constexpr double credit_loose = 4;       // times the useful hold: no caller is bound while nothing is shed
constexpr double useful_wait = 0.35;     // of the tightest aim: the hold beyond it only adds waiting
constexpr double unread_late = 0.25;     // of the tightest aim: a longer wait to be read is overload
constexpr double calls_margin = 0.8;     // of the fair share of calls: others may be cold and call more
constexpr double call_room = 0.25;       // of the period's share of calls: less would cut a call off too soon
constexpr double calls_least = 0.25;   // of the fair share: what is survived is several times what is served
constexpr double calls_grow = 0.05;    // of the fair share a call: back from the least in some ten calls
constexpr double calls_cut = 0.5;      // factor: a dependency jams within two round trips
constexpr double calls_late = 3;       // times the best mean round trip: beyond noise of a few calls
constexpr double calls_memory = 8;     // calls over which round trips are averaged ...
constexpr double calls_memory_s = 2;   // ... or s, where calls are few
constexpr double calls_burst = 1;      // s of the cap that may be saved up: calls come in bunches
constexpr double calls_settle = 0.06;  // of a gain on it that is taken over a call: not the luck of a few
constexpr double calls_creep = 0.005;  // of it a call: the best round trip is forgotten in minutes
constexpr double calls_debt = 2;       // s of the cap: one stuck call must not close the way for long
constexpr duration call_look = 20ms;   // between looks at waiting calls: shorter than most round trips
constexpr unsigned call_tries = 3;     // of one call: more only multiply the load below
constexpr double admit_low = 0.5;  // share: where no quotas are stated, wanting less than this means overload
constexpr double over_quota = 1.1;    // times this server's part of all quotas: beyond chance
constexpr double excess_sure = 1.2;   // reads over that part, as a share of it, that are overload for sure
constexpr double flooded = 2;         // reads over that part, times: then it is the reads that make runs slow
constexpr double read_memory = 2;     // s over which reads are averaged: longer than a burst of one caller
constexpr double locally_slow = 1.6;  // times own best: the trouble is here, other servers may do better
constexpr double far_slower = 2.5;    // times own best: more than a full server's own crowd explains
constexpr double learn_runs = 5;      // runs a core: from so many on the best time is known
constexpr double best_creep = 1.001;  // factor a window: forgotten more slowly than troubles last
constexpr duration limit_window = 250ms;  // between looks at the gauge: less than a burst takes to rise

enum class phase { held, sharing, running, call_wanted, at_call, ending };

struct request {
  request_id id{};
  unsigned request_class{};
  unsigned tenant{};
  time_point arrived{};       // at the machine
  time_point answer_by{};     // final answer no later than this
  time_point useful_until{};  // an answer after this earns less or nothing
  time_point start_tag{};     // both tags in shifted time: see tag()
  time_point finish_tag{};
  double reserved_kb{};
  double work{};  // units of work: hinted seconds, or 1
  phase where = phase::held;
  bool answered = false;  // nothing is owed any longer; it may still run
  bool ran = false;
  bool spaced = false;                         // beyond the arrival curve of its tenant
  time_point ran_since{};                      // moved on by the time at calls
  time_point left_core{};                      // for a call
  time_point call_after{};                     // no further try of its call before
  unsigned calls_made = 0, call_failures = 0;  // failures: of its present call
  time_point wake{};                           // its entry in wakes_
};

}  // namespace

class policy::impl {
 public:
  impl(settings given, time_point now);
  const std::vector<action>& handle(time_point now, std::span<const event> events);

 private:
  using hold_key = std::pair<time_point, request_id>;

  void on(const arrival& a);
  void on(const completion& c);
  void on(const client_cancelled& d);
  void on(const call_needed& c);
  void on(const call_ended& c);
  void on(const shutdown_notice& n);
  void on(const timer_fired& t);
  void on(const quota_update& s);

  void dispatch();
  void shed_hopeless();
  void close_window(const timer_fired& t);
  void steer_limit(double cpu_busy);
  void steer_intake();
  void place_calls();
  void count_calls(time_point now);
  void steer_calls(const call_ended& c);
  void pass_over_calls();
  double call_wait(double ahead) const;
  double calls_due(const request& r) const;
  bool calls_jam() const;
  double core_left(const request& r, time_point until, double per_unit) const;
  void wake_due();
  void guard_memory();
  void set_wake(request& r);
  void schedule();

  void turn_away(request& r, bool no_use = false, duration at_least = {});
  void give_up(request& r);
  void release(request& r);
  void erase(request& r);
  void move(request& r, phase to);
  void keep(request& r);
  void account(time_point now);

  const class_settings& class_of(const request& r) const { return set_.classes[r.request_class]; }
  bool occupies(phase p) const { return p != phase::held && p != phase::sharing; }
  double weight_kb(const request& r) const {
    return r.reserved_kb * (occupies(r.where) ? set_.running_memory_factor : 1);
  }
  double speed() const { return slow_start_.speed(now_); }
  double crowd() const;
  double time_per_unit() const;
  bool slow_here() const;
  bool overloaded_everywhere();
  double wait_ahead() const;
  duration advice() const {
    return std::min(set_.max_retry_after, std::max(window, from_seconds(wait_ahead() / 2)));
  }
  void watch_progress();
  bool unlinked_twin(const request& r, const arrival& a);
  double free_takes() const;
  bool fits_as_run(const request& r) const;
  double runs_room() const;
  template <typename T>
  void act(T a) {
    out_.emplace_back(std::move(a));
  }

  settings set_;
  duration tightest_objective_;
  slow_start slow_start_;
  arrival_curves curves_;
  rate_quota_buckets rate_quotas_;
  retry_age_estimator retry_ages_;
  idle_connection_advisor idle_connections_;
  progress_watchdog watchdog_;
  drain_state drain_;
  std::vector<action> out_;
  std::map<request_id, request> requests_;
  std::set<hold_key> hold_;                            // by finish tag, ties by arrival
  std::set<hold_key> running_;                         // on the cores, by (start of the run, id)
  std::set<hold_key> calls_wanted_;                    // by finish tag
  std::set<std::pair<time_point, request_id>> wakes_;  // when each request wants a look
  std::set<std::pair<time_point, request_id>> keys_;   // kept keys by expiry
  std::map<request_id, time_point> key_expiry_;
  std::multiset<time_point> lingering_;  // abandoned calls, until the dependency drops them
  time_point now_{};
  time_point accounted_{};
  time_point window_end_{};
  time_point timer_at_{duration::max()};
  quota_update quota_;
  double memory_kb_ = 0;
  double limit_ = 1;
  unsigned calls_out_ = 0;
  std::deque<std::pair<time_point, double>> calls_used_;  // end of a span, calls in hand x seconds in it
  double calls_sum_ = 0;                                  // ... over the dependency's period
  double call_cap_ = 0;                                   // calls in hand that are meant, in the mean
  double call_credit_ = 0;                                // calls in hand x seconds that may be used at once
  double round_trip_ = 0, best_round_trip_ = 0;           // s, means of late; 0 = none seen
  unsigned calls_since_cut_ = 0, calls_seen_ = 0;
  time_point call_seen_at_{};
  std::vector<double> calls_each_;  // by class: calls of a run, of late
  double core_seconds_ = 0;         // decayed: time of runs on the cores ...
  double units_done_ = 0;           // ... and the work that they finished
  double best_time_per_unit_ = 0;
  unsigned runs_done_ = 0;  // at full speed
  bool hinted_ = false;
  double read_rate_ = 0;  // requests a second
  double admit_ = 1;      // share of the usual traffic that is wanted
  double advertised_ = -1;
  unsigned shed_in_window_ = 0;
  duration unread_in_window_{};
  time_point waiting_since_{};                             // work has waited all the time since
  std::deque<std::pair<time_point, arrival>> late_reads_;  // keyed ones that had waited long, by time of read
  bool marked_ = false;                                    // a further try came with its mark
  double excess_ = 0;                                      // parts of 'not elsewhere' not asked for yet
  bool greeted_ = false;                                   // the actions of the constructor went out
};

namespace {

settings validated(settings given) {
  if (given.cores == 0) throw std::invalid_argument("cores: a server needs at least one");
  if (given.classes.empty()) throw std::invalid_argument("classes: at least one is needed");
  for (const class_settings& one : given.classes) {
    if (one.deadline <= 0ns) throw std::invalid_argument("classes: deadline of " + one.name + " is missing");
  }
  return given;
}

}  // namespace

policy::impl::impl(settings given, time_point now)
    : set_(validated(std::move(given))),
      tightest_objective_(tightest_objective(set_)),
      slow_start_(set_, now),
      curves_(set_, now),
      watchdog_(tightest_objective_),
      drain_(set_.drain_grace),
      now_(now),
      accounted_(now) {
  limit_ = set_.cores;
  for (const class_settings& c : set_.classes) calls_each_.push_back(c.calls_dependency ? 1 : 0);
  call_cap_ = calls_least * set_.fair_concurrent_calls;
  call_credit_ = calls_burst * call_cap_;
  units_done_ = 1;
  core_seconds_ = to_seconds(assumed_run) / speed();
  best_time_per_unit_ = to_seconds(assumed_run);
  window_end_ = now + window;
  waiting_since_ = now;
  act(set_health{true, true});
}

const std::vector<action>& policy::impl::handle(time_point now, std::span<const event> events) {
  if (greeted_) out_.clear();
  greeted_ = true;
  now_ = std::max(now_, now);
  account(now_);
  for (const event& e : events) {
    std::visit([this](const auto& what) { on(what); }, e);
  }
  guard_memory();
  wake_due();
  pass_over_calls();
  shed_hopeless();
  place_calls();
  dispatch();
  if (hold_.empty()) waiting_since_ = now_;
  schedule();
  return out_;
}

// ---- The ordinary path ----------------------------------------------------------------------------------

// A slot frees: the smallest finish tag starts, and its tenant's MinS becomes that start tag.
void policy::impl::dispatch() {
  while (!hold_.empty() && static_cast<double>(running_.size()) < std::min(limit_, crowd()) &&
         static_cast<double>(running_.size() + calls_wanted_.size() + calls_out_) < crowd() &&
         runs_room() >= 1) {
    request& r = requests_.at(hold_.begin()->second);
    if (!fits_as_run(r)) return;
    curves_.started(r.tenant, r.start_tag);
    r.ran = true;
    r.ran_since = now_;
    if (running_.empty()) watchdog_.note_progress(now_);
    move(r, phase::running);
    act(start{r.id});
    set_wake(r);
  }
}

// Walks the hold in tag order at the measured drain rate; what cannot make its aim is turned away while its
// caller can still go elsewhere. Over-curve tenants hold the largest tags and so go first.
void policy::impl::shed_hopeless() {
  const double per_unit = time_per_unit();
  // Without a share of runs nothing that is held will start: it goes at once.
  while (quota_.max_concurrent_runs >= 0 && quota_.max_concurrent_runs < 1 && !hold_.empty())
    turn_away(requests_.at(hold_.begin()->second), false, quota_.next_quota_in);
  const double slots = std::min(
      {limit_, crowd(), quota_.max_concurrent_runs < 0 ? limit_ : std::max(1.0, quota_.max_concurrent_runs)});
  double ahead = 0;
  double calls_ahead = static_cast<double>(calls_wanted_.size());
  for (const auto& [start, id] : running_) {
    const request& r = requests_.at(id);
    calls_ahead += calls_due(r);
    ahead += core_left(r, now_, per_unit);
  }
  ahead -= per_unit * std::max(0.0, slots - static_cast<double>(running_.size()));
  double taking = free_takes();
  for (auto i = hold_.begin(); i != hold_.end();) {
    request& r = requests_.at((i++)->second);
    const double own = r.work * per_unit;
    const double due = class_of(r).weight_without_call > 0 ? 0 : calls_due(r);  // else it can go without
    const double queue = due > 0 ? call_wait(calls_ahead) : 0;
    const double left = to_seconds(r.useful_until - now_);
    const bool taken = taking > 0 && left > 0 && (queue <= 0 || queue + due * round_trip_ <= left);
    if (!taken && std::max(std::max(0.0, ahead) / slots, queue) + own + due * round_trip_ > left) {
      ++shed_in_window_;
      turn_away(r, due > 0 && calls_jam() && set_.fair_concurrent_calls > 0);  // all servers share the jam
      continue;
    }
    if (taken) --taking;
    ahead += own;
    calls_ahead += due;
  }
}

// Time on the cores that a run has left, about, having run until then.
double policy::impl::core_left(const request& r, time_point until, double per_unit) const {
  const double whole = r.work * per_unit;
  return std::max(whole - to_seconds(until - r.ran_since), residual_least * whole);
}

// Core time for a unit of work: time spent over work done. A run in progress counts as partly done, by the
// time it has had, but never as done: a server whose runs stop ending looks slow at once, an idle one keeps
// what it knew. Without hints a long run may as well be a large one, so some runs at the best pace known are
// added: guards against an overloaded server that runs begun late and stopped early make look ever slower.
double policy::impl::time_per_unit() const {
  const double plain = core_seconds_ / units_done_;
  double done = units_done_;
  for (const auto& [since, id] : running_) {
    const request& r = requests_.at(id);
    const double share = to_seconds(now_ - since) / (r.work * plain);
    done += r.work * share / (1 + share);
  }
  const double prior = hinted_ ? 0 : unhinted_prior;
  return (core_seconds_ + prior * best_time_per_unit_) / (done + prior);
}

// How many held requests start at once whatever their estimate says: as many as cores are free, or one on an
// idle server that looks slow. Guards against refusing everywhere what is merely large, and against an
// estimate that cannot recover because nothing runs any more (a cold start, a trouble that has passed).
double policy::impl::free_takes() const {
  const double free = set_.cores - static_cast<double>(running_.size());
  if (time_per_unit() > locally_slow * best_time_per_unit_) return running_.empty() ? 1 : 0;
  return std::max(0.0, free);
}

// This server does far less a core than it could: whatever the cause, others are likely better off.
bool policy::impl::slow_here() const {
  const double crowding = std::max<double>(set_.cores, static_cast<double>(running_.size())) / set_.cores;
  return speed() < 1 || time_per_unit() > far_slower * best_time_per_unit_ * crowding;
}

// Whether other servers can be expected to be no better off: more is read here than this server's part of all
// quotas. Where less comes in and is still too much, the trouble is here, and so where this server is slow
// although it reads no flood, which makes runs slow by itself. Guards against refused work that walks through
// a fleet which has no room anywhere, read anew at each server.
bool policy::impl::overloaded_everywhere() {
  const double quota = curves_.total_quota();
  if (quota <= 0) return !slow_here() && admit_ < admit_low;
  if (slow_here() && read_rate_ < flooded * quota) return false;
  if (!marked_) return read_rate_ > over_quota * quota;
  // Where further tries are marked, those past their aim end by themselves (age_of) and a walk costs less:
  // ask in proportion to the excess. On a small server a few reads more are chance, and others have room.
  excess_ += std::clamp((read_rate_ / quota - 1) / excess_sure, 0.0, 1.0);
  if (excess_ < 1) return false;
  excess_ -= 1;
  return true;
}

double policy::impl::wait_ahead() const {
  double work = 0;
  for (const auto& [tag, id] : hold_) work += requests_.at(id).work;
  return work * time_per_unit() / limit_;
}

// The running limit: while cores idle and work waits it grows, once a window, by as many as the idle cores
// would take and one at least; cut only when runs grow late on busy cores; never under the core count. Guards
// many cores against idling for seconds while the limit climbs by ones and work is turned away.
void policy::impl::steer_limit(double cpu_busy) {
  if (cpu_busy < idle_below && waiting_since_ + limit_window <= now_) {
    limit_ += std::max(1.0, (1 - cpu_busy) * limit_);
    waiting_since_ = now_;
  }
  if (cpu_busy > busy_above && time_per_unit() > late_runs * best_time_per_unit_) limit_ *= limit_cut;
  limit_ = std::clamp(limit_, static_cast<double>(set_.cores), std::max<double>(set_.cores, crowd()));
}

// ---- Events ---------------------------------------------------------------------------------------------

void policy::impl::on(const arrival& a) {
  if (requests_.contains(a.id)) return;  // owed by the host: an id that is not in use
  request r;
  r.id = a.id;
  r.request_class = std::min<unsigned>(a.request_class, static_cast<unsigned>(set_.classes.size()) - 1);
  r.tenant = curves_.tenant_of(a.tenant);
  const class_settings& c = class_of(r);
  r.arrived = now_ - a.read_delay;
  const time_point due =
      a.client_timeout > 0ns ? now_ + a.client_timeout : std::max(now_, r.arrived + c.deadline);
  r.answer_by = std::min(due - answer_early - 2 * set_.tick, drain_.answer_by());
  r.useful_until = std::min(r.answer_by, r.arrived - retry_ages_.age_of(a) + objective_of(c));
  r.reserved_kb = std::max(0.0, a.reserved_kb);
  if (a.expected_work > 0ns && !hinted_) {  // units become seconds of a standard core
    hinted_ = true;
    units_done_ = to_seconds(assumed_run);
    core_seconds_ = units_done_ / speed();
    best_time_per_unit_ = 1;
  }
  r.work = hinted_ && a.expected_work > 0ns ? to_seconds(a.expected_work)
           : hinted_                        ? to_seconds(assumed_run)
                                            : 1;
  read_rate_ += 1 / read_memory;
  const bool twin = unlinked_twin(r, a);
  idle_connections_.note_arrival(a.caller, now_);
  marked_ = marked_ || a.retry;
  unread_in_window_ = std::max(unread_in_window_, a.read_delay);
  request& held = requests_.emplace(a.id, r).first->second;
  memory_kb_ += held.reserved_kb;
  const request_tags tags = curves_.tag(held.tenant, objective_of(c), now_);
  held.start_tag = tags.start;
  held.finish_tag = tags.finish;
  held.spaced = tags.spaced;
  curves_.enqueued(held.tenant);
  hold_.emplace(held.finish_tag, held.id);
  set_wake(held);
  if (a.duplicate_of != 0 && c.effect != request_effect::unsafe) {  // a repeat never gets a run of its own
    act(share_result{held.id});
    held.ran = c.effect == request_effect::keyed;  // the request may have run: no refusal from here on
    move(held, phase::sharing);
    return;
  }
  if (twin || drain_.too_late_to_run(held.arrived)) {
    turn_away(held);
    return;
  }
  const rate_decision rate = rate_quotas_.take(held.tenant, held.request_class, quota_.next_quota_in, now_);
  if (!rate.admitted) {
    turn_away(held, false, rate.retry_after);
  } else if (c.effect == request_effect::keyed || (set_.result_freshness > 0ns && a.key != 0 && !a.write)) {
    keep(held);
  }
}

void policy::impl::on(const completion& c) {
  const auto found = requests_.find(c.id);
  if (found == requests_.end()) return;
  request& r = found->second;
  if (r.where == phase::running && c.result == outcome::ok) {
    units_done_ += r.work;
    double& each = calls_each_[r.request_class];
    each += (r.calls_made - each) / calls_memory;
    watchdog_.note_progress(now_);
    if (speed() >= 1) ++runs_done_;
  }
  if (c.result == outcome::moot) curves_.refund(r.tenant, r.spaced);  // it had no service
  if (c.result == outcome::cancelled && !r.answered) act(fail{r.id, advice()});
  erase(r);
}

void policy::impl::on(const client_cancelled& d) {
  const auto found = requests_.find(d.id);
  if (found == requests_.end()) return;
  request& r = found->second;
  r.answered = true;
  release(r);
}

void policy::impl::on(const call_needed& c) {
  const auto found = requests_.find(c.id);
  if (found == requests_.end()) return;
  request& r = found->second;
  ++r.calls_made;
  r.call_failures = 0;
  r.left_core = r.call_after = now_;
  move(r, r.answered ? phase::ending : phase::call_wanted);
}

void policy::impl::on(const call_ended& c) {
  const auto found = requests_.find(c.id);
  if (found == requests_.end()) return;
  request& r = found->second;
  if (r.where != phase::at_call) return;
  if (c.result == outcome::timeout || c.result == outcome::reset)
    lingering_.insert(now_ + set_.abandoned_call_duration);
  steer_calls(c);
  if (c.result == outcome::ok) {
    r.ran_since += now_ - r.left_core;
    move(r, phase::running);
    return;
  }
  move(r, r.answered ? phase::ending : phase::call_wanted);
  if (r.answered) return;
  const bool never_ran = c.result == outcome::full || c.result == outcome::connect_failed;
  if (!never_ran && class_of(r).effect != request_effect::safe) {
    give_up(r);
    return;
  }
  // A layer that fails is asked again later and later: at once, a refusal would multiply its load.
  ++r.call_failures;
  r.call_after = now_ + from_seconds(round_trip_ * (1u << std::min(r.call_failures, 8u)) / 2);
}

void policy::impl::on(const shutdown_notice& n) {
  if (drain_.begin(n.time_left, now_)) {
    watchdog_.shut_down();
    act(set_health{false, true});
    act(log_line{"drain: notice to leave"});
  }
  for (auto& [id, r] : requests_) {
    r.answer_by = std::min(r.answer_by, std::max(now_, drain_.answer_by()));
    r.useful_until = std::min(r.useful_until, r.answer_by);
    if (!r.answered) set_wake(r);
  }
}

void policy::impl::on(const timer_fired& t) {
  if (timer_at_ <= now_) timer_at_ = duration::max();
  if (now_ >= window_end_) close_window(t);
}

void policy::impl::on(const quota_update& s) {
  quota_ = s;
  rate_quotas_.update(s.rates, now_);
}

// ---- Rates and steering, once a window ------------------------------------------------------------------

// Time of runs on the cores since the last look. A gap in which nothing was heard although a timer was due
// was a stall of this process, not slow work: it is left out.
void policy::impl::account(time_point now) {
  duration gap = now - accounted_;
  if (timer_at_ < now && now - timer_at_ > window) {
    gap = std::max(0ns, timer_at_ - accounted_);
    watchdog_.skip(now - accounted_ - gap);
  }
  read_rate_ *= std::exp(-to_seconds(gap) / read_memory);
  const double worked = to_seconds(gap) * static_cast<double>(running_.size());
  for (const auto& [since, id] : running_) {
    const double crowding = std::max(1.0, static_cast<double>(running_.size()) / set_.cores);
    watchdog_.expect_run_ends(to_seconds(gap) / (requests_.at(id).work * best_time_per_unit_ * crowding));
  }
  const double keep = std::exp(-worked / (evidence * set_.cores));
  core_seconds_ = core_seconds_ * keep + worked;
  units_done_ *= keep;
  count_calls(now);
  accounted_ = now;
  while (!lingering_.empty() && *lingering_.begin() <= now) lingering_.erase(lingering_.begin());
  while (!keys_.empty() && keys_.begin()->first <= now) {
    key_expiry_.erase(keys_.begin()->second);
    keys_.erase(keys_.begin());
    memory_kb_ -= set_.idempotency_key_kb;
  }
}

void policy::impl::close_window(const timer_fired& t) {
  double cpu_busy = 1;
  for (std::size_t i = 0; i < std::min(t.gauges.size(), set_.gauges.size()); ++i) {
    if (set_.gauges[i] == "cpu_busy") cpu_busy = t.gauges[i];
  }
  if (speed() >= 1) {
    const bool learning = runs_done_ < learn_runs * set_.cores;
    best_time_per_unit_ =
        learning ? time_per_unit() : std::min(best_time_per_unit_ * best_creep, time_per_unit());
  }
  steer_limit(cpu_busy);
  steer_intake();
  watch_progress();
  if (const auto advice = idle_connections_.evaluate(now_)) act(*advice);
  for (const auto& [since, id] : running_) {  // a stop that fell on frozen cores had no effect
    if (requests_.at(id).answered && set_.halt != halt_mode::none) act(stop_run{id});
  }
  shed_in_window_ = 0;
  unread_in_window_ = {};
  window_end_ = now_ + window;
}

// The free value, whatever callers read in it, follows one symptom: work is turned away here, or waits long
// to be read. Guards against reading costs of what will be refused anyway.
void policy::impl::steer_intake() {
  const bool pressed = shed_in_window_ > 0 || unread_in_window_ > tightest_objective_ * unread_late;
  admit_ = pressed ? std::max(admit_least, admit_ * admit_cut) : std::min(1.0, admit_ + admit_grow);
  double value = admit_;
  if (set_.signal == signal_kind::none) return;
  if (set_.signal == signal_kind::level) value = 1 - admit_;
  if (set_.signal == signal_kind::credit) {
    const double run = time_per_unit() * to_seconds(assumed_run);
    const double useful = limit_ + useful_wait * to_seconds(tightest_objective_) * limit_ / run;
    value = admit_ * credit_loose * useful / std::max(1u, set_.callers);
  }
  if (drain_.active()) value = set_.signal == signal_kind::level ? 1 : 0;
  if (std::abs(value - advertised_) < 1e-3) return;
  advertised_ = value;
  act(advertise{value});
}

// ---- Guards ---------------------------------------------------------------------------------------------

void policy::impl::watch_progress() {
  const std::optional<health> changed = watchdog_.evaluate(running_.empty(), drain_.active(), now_);
  if (!changed) return;
  const bool good = *changed == health::good;
  act(set_health{good, true});
  act(log_line{good ? "health: runs end again" : "health: no run has ended for a whole aim"});
}

// The crowd on the cores that is survivable now, with margin: guards against the fall of a crowded server.
double policy::impl::crowd() const {
  if (set_.concurrency_ceiling_per_core <= 0) return 4.0 * set_.cores;
  const double survivable = (1 + (set_.concurrency_ceiling_per_core - 1) * speed()) * set_.cores;
  const double whole = std::min(std::ceil(crowd_margin * survivable), std::floor(crowd_most * survivable));
  return std::max<double>(set_.cores, whole);
}

// A start multiplies a request's memory and cannot be taken back everywhere: guards against runs that fill
// the memory, with nothing left in the hold to turn away. Holds for large requests and many keys too.
bool policy::impl::fits_as_run(const request& r) const {
  return set_.memory_kb <= 0 ||
         memory_kb_ + r.reserved_kb * (set_.running_memory_factor - 1) <= run_margin * set_.memory_kb;
}

// Runs that may still start under the share: every one that was handed out counts until its end, also at a
// call, stopped or no longer waited for.
double policy::impl::runs_room() const {
  if (quota_.max_concurrent_runs < 0) return 1;
  const auto out = std::count_if(requests_.begin(), requests_.end(),
                                 [this](const auto& r) { return occupies(r.second.where); });
  return quota_.max_concurrent_runs - static_cast<double>(out);
}

// Guards the memory after each batch: the largest finish tags go first.
void policy::impl::guard_memory() {
  if (set_.memory_kb <= 0) return;
  while (memory_kb_ > memory_margin * set_.memory_kb && !hold_.empty()) {
    ++shed_in_window_;
    turn_away(requests_.at(hold_.rbegin()->second));
  }
}

// A keyed try that came while an earlier one stood here unread, half an aim or more: no entry can link the
// two. Where further tries are marked it is known as one, else by its caller. It is turned away, as both
// might run. Guards against two effects after a stall, a full intake or slow reads; hurts where it is another
// request.
bool policy::impl::unlinked_twin(const request& r, const arrival& a) {
  const class_settings& c = class_of(r);
  if (c.effect != request_effect::keyed) return false;
  const duration least = from_seconds(to_seconds(objective_of(c)) * try_least);
  while (!late_reads_.empty() && late_reads_.front().first + c.idempotency_window < now_)
    late_reads_.pop_front();
  const bool twin = std::any_of(late_reads_.begin(), late_reads_.end(), [&](const auto& l) {
    const bool same = a.retry || (!marked_ && l.second.caller == a.caller);
    return same && l.first >= r.arrived && l.first - l.second.read_delay + least <= r.arrived;
  });
  if (a.read_delay >= least) late_reads_.emplace_back(now_, a);
  return twin && a.duplicate_of == 0;
}

// Keeps the key of a request before it can run, so that no repeat gets a run of its own. When the table would
// take too much memory the request is turned away; no key is forgotten.
void policy::impl::keep(request& r) {
  const duration life =
      class_of(r).effect == request_effect::keyed ? class_of(r).idempotency_window : set_.result_freshness;
  const time_point until = r.arrived + life + 2 * set_.tick;
  if (set_.memory_kb > 0 &&
      set_.idempotency_key_kb * static_cast<double>(keys_.size() + 1) > keys_margin * set_.memory_kb) {
    if (class_of(r).effect == request_effect::keyed) turn_away(r);
    return;
  }
  act(retain_key{r.id, until - now_});
  keys_.emplace(until, r.id);
  key_expiry_[r.id] = until;
  memory_kb_ += set_.idempotency_key_kb;
}

// Calls in hand stay under this server's share of what the dependency survives, at any moment and in the mean
// over its very period; a call is given up when it would use up the share alone. One call may always be out
// while the share has room. Guards against the fall of the shared dependency, also where the share is a part
// of one call and all calls grow slow at once. Within that, the mean in hand follows call_cap_.
void policy::impl::place_calls() {
  const double share = set_.fair_concurrent_calls > 0 ? set_.fair_concurrent_calls * calls_margin : 1e9;
  const double budget = share * std::max(to_seconds(set_.calls_period), to_seconds(set_.tick));
  for (auto i = calls_wanted_.begin(); i != calls_wanted_.end();) {
    const double out = static_cast<double>(calls_out_ + lingering_.size());
    const double left = budget - calls_sum_;
    if (out + 1 > std::max(1.0, share) || left < call_room * budget) break;
    if (set_.fair_concurrent_calls > 0 && call_credit_ < static_cast<double>(calls_out_) * round_trip_) break;
    request& r = requests_.at((i++)->second);
    if (r.call_after > now_) continue;
    move(r, phase::at_call);
    duration limit = std::min(r.answer_by - now_, from_seconds(left / (out + 1)));
    const duration rest = from_seconds(core_left(r, r.left_core, time_per_unit()));
    if (class_of(r).weight_without_call > 0 && now_ + rest < r.useful_until)
      limit = std::min(limit, r.useful_until - now_ - rest);  // in time to go on without it
    act(place_call{r.id, std::max<duration>(limit, set_.tick)});
  }
}

// The mean of calls in hand that is meant: grown by a part of the share for each call that comes back in
// about the best time while others wait, cut when round trips grow. Guards against a dependency that slows in
// its crowd long before it falls, and against all servers spending their share at once and then waiting for
// the period together. Holds for any slow layer below; it hurts where slow calls cost that layer nothing.
void policy::impl::steer_calls(const call_ended& c) {
  if (c.result != outcome::ok && c.result != outcome::timeout) return;
  const double age = to_seconds(now_ - call_seen_at_) / calls_memory_s;
  const double weight = calls_seen_ == 0 ? 1 : std::clamp(age, 1 / calls_memory, 0.5);
  const double gone = to_seconds(c.elapsed) - round_trip_;  // a short limit tells nothing
  round_trip_ += (c.result == outcome::ok ? gone : std::max(0.0, gone)) * weight;
  call_seen_at_ = now_;
  if (++calls_seen_ <= calls_memory) best_round_trip_ = round_trip_;
  const double better = best_round_trip_ - round_trip_;
  best_round_trip_ -= better > 0 ? better * calls_settle : -best_round_trip_ * calls_creep;
  if (++calls_since_cut_ >= 2 && calls_jam()) call_cap_ *= calls_cut, calls_since_cut_ = 0;
  if (!calls_jam() && !calls_wanted_.empty()) call_cap_ += calls_grow * set_.fair_concurrent_calls;
  call_cap_ = std::clamp(call_cap_, calls_least * set_.fair_concurrent_calls,
                         calls_margin * set_.fair_concurrent_calls);
}

// Seconds until a call may be placed that has so many before it: what those out and those ahead will use,
// less what is saved up, at the pace of the cap.
double policy::impl::call_wait(double ahead) const {
  if (set_.fair_concurrent_calls <= 0 || call_cap_ <= 0) return 0;
  return std::max(0.0, (calls_out_ + ahead) * round_trip_ - call_credit_) / call_cap_;
}

bool policy::impl::calls_jam() const {
  return round_trip_ > calls_late * best_round_trip_;
}

double policy::impl::calls_due(const request& r) const {
  return std::max(0.0, calls_each_[r.request_class] - r.calls_made);
}

// What waits for a call that cannot come in time goes on without it where that keeps worth, else gets its
// answer at once and makes room. While calls are slow, what can go without never waits: the calls are for
// those that cannot. Guards against a queue for calls in which all grow late together.
void policy::impl::pass_over_calls() {
  double before = 0;
  const double per_unit = time_per_unit();
  for (auto i = calls_wanted_.begin(); i != calls_wanted_.end();) {
    request& r = requests_.at((i++)->second);
    const class_settings& c = class_of(r);
    const bool alone = calls_wanted_.size() == 1 && c.late_weight > 0;
    const time_point end = alone ? r.answer_by : r.useful_until;
    const double wait = std::max(call_wait(before), to_seconds(r.call_after - now_));
    const bool in_time = now_ + from_seconds(wait + round_trip_) <= end;
    const duration rest = from_seconds(core_left(r, r.left_core, per_unit));
    const bool better_without = now_ + rest <= end && now_ + rest + from_seconds(wait + round_trip_) > end;
    const bool skips = c.weight_without_call > 0 && (better_without || (calls_jam() && wait > 0));
    if (r.call_failures < call_tries && in_time && !skips) {
      before += 1;
    } else if (c.weight_without_call > 0) {
      act(skip_call{r.id});
      r.ran_since += now_ - r.left_core;
      move(r, phase::running);
    } else {
      give_up(r);
    }
  }
}

// Calls in hand times the seconds that they were, over the last period of the dependency.
void policy::impl::count_calls(time_point now) {
  const double used = static_cast<double>(calls_out_ + lingering_.size()) * to_seconds(now - accounted_);
  const double saved = call_credit_ + call_cap_ * to_seconds(now - accounted_) - used;
  call_credit_ = std::clamp(saved, -calls_debt * call_cap_, calls_burst * call_cap_);
  if (used > 0) {
    calls_used_.emplace_back(now, used);
    calls_sum_ += used;
  }
  while (!calls_used_.empty() && calls_used_.front().first <= now - set_.calls_period) {
    calls_sum_ -= calls_used_.front().second;
    calls_used_.pop_front();
  }
  if (calls_used_.empty()) calls_sum_ = 0;
}

// When a request wants a look: in the hold and at a call its answer's time; on a core also the end of its
// use, where a stop is possible.
void policy::impl::set_wake(request& r) {
  wakes_.erase({r.wake, r.id});
  r.wake = r.answer_by;
  if (occupies(r.where) && class_of(r).late_weight <= 0 && set_.halt != halt_mode::none)
    r.wake = r.useful_until;
  wakes_.emplace(r.wake, r.id);
}

// Every request gets its answer before it is due, whatever it is at: guards against lost requests.
void policy::impl::wake_due() {
  while (!wakes_.empty() && wakes_.begin()->first <= now_) {
    request& r = requests_.at(wakes_.begin()->second);
    if (r.ran) {
      give_up(r);
    } else {
      turn_away(r);
    }
  }
}

// ---- Answers and book-keeping ---------------------------------------------------------------------------

// Turns away a request that never ran, and frees its key.
void policy::impl::turn_away(request& r, bool no_use, duration at_least) {
  reject a{r.id, 0ns, false};
  if (drain_.active()) {
    a.retry_after = set_.max_retry_after;
  } else {
    a.retry_after = std::min(set_.max_retry_after, std::max(advice(), at_least));
    a.no_retry_elsewhere = no_use || overloaded_everywhere() ||
                           r.useful_until <= now_;  // where its aim has gone by: no use elsewhere
  }
  act(a);
  r.answered = true;
  curves_.refund(r.tenant, r.spaced);
  release(r);
}

// Answers with a failure a request that may have run, and stops its run.
void policy::impl::give_up(request& r) {
  act(fail{r.id, drain_.active() ? set_.max_retry_after : advice()});
  r.answered = true;
  release(r);
}

// Nobody waits any longer: a held request is gone at once, a run is stopped where it can be and counts until
// its completion is reported.
void policy::impl::release(request& r) {
  wakes_.erase({r.wake, r.id});
  if (!occupies(r.where)) {
    if (const auto k = key_expiry_.find(r.id); k != key_expiry_.end() && !r.ran) {
      act(forget_key{r.id});
      keys_.erase({k->second, r.id});
      key_expiry_.erase(k);
      memory_kb_ -= set_.idempotency_key_kb;
    }
    erase(r);
    return;
  }
  if (r.where == phase::call_wanted)
    move(r, phase::ending);  // off the cores: it ends by itself, and never calls
  if (set_.halt != halt_mode::none) act(stop_run{r.id});
}

void policy::impl::erase(request& r) {
  if (r.where == phase::at_call) lingering_.insert(now_ + set_.abandoned_call_duration);
  wakes_.erase({r.wake, r.id});
  move(r, phase::sharing);
  memory_kb_ -= weight_kb(r);
  requests_.erase(r.id);
}

// The only place that changes where a request is, and so all counts.
void policy::impl::move(request& r, phase to) {
  memory_kb_ -= weight_kb(r);
  switch (r.where) {
    case phase::held:
      hold_.erase({r.finish_tag, r.id});
      curves_.dequeued(r.tenant);
      break;
    case phase::running: running_.erase({r.ran_since, r.id}); break;
    case phase::call_wanted: calls_wanted_.erase({r.finish_tag, r.id}); break;
    case phase::at_call: --calls_out_; break;
    case phase::ending:
    case phase::sharing: break;
  }
  r.where = to;
  switch (to) {
    case phase::running: running_.emplace(r.ran_since, r.id); break;
    case phase::call_wanted: calls_wanted_.emplace(r.finish_tag, r.id); break;
    case phase::at_call: ++calls_out_; break;
    case phase::held:
    case phase::ending:
    case phase::sharing: break;
  }
  memory_kb_ += weight_kb(r);
}

// One timer, for the nearest thing to come.
void policy::impl::schedule() {
  time_point next = window_end_;
  if (!wakes_.empty()) next = std::min(next, wakes_.begin()->first);
  if (!calls_wanted_.empty()) next = std::min(next, now_ + call_look);
  next = std::max(next, now_ + set_.tick);
  if (next >= timer_at_) return;
  timer_at_ = next;
  act(set_timer{next - now_});
}

policy::policy(settings given, std::uint64_t, time_point now)
    : impl_(std::make_unique<impl>(std::move(given), now)) {}
policy::~policy() = default;
policy::policy(policy&&) noexcept = default;
policy& policy::operator=(policy&&) noexcept = default;

const std::vector<action>& policy::handle(time_point now, std::span<const event> events) {
  return impl_->handle(now, events);
}

}  // namespace admission_policy
