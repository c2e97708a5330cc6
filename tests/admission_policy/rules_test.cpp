// Checks the guarantees of the policy under random but valid events: each request gets one answer in time, no
// run is duplicated, memory, runs and calls stay within their limits, and the shutdown is clean. The
// simulated host checks every action against its own view of the requests. Seeds are fixed. The quality of
// the decisions is not rated.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <string>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

enum class stage { queued, running, awaiting_call, in_call, sharing };

struct host_request {
  request_id id{};
  request_id first_attempt{};  // id of the first attempt; equal to `id` unless this is a later attempt
  unsigned request_class{};
  stage current_stage = stage::queued;
  time_point arrived{};
  time_point due{};
  time_point run_end{};   // when the run leaves the core
  time_point call_end{};  // when the call returns
  outcome call_result = outcome::ok;
  unsigned calls_left = 0;
  unsigned starts = 0;
  double reserved_kb{};
  unsigned caller{};
  bool answered = false;
  bool cancelled = false;
  bool call_may_have_run = false;
};

// A host with random work. Tracks its requests and reports the first rule that an action violates.
class random_host {
 public:
  random_host(settings policy_settings, std::uint64_t seed)
      : settings_(std::move(policy_settings)), random_(seed), policy_(settings_, seed, now_) {
    apply(policy_.handle(now_, {}));
  }

  std::string run(unsigned steps) {
    for (unsigned index = 0; index < steps && violation_.empty(); ++index) step(index);
    const bool stops = stop_time_ > 0ns;
    for (; violation_.empty() && (stops ? now_ < stop_time_ : !requests_.empty() && now_ < last_due_ + 60s);)
      step(steps);
    for (const auto& [id, request] : requests_) {
      if (stops && !request.answered && !request.cancelled)
        report_violation("drain: request not answered at the stop", id);
    }
    return violation_;
  }
  unsigned starts() const { return starts_; }

 private:
  unsigned below(unsigned bound) { return static_cast<unsigned>(random_() % bound); }
  void report_violation(const std::string& rule, request_id id) {
    if (violation_.empty())
      violation_ = rule + " (request " + std::to_string(id) + " at " + std::to_string(now_.count()) + ")";
  }

  void step(unsigned index) {
    now_ += settings_.tick * (1 + below(30));
    if (timer_due_ && *timer_due_ < now_) {
      const time_point on_time = std::max(last_batch_time_ + settings_.tick, *timer_due_);
      if (below(50) != 0 || on_time > now_) {
        now_ = on_time;
      } else {  // The process stalls; the stall extends the due times.
        for (auto& [id, request] : requests_) request.due += now_ - on_time;
      }
    }
    std::vector<event> batch;
    if (timer_due_ && *timer_due_ <= now_) {
      timer_due_.reset();
      batch.emplace_back(timer_fired{{below(101) / 100.0, 0.5}});
    }
    collect_host_events(batch);
    const bool draining = stop_time_ > 0ns;
    if (index < 2000 && below(3) != 0) {
      for (unsigned arrivals = below(below(20) == 0 ? 30 : 3); arrivals > 0; --arrivals)
        batch.emplace_back(make_arrival());
    }
    if (index == 1500 && !draining && below(2) == 0) {
      stop_time_ = now_ + 3s;
      notice_time_ = now_;
      batch.emplace_back(shutdown_notice{3s});
    }
    if (!batch.empty()) {
      last_batch_time_ = now_;
      apply(policy_.handle(now_, batch));
    }
    check_limits();
  }

