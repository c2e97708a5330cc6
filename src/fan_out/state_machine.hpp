// Decides on the calls of all requests that gather parts: which goes where and when, how often, how long it
// is waited for, and what stands in. Free of I/O; time and randomness are handed in. Facts go in (begin,
// on_result, cancel, step), actions come out in their order (pick). One thread at a time.
//
// What it promises, whatever comes: one `finished` for each gathering that was not cancelled, no later than
// its end; no call is waited for past its budget; further attempts and second copies stay within their
// shares; calls in flight within each dependency's limit; whatever call is still out when its part has come
// or its gathering is over is cancelled.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fan_out/response_cache.hpp"
#include "upstream/adaptive_limit.hpp"
#include "upstream/endpoint_set.hpp"
#include "upstream/latency_estimator.hpp"
#include "upstream/plan.hpp"
#include "upstream/retry_budget.hpp"

namespace marblewharf::fan_out {

using gathering_id = std::uint32_t;
using call_id = std::uint64_t;

// How a call ended.
enum class call_end {
  good,
  failed,   // it says so, cannot be read, or hung up
  not_now,  // it asked to be left alone for a while, and did nothing
};

enum class part_is { missing, fresh, stale, stand_in };
struct part_result {
  part_is how = part_is::missing;
  duration age{};  // stale
  std::string bytes;
};

struct start_call {
  call_id id = 0;
  gathering_id gathering = 0;
  std::size_t dependency = 0;
  std::size_t endpoint = 0;
  duration budget{};  // what is left for it
};
struct cancel_call {
  call_id id = 0;
};
struct finished {
  gathering_id id = 0;
  bool complete = false;           // all parts are fresh
  int lacks = -1;                  // the required part that is missing: the answer is a failure
  std::vector<part_result> parts;  // in the order of the plan
};
struct notable {
  std::size_t dependency = 0;
  std::string what;
};  // for the log
using action = std::variant<start_call, cancel_call, finished, notable>;

struct dependency_counts {
  std::uint64_t calls = 0, retries = 0, hedges = 0, good = 0, failed = 0, late = 0, not_now = 0;
  std::uint64_t no_room = 0;                                      // parts that the limit let wait in vain
  std::uint64_t held_out = 0;                                     // times that an endpoint was
  std::uint64_t fresh = 0, stale = 0, stand_in = 0, missing = 0;  // parts
  std::chrono::nanoseconds stale_age{};                           // of the stale parts, together
  std::chrono::nanoseconds spent{};                               // in calls
  std::array<std::uint64_t, failover::levels> at_level{};         // calls by nearness, where places are known
};

class state_machine {
 public:
  // Plans and rules that check_plans() takes.
  state_machine(std::vector<upstream::request_plan> plans, std::vector<upstream::dependency_rules> rules,
                std::size_t cache_bytes, std::uint64_t seed);

  // `subject`: what the request is about, for stale parts. `by`: when `finished` is wanted at the latest.
  void begin(gathering_id id, std::size_t which, std::uint64_t subject, time_point by, time_point now);
  void on_result(call_id id, call_end how, std::string bytes, duration come_back, time_point now);
  void cancel(gathering_id id, time_point now);  // its caller has gone: no `finished`
  void step(time_point now);
  time_point due() const { return timers_.empty() ? time_point::max() : timers_.begin()->first; }

  // Whether calls may go to an endpoint, as the view of the fleet has it (its zone declared out, its member
  // suspected).
  void set_reachable(std::size_t dependency, std::size_t endpoint, bool reachable) {
    dependencies_[dependency].where.set_reachable(endpoint, reachable);
  }

  // A bound beside the limit that adapts: this node's share of calls that a fleet divides. Below one, parts
  // are not waited for: what stands in does so at once.
  void set_share(std::size_t dependency, double most) { dependencies_[dependency].share = most; }
  std::size_t waiting(std::size_t of) const { return dependencies_[of].waiting.size(); }

  std::optional<action> pick();

  const upstream::request_plan& plan_at(std::size_t i) const { return plans_[i]; }
  // By dependency.
  const dependency_counts& counts(std::size_t of) const { return dependencies_[of].counts; }
  unsigned allowed(std::size_t of) const { return dependencies_[of].allowed(); }
  unsigned in_flight(std::size_t of) const { return dependencies_[of].in_flight; }
  const upstream::endpoint_set& endpoints_of(std::size_t of) const { return dependencies_[of].where; }
  std::size_t open() const { return gatherings_.size(); }

 private:
  struct source {
    upstream::dependency_rules rules;
    upstream::endpoint_set where;
    upstream::adaptive_limit limit;
    upstream::latency_estimator times;
    upstream::retry_budget retries, hedges;
    unsigned in_flight = 0;
    std::deque<std::pair<gathering_id, std::size_t>> waiting;  // parts, for room in flight
    dependency_counts counts;
    double share = std::numeric_limits<double>::infinity();
    unsigned allowed() const {
      return share < limit.allowed() ? static_cast<unsigned>(share) : limit.allowed();
    }
  };
  struct part_run {
    bool done = false;
    std::size_t step = 0;                  // 0 = its dependency, then its stand-ins
    std::size_t from = 0;                  // the dependency of this step
    unsigned tries = 0;                    // of this step
    time_point give_up{};                  // of this step
    bool waits = false;                    // in the dependency's queue
    std::optional<std::size_t> not_there;  // the endpoint that failed last
    std::vector<call_id> calls;            // in flight
    part_result result;
  };
  struct gathering {
    std::size_t plan = 0;
    std::uint64_t subject = 0;
    time_point by{};
    std::size_t open = 0;  // parts
    std::vector<part_run> parts;
  };
  struct call {
    gathering_id gathering = 0;
    std::size_t part = 0;
    std::size_t dependency = 0;
    std::size_t endpoint = 0;
    time_point begun{};
  };
  enum class timer { call_over, hedge, try_again, part_over };
  struct due_timer {
    timer what{};
    call_id call = 0;            // call_over, hedge
    gathering_id gathering = 0;  // try_again, part_over
    std::size_t part = 0;
  };

  gathering* find(gathering_id id);
  void place(gathering_id id, std::size_t part, time_point now);
  void start(gathering_id id, std::size_t part, std::size_t endpoint, time_point now);
  void begin_step(gathering_id id, std::size_t part, time_point now);
  void next_step(gathering_id id, std::size_t part, time_point now);
  void after_failure(gathering_id id, std::size_t part, std::size_t endpoint, time_point now);
  void settle(gathering_id id, std::size_t part, part_result result, time_point now);
  void end_call(std::map<call_id, call>::iterator at, time_point now, upstream::call_outcome outcome);
  void cancel_calls(part_run& p, time_point now);
  void finish(gathering_id id, int lacks, time_point now);
  void admit_waiting(std::size_t dependency, time_point now);
  void admit_all(time_point now);
  void send_copy(call_id id, time_point now);
  // Not the median of many: after a stall that would keep calls back long after the dependency is well.
  duration expected(const source& d) const { return d.times.recent(); }
  void note_changes(std::size_t dependency);

  std::vector<upstream::request_plan> plans_;
  std::vector<source> dependencies_;
  response_cache cache_;
  std::mt19937_64 random_;
  std::unordered_map<gathering_id, gathering> gatherings_;
  std::map<call_id, call> calls_;
  std::multimap<time_point, due_timer> timers_;
  std::deque<action> actions_;
  call_id last_call_ = 0;
};

}  // namespace marblewharf::fan_out
