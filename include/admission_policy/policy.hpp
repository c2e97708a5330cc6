// The interface between a server (the host) and its admission policy. The policy decides which requests are
// rejected, which run, and when.
//
// Obligations of the host:
//   - The clock never goes backwards.
//   - Events are passed in the order in which they happened, for one instance from one thread at a time.
//   - An arrival carries an id that is not in use. The policy ignores an arrival whose id is in use.
//   - Every action is applied, in order, at the time of the events that caused it.
//
// Guarantees of the policy:
//   - Each request gets exactly one final answer: a `reject`, a `fail`, or the completion of its run.
//   - Actions refer only to requests that the host has passed in.
//   - No exception is thrown after construction.
//   - Equal settings, seed and events give equal actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace admission_policy {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::nanoseconds;  // since an origin of the host's choice
using request_id = std::uint32_t;             // 0 = no request

// Whether a request may run more than once: yes, only with an idempotency key, or never.
enum class request_effect { safe, keyed, unsafe };

// What happens when the host stops a run: runs cannot be stopped, the run ends for good, or the run pauses.
enum class halt_mode { none, drop, pause };

// How callers interpret the advertised value.
enum class signal_kind {
  none,    // callers ignore it
  level,   // callers do not send requests whose rank is below the value
  credit,  // maximum number of outstanding requests per caller
  weight,  // probability, 0 to 1, that a caller sends a request to this server
};

// How a run or a dependency call ended.
enum class outcome {
  ok,
  error,           // the work ran and failed
  full,            // rejected before it ran
  timeout,         // no result within the time limit; the work may have run
  connect_failed,  // never sent
  reset,           // the connection broke; the work may have run
  cancelled,       // the host stopped the work
  moot,            // the request had already ended when the run was to start
};

// Settings that apply to every request of a class.
struct class_settings {
  std::string name;
  duration latency_objective{};    // an answer within it counts with the full weight; 0 = the deadline
  duration deadline{};             // how long callers wait; must be above 0
  double objective_stretch = 0;    // growth of the objective with a request's work; not used in decisions
  double priority_weight = 1;      // relative weight of an answer, no unit; not used in decisions
  double late_weight = 0;          // fraction of the weight for answers after the objective, 0 to 1
  double weight_without_call = 0;  // fraction of the weight when the dependency call is skipped, 0 to 1
  request_effect effect = request_effect::safe;
  duration idempotency_window{};  // keyed classes: duplicates may come this long after the arrival
  bool calls_dependency = false;  // runs may call the shared dependency
};

struct tenant_settings {
  std::string name;
  double quota = 0;  // requests per second over all servers; 0 = none configured
};

struct settings {
  std::vector<class_settings> classes;   // at least one; requests refer to classes by index
  std::vector<tenant_settings> tenants;  // requests refer to tenants by index; empty = one without a quota
  unsigned servers = 1;                  // servers that share the quotas, at start
  unsigned callers = 1;                  // callers of this server, at start
  unsigned cores = 1;                    // at least 1
  bool cold_start = false;               // the process has just started
  double cold_start_capacity = 1;        // minimum speed of a cold server, as a fraction of full speed
  duration slow_start_duration{};        // a cold server reaches full speed after this time
  double concurrency_ceiling_per_core =
      0;  // running requests per core that a warm server can sustain; 0 = not configured
  duration concurrency_ceiling_period{};  // averaging period of the ceiling; not used in decisions
  double memory_kb = 0;                   // KB for requests and keys; 0 = not configured
  double running_memory_factor = 1;       // memory of a running request divided by that of a queued request
  double idempotency_key_kb = 0;          // KB per retained key
  double fair_concurrent_calls =
      0;                    // this server's share of the dependency's in-flight calls; 0 = not configured
  duration calls_period{};  // averaging period of that share
  duration abandoned_call_duration{};  // the dependency works on an abandoned call for this long
  duration result_freshness{};         // the result of a read may be shared for this long; 0 = never
  duration answer_slack{};             // tolerated lateness of an answer; not used in decisions
  duration drain_grace{};              // arrivals later than this after a shutdown notice do not run
  duration load_signal_ttl{};          // callers use an advertised value for this long; not used in decisions
  duration max_retry_after{};          // longest retry-after that callers observe
  bool retry_after = false;            // whether the host passes retry-after on to callers
  duration tick{};                     // granularity of the host's clock
  halt_mode halt = halt_mode::none;
  signal_kind signal = signal_kind::none;
  std::vector<std::string> gauges;  // names of the values in timer_fired; only `cpu_busy`, 0 to 1, is used
};

// Events.

