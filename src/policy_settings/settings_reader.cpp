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
    if (value < 0 || value > most_nanoseconds) throw std::invalid_argument(key + " is no usable time");
    return duration{static_cast<std::int64_t>(value)};
  }
  unsigned count(const std::string& key, unsigned absent) const {
    const double value = number(key, absent);
    if (value < 0 || value > most_count) throw std::invalid_argument(key + " is no usable count");
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
  static constexpr double most_nanoseconds = 9e17;  // some 28 years, well within the range of a duration
  static constexpr double most_count = 1e6;

  const setting_paths& values_;
};

// The meaning of one of the words that the key may have; that of the first where it is absent.
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

// A list with one value for each class, or none where the key is absent.
std::vector<std::string> class_list(const environment_reader& env, const std::string& key,
                                    std::size_t classes) {
  auto items = env.list(key);
  if (!items.empty() && items.size() != classes) {
    throw std::invalid_argument(key + " does not have one value for each class");
  }
  return items;
}

class_settings read_class(const environment_reader& env, const std::string& prefix) {
  class_settings read;
  read.name = env.text(prefix + "Name");
  read.latency_objective = env.time(prefix + "Objective");
  read.deadline = env.time(prefix + "Deadline");
  read.objective_stretch = env.amount(prefix + "AimStretch", 0);
  read.priority_weight = env.amount(prefix + "Credit", 1);
  read.late_weight = env.number(prefix + "LateValue", 0);
  read.effect = pick<request_effect>(
      env, prefix + "Effect",
      {{"safe", request_effect::safe}, {"keyed", request_effect::keyed}, {"unsafe", request_effect::unsafe}});
  read.idempotency_window = env.time(prefix + "Window");
  return read;
}

std::vector<class_settings> read_classes(const environment_reader& env) {
  std::vector<class_settings> read;
  const unsigned count = env.count("Classes.count", 0);
  const auto calls = class_list(env, "Extra.ClassCalls", count);
  const auto weights = class_list(env, "Extra.WorthWithout", count);
  for (unsigned i = 0; i < count; ++i) {
    class_settings one = read_class(env, "Classes." + std::to_string(i) + ".");
    one.calls_dependency = !calls.empty() && calls[i] == "true";
    if (!weights.empty())
      one.weight_without_call = environment_reader::to_number("Extra.WorthWithout", weights[i]);
    read.push_back(std::move(one));
  }
  return read;
}

std::vector<tenant_settings> read_tenants(const environment_reader& env) {
  std::vector<tenant_settings> read;
  const unsigned count = env.count("Tenants.count", 0);
  for (unsigned i = 0; i < count; ++i) {
    const std::string prefix = "Tenants." + std::to_string(i) + ".";
    read.push_back({std::string(env.text(prefix + "Name")), env.amount(prefix + "QuotaPerS", 0)});
  }
  return read;
}

void read_capacity(const environment_reader& env, settings& into) {
  into.servers = env.count("GroupSize", 1);
  into.callers = env.count("Extra.Upstreams", 1);
  into.cores = env.count("Extra.NCores", 0);
  into.cold_start = env.flag("Extra.Cold", false);
  into.cold_start_capacity = env.amount("Safety.StartCapacity", 1);
  into.slow_start_duration = env.time("Safety.Cold");
  into.concurrency_ceiling_per_core = env.amount("Safety.OverloadFactor", 0);
  into.concurrency_ceiling_period = env.time("Safety.Fall");
  into.memory_kb = env.amount("Extra.RamKb", 0);
  into.running_memory_factor = env.amount("Extra.RunFactor", 1);
  into.idempotency_key_kb = env.amount("Extra.KbPerKey", 0);
  into.fair_concurrent_calls = env.amount("Extra.FairCalls", 0);
  into.calls_period = env.time("Extra.CallsOver");
  into.abandoned_call_duration = env.time("Extra.Lingers");
}

void read_answers(const environment_reader& env, settings& into) {
  into.result_freshness = env.time("Extra.Fresh");
  into.answer_slack = env.time("Safety.AnswerSlack");
  into.drain_grace = env.time("Safety.DrainGrace");
  into.load_signal_ttl = env.time("Extra.Heeded");
  into.max_retry_after = env.time("Bounds.MaxRetryAfter");
  into.retry_after = env.flag("Bounds.RetryAfter", false);
}

void read_host(const environment_reader& env, settings& into) {
  into.tick = env.time("Tick");
  into.halt = pick<halt_mode>(env, "Extra.Halt",
                              {{"silent", halt_mode::none},
                               {"none", halt_mode::none},
                               {"drop", halt_mode::drop},
                               {"pause", halt_mode::pause}});
  into.signal = pick<signal_kind>(env, "Extra.Say",
                                  {{"silent", signal_kind::none},
                                   {"none", signal_kind::none},
                                   {"level", signal_kind::level},
                                   {"credit", signal_kind::credit},
                                   {"weight", signal_kind::weight}});
  into.gauges = env.list("Extra.Gauges");
}

}  // namespace

settings settings_from(const setting_paths& paths) {
  const environment_reader env(paths);
  settings read;
  read.classes = read_classes(env);
  read.tenants = read_tenants(env);
  read_capacity(env, read);
  read_answers(env, read);
  read_host(env, read);
  return read;
}

}  // namespace admission_policy