  arrival make_arrival() {
    arrival attempt;
    attempt.id = ++last_id_;
    attempt.request_class = below(static_cast<unsigned>(settings_.classes.size()));
    attempt.tenant = below(4);
    attempt.caller = below(40);
    attempt.reserved_kb = 5 + below(20);
    attempt.read_delay = settings_.tick * below(below(10) == 0 ? 900 : 20);
    attempt.expected_work = below(2) == 0 ? duration{0} : 50ms * (1 + below(10));
    const class_settings& its_class = settings_.classes[attempt.request_class];
    host_request created;
    created.first_attempt = attempt.id;
    if (its_class.effect == request_effect::keyed && !retained_keys_.empty() &&
        below(4) == 0) {  // a duplicate of a request whose key is retained
      const auto original =
          std::next(retained_keys_.begin(), below(static_cast<unsigned>(retained_keys_.size())));
      const time_point arrived = now_ - attempt.read_delay;
      if (original->second.request_class == attempt.request_class &&
          original->second.retained_at <= arrived && arrived < original->second.expiry) {
        attempt.duplicate_of = original->second.id;
        attempt.retry = true;
        created.first_attempt = original->first;
      }
    }
    // Otherwise, sometimes makes the attempt a retry that arrived before its first attempt was read, so that
    // no key links the two.
    if (its_class.effect == request_effect::keyed && attempt.duplicate_of == 0 && below(3) == 0) {
      for (const auto& [first_id, original] : retained_keys_) {
        const time_point arrived = now_ - attempt.read_delay;
        if (original.request_class != attempt.request_class || arrived >= original.retained_at ||
            arrived < original.arrived + its_class.latency_objective / 2)
          continue;
        attempt.retry = true;
        attempt.caller = original.caller;
        created.first_attempt = first_id;
        break;
      }
    }
    if (below(3) == 0) attempt.client_timeout = settings_.tick * (1 + below(4000));
    created.id = attempt.id;
    created.request_class = attempt.request_class;
    created.arrived = now_ - attempt.read_delay;
    created.due = (attempt.client_timeout > 0ns ? now_ + attempt.client_timeout
                                                : std::max(now_, created.arrived + its_class.deadline)) +
                  settings_.answer_slack;
    created.reserved_kb = attempt.reserved_kb;
    created.caller = attempt.caller;
    created.calls_left = its_class.calls_dependency ? below(4) : 0;
    last_due_ = std::max(last_due_, created.due);
    requests_[created.id] = created;
    return attempt;
  }

  // Adds the events that the host causes: ends of runs, needed calls, ends of calls and cancelled clients.
  void collect_host_events(std::vector<event>& batch) {
    std::vector<request_id> ended_ids;
    for (auto& [id, request] : requests_) {
      if (request.current_stage == stage::running && request.run_end <= now_) {
        if (request.calls_left > 0) {
          --request.calls_left;
          if (request.answered || request.cancelled) {
            batch.emplace_back(completion{id, outcome::cancelled, 1ms});
            ended_ids.push_back(id);
          } else {
            request.current_stage = stage::awaiting_call;
            request.call_may_have_run = false;
            batch.emplace_back(call_needed{id});
          }
        } else {
          batch.emplace_back(completion{id, below(20) == 0 ? outcome::error : outcome::ok, 1ms});
          ended_ids.push_back(id);
        }
      } else if (request.current_stage == stage::in_call && request.call_end <= now_) {
        if (request.answered || request.cancelled) {
          batch.emplace_back(completion{id, outcome::cancelled, 1ms});
          ended_ids.push_back(id);
          continue;
        }
        batch.emplace_back(call_ended{id, request.call_result, 1ms});
        request.call_may_have_run =
            request.call_result != outcome::full && request.call_result != outcome::connect_failed;
        request.current_stage = request.call_result == outcome::ok ? stage::running : stage::awaiting_call;
        request.run_end = now_ + settings_.tick * (1 + below(100));
      } else if (request.current_stage == stage::sharing && below(40) == 0) {
        batch.emplace_back(completion{id, below(3) == 0 ? outcome::error : outcome::ok, 1ms});
        ended_ids.push_back(id);
      } else if (!request.answered && below(400) == 0) {
        request.cancelled = true;
        batch.emplace_back(client_cancelled{id});
        if (request.current_stage == stage::queued || request.current_stage == stage::sharing)
          ended_ids.push_back(id);
      }
    }
    for (const request_id id : ended_ids) requests_.erase(id);
    if (below(100) == 0)
      batch.emplace_back(completion{last_id_ + 7, outcome::ok, 1ms});  // for an unknown request
    if (below(100) == 0) batch.emplace_back(call_ended{last_id_ + 7, outcome::ok, 1ms});
    for (auto key = retained_keys_.begin(); key != retained_keys_.end();)
      key = key->second.expiry <= now_ ? retained_keys_.erase(key) : std::next(key);
  }

