#include "golden_scenarios.hpp"

#include <algorithm>
#include <cstdio>

namespace admission_policy::testing {
namespace {

using namespace std::chrono_literals;

class_settings class_of(const std::string& name, duration objective, duration deadline) {
  class_settings made;
  made.name = name;
  made.latency_objective = objective;
  made.deadline = deadline;
  return made;
}

// Three classes, one of each effect on a retry: safe, keyed, unsafe.
settings base_settings() {
  settings made;
  made.classes = {class_of("read", 1s, 4s), class_of("write", 600ms, 2s), class_of("batch", 0ns, 5s)};
  for (std::size_t i = 0; i < made.classes.size(); ++i)
    made.classes[i].effect = static_cast<decltype(class_settings::effect)>(i);
  made.classes[1].idempotency_window = 3s;
  made.servers = 2;
  made.callers = 20;
  made.cores = 2;
  made.concurrency_ceiling_per_core = 5;
  made.concurrency_ceiling_period = 2s;
  made.memory_kb = 8000;
  made.running_memory_factor = 4;
  made.idempotency_key_kb = 2;
  made.tick = 1ms;
  made.halt = halt_mode::drop;
  made.gauges = {"cpu_busy", "mem_used"};
  made.drain_grace = 1s;
  made.max_retry_after = 1s;
  made.answer_slack = 50ms;
  return made;
}

settings with_tenants(settings made) {
  made.tenants = {{"first", 40}, {"second", 20}, {"third", 0}};
  return made;
}

settings with_calls(settings made, double fair_concurrent_calls) {
  for (class_settings& one : made.classes) one.calls_dependency = true;
  made.classes[0].weight_without_call = 0.5;
  made.classes[2].late_weight = 0.3;
  made.fair_concurrent_calls = fair_concurrent_calls;
  made.calls_period = 2s;
  made.abandoned_call_duration = 200ms;
  return made;
}

settings with_signal(settings made, signal_kind signal) {
  made.signal = signal;
  return made;
}

settings with_halt(settings made, halt_mode halt) {
  made.halt = halt;
  return made;
}

settings with_cold_start(settings made) {
  made.cold_start = true;
  made.cold_start_capacity = 0.3;
  made.slow_start_duration = 3s;
  return made;
}

// Settings and traffic drawn at random, so that features meet which the named scenarios keep apart.
golden_scenario mixed(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  settings made = base_settings();
  for (class_settings& one : made.classes) {
    one.latency_objective = 200ms * (1 + below(8));
    one.deadline = one.latency_objective * (1 + below(4));
    one.late_weight = below(2) * 0.2;
    one.calls_dependency = below(2) == 0;
    one.weight_without_call = one.calls_dependency && below(2) == 0 ? 0.5 : 0;
    one.idempotency_window = 1s * (1 + below(5));
  }
  if (below(2) == 0) made = with_tenants(made);
  if (below(3) == 0) made = with_cold_start(made);
  made.servers = 1 + below(3);
  made.cores = 1 + below(4);
  made.concurrency_ceiling_per_core = 3.0 * below(4);
  made.memory_kb = below(3) == 0 ? 0 : 2000.0 * (1 + below(4));
  made.running_memory_factor = 4 << below(3);
  made.idempotency_key_kb = 1.0 + below(40);
  made.fair_concurrent_calls = below(3) == 0 ? 0 : 0.4 + 0.7 * below(8);
  made.calls_period = 1s * (1 + below(5));
  made.abandoned_call_duration = 200ms;
  made.result_freshness = 100ms * below(3);
  made.halt = static_cast<halt_mode>(below(3));
  made.signal = static_cast<signal_kind>(below(4));
  made.tick = 1ms * (1 + below(3));
  host_profile profile;
  profile.arrival_gap_us = 3000 + below(20000);
  profile.work_ms = 10 + below(150);
  profile.states_work = below(2) == 0;
  profile.states_timeout = below(2) == 0;
  profile.marks_retries = below(2) == 0;
  profile.slow_reads = below(2) == 0;
  profile.updates_quota = below(3) == 0;
  profile.stalls = below(3) == 0;
  profile.slow_dependency = below(2) == 0;
  if (below(4) == 0) profile.shutdown_after = 4s;
  return {"mixed_" + std::to_string(seed), made, profile, {seed}};
}

}  // namespace

std::vector<golden_scenario> golden_scenarios() {
  const settings base = base_settings();
  settings one_class = base;
  one_class.classes.resize(1);
  settings fresh_reads = base;
  fresh_reads.result_freshness = 300ms;
  settings tight_memory = base;
  tight_memory.memory_kb = 1500;
  settings heavy_keys = base;
  heavy_keys.idempotency_key_kb = 60;
  settings many_cores = with_tenants(base);
  many_cores.cores = 8;
  many_cores.memory_kb = 0;
  settings patient = with_halt(one_class, halt_mode::none);
  patient.classes[0].latency_objective = 400ms;
  patient.classes[0].late_weight = 0.5;
  patient.classes[0].deadline = 20s;
  settings only_with_calls = with_calls(base, 2);
  for (class_settings& one : only_with_calls.classes) one.weight_without_call = 0;

  settings only_keyed = base;
  only_keyed.classes = {base.classes[1]};
  settings jammed = with_calls(base, 12);
  jammed.cores = 4;
  jammed.memory_kb = 0;
  jammed.concurrency_ceiling_per_core = 12;

  std::vector<golden_scenario> all = {
      {"plain", one_class, {}, {1, 2}},
      {"expected_work", base, {.states_work = true}, {1, 2}},
      {"client_timeouts", base, {.states_timeout = true, .slow_reads = true}, {1, 2}},
      {"marked_retries", with_tenants(base), {.states_timeout = true, .marks_retries = true}, {1, 2}},
      {"tenant_quotas", with_tenants(base), {.states_work = true}, {1, 2}},
      {"cold_start", with_cold_start(base), {.states_work = true}, {1, 2}},
      {"cold_start_without_hints", with_cold_start(with_tenants(base)), {}, {1, 2}},
      {"calls", with_calls(base, 1.5), {.work_ms = 20}, {1, 2}},
      {"slow_calls", with_calls(base, 3), {.work_ms = 20, .slow_dependency = true}, {1, 2}},
      {"calls_without_limit", with_calls(base, 0), {.work_ms = 20, .slow_dependency = true}, {1, 2}},
      {"idempotency_keys", heavy_keys, {.marks_retries = true, .slow_reads = true}, {1, 2}},
      {"fresh_reads", fresh_reads, {.slow_reads = true}, {1, 2}},
      {"tight_memory", tight_memory, {}, {1, 2}},
      {"large_requests", tight_memory, {.most_kb = 400, .burst = 3}, {1, 2}},
      {"many_callers", base, {.callers = 5000}, {1, 2}},
      {"hanging_runs", patient, {.steps = 4000, .overload_slowdown = 100}, {1, 2}},
      {"required_calls", only_with_calls, {.work_ms = 20, .slow_dependency = true}, {1, 2}},
      {"unlinked_duplicates",
       only_keyed,
       {.steps = 4000, .marks_retries = true, .slow_reads = true, .slow_reads_one_in = 2},
       {1, 2}},
      {"read_delays",
       with_signal(base, signal_kind::level),
       {.steps = 4000, .work_ms = 10, .slow_reads = true, .slow_reads_one_in = 20, .slow_read_most_ms = 280},
       {1, 2}},
      {"returning_callers", base, {.steps = 4000, .callers = 700}, {1, 2}},
      {"slowed_runs", with_tenants(base), {.steps = 4000, .overload_slowdown = 2}, {1, 2}},
      {"jammed_dependency",
       jammed,
       {.steps = 6000, .arrival_gap_us = 6000, .work_ms = 8, .slow_dependency = true},
       {1, 2}},
      {"many_cores", many_cores, {.arrival_gap_us = 3000}, {1, 2}},
      {"rate_quotas", with_tenants(base), {.updates_quota = true}, {1, 2}},
      {"signal_level", with_signal(base, signal_kind::level), {}, {1}},
      {"signal_credit", with_signal(base, signal_kind::credit), {.states_work = true}, {1}},
      {"signal_weight", with_signal(base, signal_kind::weight), {.shutdown_after = 5s}, {1}},
      {"halt_none", with_halt(with_calls(base, 2), halt_mode::none), {.slow_dependency = true}, {1, 2}},
      {"cancellations",
       with_halt(with_calls(base, 6), halt_mode::none),
       {.work_ms = 20, .cancels_one_in = 3, .slow_dependency = true},
       {1, 2}},
      {"halt_pause", with_halt(with_calls(base, 2), halt_mode::pause), {.slow_dependency = true}, {1, 2}},
      {"shutdown", with_signal(base, signal_kind::level), {.shutdown_after = 3s}, {1, 2}},
      {"stalls", base, {.work_ms = 300, .stalls = true}, {1, 2}},
  };
  for (std::uint64_t seed = 1; seed <= 12; ++seed) all.push_back(mixed(seed));
  return all;
}

std::string summary_of(const golden_scenario& scenario) {
  std::string text;
  for (const std::uint64_t seed : scenario.seeds) {
    simulated_host host(scenario.given, scenario.profile, seed);
    const transcript& recorded = host.run();
    char digest[17];
    std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(recorded.digest()));
    text += "seed " + std::to_string(seed) + " events " + std::to_string(host.events()) + " actions " +
            std::to_string(recorded.actions()) + " fnv1a " + digest + "\n";
    for (const std::string& line : recorded.first_lines()) text += line + "\n";
  }
  return text;
}

}  // namespace admission_policy::testing
