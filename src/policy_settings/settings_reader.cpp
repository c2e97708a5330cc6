#include "settings_reader.hpp"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <stdexcept>
#include <utility>
#include <vector>

namespace admission_policy {
namespace {

// The settings as path=value pairs; every look-up has a default for keys that are absent.
class environment_reader {
 public:
  explicit environment_reader(const setting_paths& values) : values_(values) {}

  std::string_view text(const std::string& key, std::string_view absent = "") const {
    const auto found = values_.find(key);
    return found == values_.end() ? absent : std::string_view(found->second);
  }
  double number(const std::string& key, double absent) const {
    const std::string_view value = text(key);
    return value.empty() ? absent : to_number(key, value);
  }
  // A number that cannot be negative.
  double amount(const std::string& key, double absent) const {
    const double value = number(key, absent);
    if (value < 0) throw std::invalid_argument(key + " is negative");
    return value;
  }
  duration time(const std::string& key, duration absent = {}) const {
    const double value = number(key, static_cast<double>(absent.count()));
    if (value < 0 || value > 9e17) throw std::invalid_argument(key + " is no usable time");
    return duration{static_cast<std::int64_t>(value)};
  }
  unsigned count(const std::string& key, unsigned absent) const {
    const double value = number(key, absent);
    if (value < 0 || value > 1e6) throw std::invalid_argument(key + " is no usable count");
    return static_cast<unsigned>(value);
  }
  bool flag(const std::string& key, bool absent) const {
    const std::string_view value = text(key);
    if (value.empty()) return absent;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw std::invalid_argument(key + " is neither true nor false");
  }
  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> items;
    std::string_view rest = text(key);
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      items.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return items;
  }
  static double to_number(const std::string& key, std::string_view value) {
    double parsed = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(parsed)) {
      throw std::invalid_argument(key + " is no number: " + std::string(value));
    }
    return parsed;
  }

 private:
  const setting_paths& values_;
};

// One of a few words; the first is meant where the key is absent.
template <typename T>
T pick(const environment_reader& env, const std::string& key,
       std::initializer_list<std::pair<std::string_view, T>> words) {
  const std::string_view value = env.text(key);
  if (value.empty()) return words.begin()->second;
  for (const auto& [word, meaning] : words) {
    if (value == word) return meaning;
  }
  throw std::invalid_argument(key + " is none of its words: " + std::string(value));
}

std::vector<std::string> class_list(const environment_reader& env, const std::string& key,
                                    std::size_t classes) {
  auto items = env.list(key);
  if (!items.empty() && items.size() != classes) {
    throw std::invalid_argument(key + " does not have one value for each class");
  }
  return items;
}

}  // namespace

settings settings_from(const setting_paths& paths) {
  const environment_reader env(paths);
  settings s;
  const unsigned classes = env.count("Classes.count", 0);
  const auto calls = class_list(env, "Extra.ClassCalls", classes);
  const auto without = class_list(env, "Extra.WorthWithout", classes);
  for (unsigned i = 0; i < classes; ++i) {
    const std::string at = "Classes." + std::to_string(i) + ".";
    class_settings c;
    c.name = env.text(at + "Name");
    c.latency_objective = env.time(at + "Objective");
    c.deadline = env.time(at + "Deadline");
    c.objective_stretch = env.amount(at + "AimStretch", 0);
    c.priority_weight = env.amount(at + "Credit", 1);
    c.late_weight = env.number(at + "LateValue", 0);
    c.effect = pick<request_effect>(env, at + "Effect",
                                    {{"safe", request_effect::safe},
                                     {"keyed", request_effect::keyed},
                                     {"unsafe", request_effect::unsafe}});
    c.idempotency_window = env.time(at + "Window");
    c.calls_dependency = !calls.empty() && calls[i] == "true";
    c.weight_without_call =
        without.empty() ? 0 : environment_reader::to_number("Extra.WorthWithout", without[i]);
    s.classes.push_back(std::move(c));
  }
  const unsigned tenants = env.count("Tenants.count", 0);
  for (unsigned i = 0; i < tenants; ++i) {
    const std::string at = "Tenants." + std::to_string(i) + ".";
    s.tenants.push_back({std::string(env.text(at + "Name")), env.amount(at + "QuotaPerS", 0)});
  }
  s.servers = env.count("GroupSize", 1);
  s.callers = env.count("Extra.Upstreams", 1);
  s.cores = env.count("Extra.NCores", 0);
  s.cold_start = env.flag("Extra.Cold", false);
  s.cold_start_capacity = env.amount("Safety.StartCapacity", 1);
  s.slow_start_duration = env.time("Safety.Cold");
  s.concurrency_ceiling_per_core = env.amount("Safety.OverloadFactor", 0);
  s.concurrency_ceiling_period = env.time("Safety.Fall");
  s.memory_kb = env.amount("Extra.RamKb", 0);
  s.running_memory_factor = env.amount("Extra.RunFactor", 1);
  s.idempotency_key_kb = env.amount("Extra.KbPerKey", 0);
  s.fair_concurrent_calls = env.amount("Extra.FairCalls", 0);
  s.calls_period = env.time("Extra.CallsOver");
  s.abandoned_call_duration = env.time("Extra.Lingers");
  s.result_freshness = env.time("Extra.Fresh");
  s.answer_slack = env.time("Safety.AnswerSlack");
  s.drain_grace = env.time("Safety.DrainGrace");
  s.load_signal_ttl = env.time("Extra.Heeded");
  s.max_retry_after = env.time("Bounds.MaxRetryAfter");
  s.retry_after = env.flag("Bounds.RetryAfter", false);
  s.tick = env.time("Tick");
  s.halt = pick<halt_mode>(env, "Extra.Halt",
                           {{"silent", halt_mode::none},
                            {"none", halt_mode::none},
                            {"drop", halt_mode::drop},
                            {"pause", halt_mode::pause}});
  s.signal = pick<signal_kind>(env, "Extra.Say",
                               {{"silent", signal_kind::none},
                                {"none", signal_kind::none},
                                {"level", signal_kind::level},
                                {"credit", signal_kind::credit},
                                {"weight", signal_kind::weight}});
  s.gauges = env.list("Extra.Gauges");
  return s;
}

}  // namespace admission_policy