  host_request* find_request(request_id id, const char* action_name) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) return &found->second;
    if (id == 0 || id > last_id_)
      report_violation(std::string(action_name) + " of a request that was never read", id);
    return nullptr;
  }

  void apply(const std::vector<action>& actions) {
    for (const action& decided : actions) std::visit([this](const auto& applied) { on(applied); }, decided);
    std::vector<request_id> ended_ids;
    for (const auto& [id, request] : requests_) {
      const bool waits = request.current_stage == stage::queued || request.current_stage == stage::sharing ||
                         request.current_stage == stage::awaiting_call;
      if ((request.answered || request.cancelled) && waits) ended_ids.push_back(id);
    }
    for (const request_id id : ended_ids) {
      if (requests_.at(id).current_stage == stage::awaiting_call)
        pending_completions_.push_back(completion{id, outcome::cancelled, 1ms});
      requests_.erase(id);
    }
    if (!pending_completions_.empty()) {
      const std::vector<event> batch = std::exchange(pending_completions_, {});
      apply(policy_.handle(now_, batch));
    }
  }

  void answer(host_request& request, const char* action_name) {
    if (request.answered || request.cancelled)
      report_violation(std::string(action_name) + ": the request has already been answered or cancelled",
                       request.id);
    if (now_ > request.due) report_violation(std::string(action_name) + ": the answer is late", request.id);
    request.answered = true;
  }
  void on(const start& applied) {
    host_request* request = find_request(applied.id, "start");
    if (request == nullptr) return;
    const request_effect effect = settings_.classes[request->request_class].effect;
    if (request->current_stage != stage::queued || request->answered)
      report_violation("start: the request is not queued", applied.id);
    if (++request->starts > 1 && effect != request_effect::safe)
      report_violation("duplicate: a request that is not safe started twice", applied.id);
    if (effect == request_effect::keyed && !started_keyed_.insert({request->first_attempt, 1}).second)
      report_violation("duplicate: two attempts of a keyed request ran", applied.id);
    if (notice_time_ > 0ns && request->arrived > notice_time_ + settings_.drain_grace)
      report_violation("drain: a request ran that arrived after the grace period", applied.id);
    request->current_stage = stage::running;
    request->run_end = now_ + settings_.tick * (1 + below(500));
    ++starts_;
  }
  void on(const stop_run& applied) {
    if (settings_.halt == halt_mode::none) report_violation("stop: runs cannot be stopped", applied.id);
    host_request* request = find_request(applied.id, "stop");
    if (request == nullptr || below(10) == 0) return;  // the stop has no effect
    if (!request->answered && !request->cancelled)
      report_violation("stop: the request still needs an answer", applied.id);
    if (request->current_stage == stage::running || request->current_stage == stage::in_call) {
      pending_completions_.push_back(completion{applied.id, outcome::cancelled, 1ms});
      requests_.erase(applied.id);
    }
  }
  void on(const reject& applied) {
    host_request* request = find_request(applied.id, "reject");
    if (request == nullptr) return;
    if (request->starts > 0 && settings_.classes[request->request_class].effect != request_effect::safe)
      report_violation("duplicate: a request was rejected after its run had started", applied.id);
    if (request->current_stage == stage::sharing)
      report_violation("duplicate: a duplicate that shares a result was rejected", applied.id);
    answer(*request, "reject");
  }
  void on(const fail& applied) {
    if (host_request* request = find_request(applied.id, "fail")) answer(*request, "fail");
  }
  void on(const place_call& applied) {
    host_request* request = find_request(applied.id, "call");
    if (request == nullptr) return;
    if (request->current_stage != stage::awaiting_call)
      report_violation("call: the run does not wait for a call", applied.id);
    if (request->call_may_have_run &&
        settings_.classes[request->request_class].effect != request_effect::safe)
      report_violation("duplicate: a call was retried that may have had an effect", applied.id);
    request->current_stage = stage::in_call;
    const duration call_duration = settings_.tick * (1 + below(below(5) == 0 ? 2000 : 50));
    const bool late = applied.limit > 0ns && call_duration > applied.limit;
    request->call_end = now_ + (late ? applied.limit : call_duration);
    constexpr outcome outcomes[] = {outcome::ok,   outcome::ok,    outcome::ok,
                                    outcome::ok,   outcome::ok,    outcome::error,
                                    outcome::full, outcome::reset, outcome::connect_failed};
    request->call_result = late ? outcome::timeout : outcomes[below(std::size(outcomes))];
  }
  void on(const skip_call& applied) {
    host_request* request = find_request(applied.id, "skip");
    if (request == nullptr) return;
    if (settings_.classes[request->request_class].weight_without_call <= 0)
      report_violation("skip: the class has no weight without its call", applied.id);
    if (request->current_stage != stage::awaiting_call)
      report_violation("skip: the run does not wait for a call", applied.id);
    request->current_stage = stage::running;
    request->run_end = now_ + settings_.tick * (1 + below(100));
  }
  void on(const retain_key& applied) {
    const host_request* request = find_request(applied.id, "retain");
    if (request == nullptr) return;
    const class_settings& its_class = settings_.classes[request->request_class];
    if (its_class.effect == request_effect::keyed &&
        now_ + applied.ttl < request->arrived + its_class.idempotency_window)
      report_violation("keys: a key is retained for less than the idempotency window", applied.id);
    retained_keys_[request->first_attempt] = {
        request->id, request->request_class, request->caller, request->arrived, now_, now_ + applied.ttl};
  }
  void on(const forget_key& applied) {
    for (auto key = retained_keys_.begin(); key != retained_keys_.end();)
      key = key->second.id == applied.id ? retained_keys_.erase(key) : std::next(key);
    if (started_keyed_.contains(applied.id))
      report_violation("duplicate: the key of a request that ran was forgotten", applied.id);
  }
  void on(const share_result& applied) {
    host_request* request = find_request(applied.id, "share");
    if (request == nullptr) return;
    if (request->first_attempt == request->id)
      report_violation("share: the request is not a duplicate", applied.id);
    request->current_stage = stage::sharing;
  }
  void on(const set_timer& applied) {
    if (applied.after < settings_.tick) report_violation("timer: shorter than a tick", 0);
    if (!timer_due_ || now_ + applied.after < *timer_due_) timer_due_ = now_ + applied.after;
  }
  void on(const advertise& applied) {
    if (settings_.signal == signal_kind::none || applied.value < 0)
      report_violation("advertise: invalid value", 0);
  }
  void on(const set_health&) {}
  void on(const close_idle&) {}
  void on(const log_line&) {}

  void check_limits() {
    double used_kb = settings_.idempotency_key_kb * static_cast<double>(retained_keys_.size());
    double calls = 0;
    unsigned runs = 0;
    for (const auto& [id, request] : requests_) {
      const bool not_started =
          request.current_stage == stage::queued || request.current_stage == stage::sharing;
      used_kb += request.reserved_kb * (not_started ? 1 : settings_.running_memory_factor);
      runs += request.current_stage == stage::running ? 1 : 0;
      calls += request.current_stage == stage::in_call ? 1 : 0;
      if (!request.answered && !request.cancelled && now_ > request.due)
        report_violation("lost: the request was not answered in time", id);
    }
    if (used_kb > settings_.memory_kb) report_violation("overload: memory limit exceeded", 0);
    const double elapsed_fraction =
        std::chrono::duration<double>(now_ - policy_harness::origin) / settings_.slow_start_duration;
    const double speed = settings_.cold_start
                             ? std::min(1.0, settings_.cold_start_capacity +
                                                 (1 - settings_.cold_start_capacity) * elapsed_fraction)
                             : 1;
    if (runs > (1 + (settings_.concurrency_ceiling_per_core - 1) * speed) * settings_.cores + 1e-9)
      report_violation("overload: too many concurrent runs", 0);
    if (settings_.fair_concurrent_calls > 0 && calls > std::max(1.0, settings_.fair_concurrent_calls))
      report_violation("overload: too many calls in flight", 0);
  }

  struct retained_key {
    request_id id{};
    unsigned request_class{};
    unsigned caller{};
    time_point arrived{};
    time_point retained_at{};
    time_point expiry{};
  };

  settings settings_;
  std::mt19937_64 random_;
  time_point now_ = policy_harness::origin;
  time_point last_batch_time_{};
  policy policy_;
  std::map<request_id, host_request> requests_;
  std::map<request_id, retained_key> retained_keys_;  // by first attempt
  std::map<request_id, int> started_keyed_;  // first attempts of keyed requests of which one attempt started
  std::vector<event> pending_completions_;
  std::optional<time_point> timer_due_;
  time_point stop_time_{};
  time_point notice_time_{};
  time_point last_due_{};
  request_id last_id_ = 0;
  unsigned starts_ = 0;
  std::string violation_;
};

