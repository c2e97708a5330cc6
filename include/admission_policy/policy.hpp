// The interface between a server (the host) and its admission policy, which decides what runs, when and what
// is rejected.
//
// The host owes the policy: a clock that never goes back; events in the order in which they happened; one
// thread at a time for an instance; for each arrival an id that is not in use (an arrival whose id is in use
// is ignored); every action applied, in order, at the time of the events that it answers. The policy
// promises: exactly one final answer for each request that it was handed (its own `reject` or `fail`, or the
// completion of its run), no action about a request that it was not handed, no exception after construction,
// and the same actions for the same settings, seed and events.
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

// Whether a request may run again: freely, under its idempotency key only, or never.
enum class request_effect { safe, keyed, unsafe };

// What stopping a run does: it cannot be stopped, it ends for good, or it only pauses.
enum class halt_mode { none, drop, pause };

// How callers read the advertised value: not at all; as the rank below which they send nothing here; as the
// number of requests that each has open here at most; or as the chance, 0 to 1, that one does not pass by.
enum class signal_kind { none, level, credit, weight };

// How a run or a dependency call ended.
enum class outcome {
  ok,
  error,           // it ran and failed
  full,            // rejected before it ran
  timeout,         // no result within its time limit; it may have run
  connect_failed,  // never sent
  reset,           // the connection broke; it may have run
  cancelled,       // it was stopped
  moot,            // already over when it was to start
};

// What is the same for all requests of a class.
struct class_settings {
  std::string name;
  duration latency_objective{};    // an answer within it earns the full weight; 0 = the deadline
  duration deadline{};             // how long callers wait; above 0
  double objective_stretch = 0;    // growth of the objective by the work of a request; not used in decisions
  double priority_weight = 1;      // of an answer beside other classes, no unit; not used in decisions
  double late_weight = 0;          // share of the weight between objective and deadline, 0 to 1
  double weight_without_call = 0;  // share of the weight where the dependency call is left out, 0 to 1
  request_effect effect = request_effect::safe;
  duration idempotency_window{};  // keyed: how long after its arrival a duplicate may come
  bool calls_dependency = false;  // its runs may call the shared dependency
};

struct tenant_settings {
  std::string name;
  double quota = 0;  // requests a second over all servers; 0 = none stated
};

struct settings {
  std::vector<class_settings> classes;   // at least one; requests name them by index
  std::vector<tenant_settings> tenants;  // requests name them by index; none = one without a quota
  unsigned servers = 1;                  // servers that share the quotas, at start
  unsigned callers = 1;                  // callers of this server, at start
  unsigned cores = 1;                    // at least one
  bool cold_start = false;               // the process has just started
  double cold_start_capacity = 1;        // share of full speed at which a cold server starts, at least
  duration slow_start_duration{};        // a cold server is at full speed after this
  double concurrency_ceiling_per_core =
      0;  // running requests a core that a warm server survives; 0 = not stated
  duration concurrency_ceiling_period{};  // over which that number is averaged; not used in decisions
  double memory_kb = 0;                   // KB for requests and keys; 0 = not stated
  double running_memory_factor = 1;       // memory of a running request over that of a queued one
  double idempotency_key_kb = 0;          // KB of one retained key
  double fair_concurrent_calls =
      0;                    // this server's share of the dependency's calls in flight; 0 = not stated
  duration calls_period{};  // over which that share is averaged
  duration abandoned_call_duration{};  // how long the dependency still works on an abandoned call
  duration result_freshness{};         // how long the result of a read may be shared; 0 = never
  duration answer_slack{};             // by which an answer may be later than due; not used in decisions
  duration drain_grace{};              // after a shutdown notice; what arrives later is not run
  duration load_signal_ttl{};          // how long callers go by an advertised value; not used in decisions
  duration max_retry_after{};          // the longest retry-after that callers observe
  bool retry_after = false;            // whether retry-after reaches callers at all
  duration tick{};                     // granularity of the host's clock
  halt_mode halt = halt_mode::none;
  signal_kind signal = signal_kind::none;
  std::vector<std::string> gauges;  // names of the values of timer_fired; `cpu_busy` is read: 0 to 1
};

// Events.