// The host has read a request from its connection.
struct arrival {
  request_id id{};
  request_id duplicate_of = 0;  // the request with the same retained key; 0 = none
  std::uint64_t key = 0;        // equal for requests that may share a result; 0 = none
  double reserved_kb = 0;       // KB of memory while the request is queued
  duration client_timeout{};    // time from now until the caller stops waiting; 0 = not known
  duration expected_work{};     // time on one core; 0 = not known
  duration read_delay{};        // time between reaching the machine and being read
  unsigned tenant = 0;          // index into settings::tenants
  unsigned request_class = 0;   // index into settings::classes
  unsigned caller = 0;          // number that the host has assigned to the caller
  double rank = 0;              // priority among requests, 0 to below 1; not used in decisions
  bool retry = false;           // marked by the caller as a retry
  bool write = false;           // the result must not be shared
};

// A run ended. For a duplicate that shares a result: the run that it shares ended.
struct completion {
  request_id id{};
  outcome result{};
  duration elapsed{};  // since the start of the run
};

// The client no longer waits for the answer.
struct client_cancelled {
  request_id id{};
};

// A run has left its core and waits until its dependency call is placed or skipped.
struct call_needed {
  request_id id{};
};

// A dependency call returned or was abandoned at its time limit.
struct call_ended {
  request_id id{};
  outcome result{};
  duration elapsed{};  // since the call was placed
};

// The process will be stopped.
struct shutdown_notice {
  duration time_left{};  // until the stop
};

// The time of a set_timer action has passed.
struct timer_fired {
  std::vector<double> gauges;  // in the order of settings::gauges
};

// This server's share of a rate limit that is divided among servers.
struct rate_quota {
  unsigned tenant = 0;
  int request_class = -1;  // -1 = all of the tenant's classes together
  double per_second = 0;   // requests admitted per second
};

// This server's shares of limits that are divided among servers. An update stays in force until the next one;
// before the first update there is no limit. A request without a share is rejected at once instead of queued.
struct quota_update {
  double max_concurrent_runs = -1;  // runs that have started and not ended, including stopped runs and runs
                                    // at calls; below 0 = no limit
  std::vector<rate_quota> rates;
  duration
      next_quota_in{};  // time until a new share may be assigned; used as the retry-after without a share
};

using event = std::variant<arrival, completion, client_cancelled, call_needed, call_ended, shutdown_notice,
                           timer_fired, quota_update>;

// Actions, to be applied in order.

// Run a queued request or resume a paused run.
struct start {
  request_id id{};
};

// Stop a run. Used only where settings::halt allows stops. The end of the run is reported as a completion.
struct stop_run {
  request_id id{};
};

// Answer that the request was rejected and never ran.
struct reject {
  request_id id{};
  duration retry_after{};           // how long the caller should wait before a retry
  bool no_retry_elsewhere = false;  // other servers are expected to reject the request too
};

// Answer that the request failed. The request may have run.
struct fail {
  request_id id{};
  duration retry_after{};  // how long the caller should wait before a retry
};

// Place the dependency call of a run that waits for one.
struct place_call {
  request_id id{};
  duration limit{};  // the host abandons the call after this time
};

// Continue a run without the dependency call that it waits for. Used only for classes with a
// weight_without_call.
struct skip_call {
  request_id id{};
};

// Retain the key of this request for `ttl` and report duplicates of the request in arrival::duplicate_of.
struct retain_key {
  request_id id{};
  duration ttl{};
};

// Remove a retained key before its ttl has passed.
struct forget_key {
  request_id id{};
};

// Answer this duplicate with the result of the original request as soon as that result is available.
struct share_result {
  request_id id{};
};

// Set the health that health checks report from now on.
struct set_health {
  bool good = true;
  bool from_store = false;  // health checks return this stored value without any work of their own
};

// Advertise a new value to callers. settings::signal defines its meaning.
struct advertise {
  double value = 0;
};

// Close connections that have been idle for `after`; 0 = keep idle connections open.
struct close_idle {
  duration after{};
};

// Send timer_fired after this time, or in the first later batch. A timer cannot be cancelled.
struct set_timer {
  duration after{};
};

// Write a line to the host's log.
struct log_line {
  std::string text;
};

using action = std::variant<start, stop_run, reject, fail, place_call, skip_call, retain_key, forget_key,
                            share_result, set_health, advertise, close_idle, set_timer, log_line>;

// The admission policy of one server process, from its start to its end. Not thread-safe.
class policy {
 public:
  // Throws std::invalid_argument with the name of the setting if a setting is invalid. The seed is part of
  // the interface for randomized policies; this policy ignores it.
  policy(settings policy_settings, std::uint64_t seed, time_point now);
  ~policy();
  policy(policy&&) noexcept;
  policy& operator=(policy&&) noexcept;

  // Processes all events of one point in time and returns the resulting actions. The returned reference is
  // valid until the next call. The host makes a first call without events when the server starts.
  const std::vector<action>& handle(time_point now, std::span<const event> events);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace admission_policy
