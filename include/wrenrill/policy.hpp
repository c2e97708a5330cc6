// Deprecated: include <admission_policy/policy.hpp> and use the namespace admission_policy.
//
// Provides the previous names of the library for code that has not been migrated. A type of which only the
// name changed is an alias. Settings and arrivals, whose fields were renamed as well, are converted when they
// are passed to the policy. This header has no other logic.
#pragma once

#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "admission_policy/policy.hpp"

namespace wrenrill {

using admission_policy::action;
using admission_policy::advertise;
using admission_policy::call_ended;
using admission_policy::call_needed;
using admission_policy::close_idle;
using admission_policy::completion;
using admission_policy::duration;
using admission_policy::fail;
using admission_policy::forget_key;
using admission_policy::halt_mode;
using admission_policy::log_line;
using admission_policy::outcome;
using admission_policy::place_call;
using admission_policy::request_id;
using admission_policy::set_health;
using admission_policy::set_timer;
using admission_policy::signal_kind;
using admission_policy::skip_call;
using admission_policy::start;
using admission_policy::stop_run;
using admission_policy::tenant_settings;
using admission_policy::time_point;
using admission_policy::timer_fired;
using departure = admission_policy::client_cancelled;
using effect = admission_policy::request_effect;
using keep_key = admission_policy::retain_key;
using notice = admission_policy::shutdown_notice;
using rate_share = admission_policy::rate_quota;
using refuse = admission_policy::reject;
using share_outcome = admission_policy::share_result;
using shares = admission_policy::quota_update;

struct class_settings {
  std::string name;
  duration aim{};
  duration deadline{};
  double aim_stretch = 0;
  double worth = 1;
  double late_worth = 0;
  double worth_without = 0;
  effect repeats = effect::safe;
  duration window{};
  bool calls = false;

  operator admission_policy::class_settings() const {
    return {.name = name,
            .latency_objective = aim,
            .deadline = deadline,
            .objective_stretch = aim_stretch,
            .priority_weight = worth,
            .late_weight = late_worth,
            .weight_without_call = worth_without,
            .effect = repeats,
            .idempotency_window = window,
            .calls_dependency = calls};
  }
};

struct settings {
  std::vector<class_settings> classes;
  std::vector<tenant_settings> tenants;
  unsigned servers = 1;
  unsigned callers = 1;
  unsigned cores = 1;
  bool cold = false;
  double cold_speed = 1;
  duration warm_within{};
  double crowd_factor = 0;
  duration crowd_period{};
  double memory_kb = 0;
  double run_factor = 1;
  double key_kb = 0;
  double fair_calls = 0;
  duration calls_period{};
  duration call_linger{};
  duration fresh{};
  duration answer_slack{};
  duration drain_grace{};
  duration signal_heeded{};
  duration max_retry_after{};
  bool retry_after = false;
  duration tick{};
  halt_mode halt = halt_mode::none;
  signal_kind signal = signal_kind::none;
  std::vector<std::string> gauges;

  operator admission_policy::settings() const {
    admission_policy::settings s;
    s.classes.assign(classes.begin(), classes.end());
    s.tenants = tenants;
    s.servers = servers;
    s.callers = callers;
    s.cores = cores;
    s.cold_start = cold;
    s.cold_start_capacity = cold_speed;
    s.slow_start_duration = warm_within;
    s.concurrency_ceiling_per_core = crowd_factor;
    s.concurrency_ceiling_period = crowd_period;
    s.memory_kb = memory_kb;
    s.running_memory_factor = run_factor;
    s.idempotency_key_kb = key_kb;
    s.fair_concurrent_calls = fair_calls;
    s.calls_period = calls_period;
    s.abandoned_call_duration = call_linger;
    s.result_freshness = fresh;
    s.answer_slack = answer_slack;
    s.drain_grace = drain_grace;
    s.load_signal_ttl = signal_heeded;
    s.max_retry_after = max_retry_after;
    s.retry_after = retry_after;
    s.tick = tick;
    s.halt = halt;
    s.signal = signal;
    s.gauges = gauges;
    return s;
  }
};

struct arrival {
  request_id id{};
  request_id repeats = 0;
  std::uint64_t key = 0;
  double held_kb = 0;
  duration patience{};
  duration work{};
  duration waited{};
  unsigned tenant = 0;
  unsigned request_class = 0;
  unsigned caller = 0;
  double rank = 0;
  bool retry = false;
  bool write = false;

  operator admission_policy::arrival() const {
    return {.id = id,
            .duplicate_of = repeats,
            .key = key,
            .reserved_kb = held_kb,
            .client_timeout = patience,
            .expected_work = work,
            .read_delay = waited,
            .tenant = tenant,
            .request_class = request_class,
            .caller = caller,
            .rank = rank,
            .retry = retry,
            .write = write};
  }
};

using event =
    std::variant<arrival, completion, departure, call_needed, call_ended, notice, timer_fired, shares>;

class policy {
 public:
  policy(const settings& old_settings, std::uint64_t seed, time_point now)
      : policy_(old_settings, seed, now) {}

  const std::vector<action>& handle(time_point now, std::span<const event> events) {
    std::vector<admission_policy::event> converted;
    converted.reserve(events.size());
    for (const event& e : events) {
      std::visit([&converted](const auto& content) { converted.emplace_back(to_current(content)); }, e);
    }
    return policy_.handle(now, converted);
  }

 private:
  static admission_policy::arrival to_current(const arrival& a) { return a; }
  template <typename T>
  static const T& to_current(const T& unchanged) {
    return unchanged;
  }

  admission_policy::policy policy_;
};

}  // namespace wrenrill