settings random_settings(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  settings policy_settings;
  for (unsigned i = 0; i < 3; ++i) {
    class_settings its_class;
    its_class.name = "class";
    its_class.latency_objective = 300ms * (1 + below(10));
    its_class.deadline = its_class.latency_objective * (1 + below(4));
    its_class.late_weight = below(2) * 0.2;
    its_class.calls_dependency = below(2) == 0;
    its_class.effect = static_cast<request_effect>(i);
    its_class.weight_without_call = its_class.calls_dependency && below(2) == 0 ? 0.5 : 0;
    its_class.idempotency_window = 1s * (1 + below(20));
    policy_settings.classes.push_back(its_class);
  }
  for (unsigned tenants = below(4); tenants > 0; --tenants)
    policy_settings.tenants.push_back({"t", 10.0 * below(10)});
  policy_settings.servers = 1 + below(300);
  policy_settings.callers = 1 + below(1000);
  policy_settings.cores = 1 + below(4);
  policy_settings.cold_start = below(3) == 0;
  policy_settings.cold_start_capacity = 0.2 + 0.1 * below(5);
  policy_settings.slow_start_duration = 18s;
  policy_settings.concurrency_ceiling_per_core = 5 + 3.0 * below(2);
  policy_settings.concurrency_ceiling_period = 2s;
  policy_settings.running_memory_factor = 4 << below(3);
  policy_settings.memory_kb =
      25 * policy_settings.running_memory_factor * policy_settings.cores * (10 + below(10));
  policy_settings.idempotency_key_kb = policy_settings.memory_kb / (50 + below(400));
  policy_settings.fair_concurrent_calls = below(3) == 0 ? 0 : 0.1 + 0.6 * below(8);
  policy_settings.calls_period = 5s;
  policy_settings.abandoned_call_duration = 200ms;
  policy_settings.answer_slack = 80ms;
  policy_settings.drain_grace = 2s;
  policy_settings.max_retry_after = 1s;
  policy_settings.retry_after = true;
  policy_settings.tick = 2ms * (1 + below(2));
  policy_settings.halt = static_cast<halt_mode>(below(3));
  policy_settings.signal = static_cast<signal_kind>(below(4));
  policy_settings.gauges = {"cpu_busy", "mem_used"};
  return policy_settings;
}

TEST(PolicyGuarantees, HoldUnderRandomEvents) {
  unsigned starts = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    random_host host(random_settings(seed), seed);
    EXPECT_EQ(host.run(2500), "") << "seed " << seed;
    starts += host.starts();
  }
  EXPECT_GT(starts, 10000u);
}

}  // namespace
}  // namespace admission_policy::testing