// A request was read from its connection.
struct arrival {
  request_id id{};
  request_id duplicate_of = 0;  // the request of a retained key that this one duplicates; 0 = none
  std::uint64_t key = 0;        // equal for requests that may share a result; 0 = none
  double reserved_kb = 0;       // KB that it takes while it is queued
  duration client_timeout{};    // from now until the caller gives up; 0 = not stated
  duration expected_work{};     // time on one core; 0 = not stated
  duration read_delay{};        // since it reached the machine
  unsigned tenant = 0;          // index into settings::tenants
  unsigned request_class = 0;   // index into settings::classes
  unsigned caller = 0;          // a number of the host's choice for each caller
  double rank = 0;              // order among requests, 0 to below 1; not used in decisions
  bool retry = false;           // marked as not being the first attempt
  bool write = false;           // its result is not to be shared
};

// A run ended, or the run whose result a duplicate shares.
struct completion {
  request_id id{};
  outcome result{};
  duration elapsed{};  // since its start
};

// The client no longer waits for the answer.
struct client_cancelled {
  request_id id{};
};

// A run has left the core and waits until its dependency call is placed or skipped.
struct call_needed {
  request_id id{};
};

// A dependency call came back, or was given up at its time limit.
struct call_ended {
  request_id id{};
  outcome result{};
  duration elapsed{};  // since it was placed
};

// The process is going to be stopped.
struct shutdown_notice {
  duration time_left{};  // until it is
};

// The time of set_timer has passed.
struct timer_fired {
  std::vector<double> gauges;  // in the order of settings::gauges
};

// A share of a rate limit that is divided among servers.
struct rate_quota {
  unsigned tenant = 0;
  int request_class = -1;  // -1 = all of the tenant's classes together
  double per_second = 0;   // requests admitted
};

// This server's shares of limits that are divided among servers. In force until the next update; before the
// first there is no bound. What has no share is rejected at once, never queued for it.
struct quota_update {
  double max_concurrent_runs =
      -1;  // runs started and not ended, also at calls or stopped; below 0 = no bound
  std::vector<rate_quota> rates;
  duration next_quota_in{};  // when there may be a share where there is none now: the retry-after then
};

using event = std::variant<arrival, completion, client_cancelled, call_needed, call_ended, shutdown_notice,
                           timer_fired, quota_update>;

// Actions, to be applied in order.

// Run a queued request, or resume a paused run.
struct start {
  request_id id{};
};

// Stop a run; only where settings::halt allows it. Its end is reported as a completion.
struct stop_run {
  request_id id{};
};

// Answer that the request was rejected and never ran.
struct reject {
  request_id id{};
  duration retry_after{};           // how long the caller is to stay away
  bool no_retry_elsewhere = false;  // no other server would do better
};

// Answer that the request failed; it may have run.
struct fail {
  request_id id{};
  duration retry_after{};  // how long the caller is to stay away
};

// Place the dependency call of a run that waits for it.
struct place_call {
  request_id id{};
  duration limit{};  // the call is given up after this
};

// Let a run that waits for its call go on without it; only for classes with a weight_without_call.
struct skip_call {
  request_id id{};
};

// Name duplicates of this request by arrival::duplicate_of for so long.
struct retain_key {
  request_id id{};
  duration ttl{};
};

// Forget a retained key before its time.
struct forget_key {
  request_id id{};
};

// Answer with the result of the request that this one duplicates, once it is there.
struct share_result {
  request_id id{};
};

// What health checks hear from now on.
struct set_health {
  bool good = true;
  bool from_store = false;  // checks are answered from this alone and do no work of their own
};

// Tell callers a new value, in the meaning of settings::signal.
struct advertise {
  double value = 0;
};

// Close connections that have been idle for so long; 0 = keep them.
struct close_idle {
  duration after{};
};

// Send timer_fired after this, or in the first batch later. A timer that is set cannot be taken back.
struct set_timer {
  duration after{};
};

// Write a line to the host's log.
struct log_line {
  std::string text;
};

using action = std::variant<start, stop_run, reject, fail, place_call, skip_call, retain_key, forget_key,
                            share_result, set_health, advertise, close_idle, set_timer, log_line>;

// Decides for one server during one life of its process. Not thread-safe: one thread at a time.
class policy {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings cannot be used. The seed is part of
  // the interface for policies that draw; this one does not.
  policy(settings given, std::uint64_t seed, time_point now);
  ~policy();
  policy(policy&&) noexcept;
  policy& operator=(policy&&) noexcept;

  // Takes all events of one moment and returns the actions that answer them (valid until the next call). The
  // host calls it once with no events when the server comes up.
  const std::vector<action>& handle(time_point now, std::span<const event> events);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace admission_policy
