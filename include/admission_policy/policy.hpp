// wrenrill: the interface between a server (the host) and its admission policy.
//
// The host owes the policy: a clock that never goes back; events in the order in which they happened; one
// thread at a time for an instance; for each arrival an id that is not in use (one that is makes the arrival
// ignored); every action applied, in order, at the time of the events that it answers. The policy promises:
// exactly one final answer for each request it was handed (its own `refuse` or `fail`, or the completion of
// its run), no action about a request it was not handed, no exception after construction, and the same
// actions for the same settings, seed and events.
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
using request_id = std::uint32_t;

enum class request_effect { safe, keyed, unsafe };       // may a request run again?
enum class halt_mode { none, drop, pause };              // what stopping running work does
enum class signal_kind { none, level, credit, weight };  // how callers read the advertised value
enum class outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot };

struct class_settings {
  std::string name;
  duration latency_objective{};  // an answer within this earns the full worth
  duration deadline{};           // the caller's patience
  double objective_stretch = 0;
  double priority_weight = 1;
  double late_weight = 0;          // share of the worth for an answer between aim and deadline
  double weight_without_call = 0;  // share of the worth kept when a call is left out
  request_effect effect = request_effect::safe;
  duration idempotency_window{};  // keyed: how long after its arrival a request may arrive again
  bool calls_dependency = false;  // may call the shared dependency
};

struct tenant_settings {
  std::string name;
  double quota = 0;  // requests a second over all servers; 0 = none stated
};

struct settings {
  std::vector<class_settings> classes;
  std::vector<tenant_settings> tenants;
  unsigned servers = 1;  // at start
  unsigned callers = 1;  // at start
  unsigned cores = 1;
  bool cold_start = false;         // only just started
  double cold_start_capacity = 1;  // a cold server starts at no less than this share of its speed
  duration slow_start_duration{};  // and is warm after this long
  double concurrency_ceiling_per_core =
      0;  // running requests a core that a warm server survives; 0 = not stated
  duration concurrency_ceiling_period{};  // averaged over this
  double memory_kb = 0;                   // 0 = not stated
  double running_memory_factor = 1;       // memory of a running request over that of a held one
  double idempotency_key_kb = 0;          // memory of one kept key
  double fair_concurrent_calls = 0;       // this server's share of the calls in the dependency's hands
  duration calls_period{};                // averaged over this
  duration abandoned_call_duration{};     // an abandoned call stays with the dependency this long
  duration result_freshness{};            // how long a read's answer may be handed to others
  duration answer_slack{};                // grace on due times
  duration drain_grace{};                 // what arrives later than this after the notice is not run
  duration load_signal_ttl{};             // callers keep the advertised value this long
  duration max_retry_after{};             // longest advice to stay away that is observed
  bool retry_after = false;               // advice is relayed at all
  duration tick{};                        // the host's granularity of time
  halt_mode halt = halt_mode::none;
  signal_kind signal = signal_kind::none;
  std::vector<std::string> gauges;  // names of the values that come with a timer
};

// Events, in the order in which they happened.
struct arrival {
  request_id id{};
  request_id duplicate_of = 0;  // the kept request that this one is a further try of; 0 = none
  std::uint64_t key = 0;
  double reserved_kb = 0;
  duration client_timeout{};  // until the caller gives up; 0 = not stated
  duration expected_work{};   // expected work; 0 = not stated
  duration read_delay{};      // since it reached the machine
  unsigned tenant = 0;
  unsigned request_class = 0;
  unsigned caller = 0;
  double rank = 0;
  bool retry = false;
  bool write = false;
};
struct completion {
  request_id id{};
  outcome result{};
  duration elapsed{};
};  // a run or a share ended
struct client_cancelled {
  request_id id{};
};  // nobody waits for it any longer
struct call_needed {
  request_id id{};
};  // a run is stuck until it calls
struct call_ended {
  request_id id{};
  outcome result{};
  duration elapsed{};
};
struct shutdown_notice {
  duration time_left{};
};  // the process is stopped after this long
struct timer_fired {
  std::vector<double> gauges;
};
// What this server may act on of wholes that it shares with others. In force until the next one; before the
// first there is no bound. What has no share is refused at once, never held for it.
struct rate_quota {
  unsigned tenant = 0;
  int request_class = -1;  // -1 = all of the tenant's together
  double per_second = 0;
};
struct quota_update {
  double max_concurrent_runs =
      -1;                         // handed out at once, calls and stopped ones with them; below 0 = no bound
  std::vector<rate_quota> rates;  // requests let in
  duration next_quota_in{};       // when there may be a share where there is none now: the advice then
};
using event = std::variant<arrival, completion, client_cancelled, call_needed, call_ended, shutdown_notice,
                           timer_fired, quota_update>;

// Actions, to be applied in order. The policy uses skip_call only where an answer without the call keeps
// worth (worth_without).
struct start {
  request_id id{};
};
struct stop_run {
  request_id id{};
};
struct reject {
  request_id id{};
  duration retry_after{};
  bool no_retry_elsewhere = false;
};  // it never ran
struct fail {
  request_id id{};
  duration retry_after{};
};  // no assurance
struct place_call {
  request_id id{};
  duration limit{};
};
struct skip_call {
  request_id id{};
};
struct retain_key {
  request_id id{};
  duration ttl{};
};
struct forget_key {
  request_id id{};
};
struct share_result {
  request_id id{};
};  // answer with the outcome of the request that it repeats
struct set_health {
  bool good = true;
  bool from_store = false;
};
struct advertise {
  double value = 0;
};
struct close_idle {
  duration after{};
};
struct set_timer {
  duration after{};
};
struct log_line {
  std::string text;
};
using action = std::variant<start, stop_run, reject, fail, place_call, skip_call, retain_key, forget_key,
                            share_result, set_health, advertise, close_idle, set_timer, log_line>;

// One instance decides for one server during one life of its process.
class policy {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings cannot be used.
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
