#include "golden_scenarios.hpp"

#include <algorithm>
#include <cstdio>

namespace admission_policy::testing {
namespace {

using namespace std::chrono_literals;

class_settings make_class(const std::string& name, duration objective, duration deadline) {
  class_settings created;
  created.name = name;
  created.latency_objective = objective;
  created.deadline = deadline;
  return created;
}

// Three classes, one per request effect: safe, keyed and unsafe.
settings base_settings() {
  settings created;
  created.classes = {make_class("read", 1s, 4s), make_class("write", 600ms, 2s),
                     make_class("batch", 0ns, 5s)};
  for (std::size_t i = 0; i < created.classes.size(); ++i)
    created.classes[i].effect = static_cast<decltype(class_settings::effect)>(i);
  created.classes[1].idempotency_window = 3s;
  created.servers = 2;
  created.callers = 20;
  created.cores = 2;
  created.concurrency_ceiling_per_core = 5;
  created.concurrency_ceiling_period = 2s;
  created.memory_kb = 8000;
  created.running_memory_factor = 4;
  created.idempotency_key_kb = 2;
  created.tick = 1ms;
  created.halt = halt_mode::drop;
  created.gauges = {"cpu_busy", "mem_used"};
  created.drain_grace = 1s;
  created.max_retry_after = 1s;
  created.answer_slack = 50ms;
  return created;
}

settings with_tenants(settings created) {
  created.tenants = {{"first", 40}, {"second", 20}, {"third", 0}};
  return created;
}

settings with_calls(settings created, double fair_concurrent_calls) {
  for (class_settings& its_class : created.classes) its_class.calls_dependency = true;
  created.classes[0].weight_without_call = 0.5;
  created.classes[2].late_weight = 0.3;
  created.fair_concurrent_calls = fair_concurrent_calls;
  created.calls_period = 2s;
  created.abandoned_call_duration = 200ms;
  return created;
}

settings with_signal(settings created, signal_kind signal) {
  created.signal = signal;
  return created;
}

settings with_halt(settings created, halt_mode halt) {
  created.halt = halt;
  return created;
}

settings with_cold_start(settings created) {
  created.cold_start = true;
  created.cold_start_capacity = 0.3;
  created.slow_start_duration = 3s;
  return created;
}

// Random settings and traffic, to combine features that the named scenarios test separately.
golden_scenario random_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  settings created = base_settings();
  for (class_settings& its_class : created.classes) {
    its_class.latency_objective = 200ms * (1 + below(8));
    its_class.deadline = its_class.latency_objective * (1 + below(4));
    its_class.late_weight = below(2) * 0.2;
    its_class.calls_dependency = below(2) == 0;
    its_class.weight_without_call = its_class.calls_dependency && below(2) == 0 ? 0.5 : 0;
    its_class.idempotency_window = 1s * (1 + below(5));
  }
  if (below(2) == 0) created = with_tenants(created);
  if (below(3) == 0) created = with_cold_start(created);
  created.servers = 1 + below(3);
  created.cores = 1 + below(4);
  created.concurrency_ceiling_per_core = 3.0 * below(4);
  created.memory_kb = below(3) == 0 ? 0 : 2000.0 * (1 + below(4));
  created.running_memory_factor = 4 << below(3);
  created.idempotency_key_kb = 1.0 + below(40);
  created.fair_concurrent_calls = below(3) == 0 ? 0 : 0.4 + 0.7 * below(8);
  created.calls_period = 1s * (1 + below(5));
  created.abandoned_call_duration = 200ms;
  created.result_freshness = 100ms * below(3);
  created.halt = static_cast<halt_mode>(below(3));
  created.signal = static_cast<signal_kind>(below(4));
  created.tick = 1ms * (1 + below(3));
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
  return {"mixed_" + std::to_string(seed), created, profile, {seed}};
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
  settings late_answers_allowed = with_halt(one_class, halt_mode::none);
  late_answers_allowed.classes[0].latency_objective = 400ms;
  late_answers_allowed.classes[0].late_weight = 0.5;
  late_answers_allowed.classes[0].deadline = 20s;
  settings only_with_calls = with_calls(base, 2);
  for (class_settings& its_class : only_with_calls.classes) its_class.weight_without_call = 0;

  settings only_keyed = base;
  only_keyed.classes = {base.classes[1]};
  settings congested_dependency = with_calls(base, 12);
  congested_dependency.cores = 4;
  congested_dependency.memory_kb = 0;
  congested_dependency.concurrency_ceiling_per_core = 12;

  std::vector<golden_scenario> scenarios = {
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
      {"large_requests", tight_memory, {.max_reserved_kb = 400, .burst = 3}, {1, 2}},
      {"many_callers", base, {.callers = 5000}, {1, 2}},
      {"hanging_runs", late_answers_allowed, {.steps = 4000, .overload_slowdown = 100}, {1, 2}},
      {"required_calls", only_with_calls, {.work_ms = 20, .slow_dependency = true}, {1, 2}},
      {"unlinked_duplicates",
       only_keyed,
       {.steps = 4000, .marks_retries = true, .slow_reads = true, .slow_reads_one_in = 2},
       {1, 2}},
      {"read_delays",
       with_signal(base, signal_kind::level),
       {.steps = 4000,
        .work_ms = 10,
        .slow_reads = true,
        .slow_reads_one_in = 20,
        .max_slow_read_delay_ms = 280},
       {1, 2}},
      {"returning_callers", base, {.steps = 4000, .callers = 700}, {1, 2}},
      {"slowed_runs", with_tenants(base), {.steps = 4000, .overload_slowdown = 2}, {1, 2}},
      {"jammed_dependency",
       congested_dependency,
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
  for (std::uint64_t seed = 1; seed <= 12; ++seed) scenarios.push_back(random_scenario(seed));
  return scenarios;
}

std::string summary_of(const golden_scenario& scenario) {
  std::string text;
  for (const std::uint64_t seed : scenario.seeds) {
    simulated_host host(scenario.policy_settings, scenario.profile, seed);
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
