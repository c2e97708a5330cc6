#include "settings_reader.hpp"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <stdexcept>
#include <utility>
#include <vector>

namespace admission_policy {
namespace {

// Reads typed values of the settings. Every read has a default for a missing key.
class value_reader {
 public:
  explicit value_reader(const setting_paths& values) : values_(values) {}

  std::string_view text(const std::string& key, std::string_view default_value = "") const {
    const auto found = values_.find(key);
    return found == values_.end() ? default_value : std::string_view(found->second);
  }
  double number(const std::string& key, double default_value) const {
    const std::string_view value = text(key);
    return value.empty() ? default_value : to_number(key, value);
  }
  double non_negative_number(const std::string& key, double default_value) const {
    const double value = number(key, default_value);
    if (value < 0) throw std::invalid_argument(key + " must not be negative");
    return value;
  }
  duration time(const std::string& key, duration default_value = {}) const {
    const double value = number(key, static_cast<double>(default_value.count()));
    if (value < 0 || value > max_nanoseconds)
      throw std::invalid_argument(key + " is not a time between 0 and 9e17 nanoseconds");
    return duration{static_cast<std::int64_t>(value)};
  }
  unsigned count(const std::string& key, unsigned default_value) const {
    const double value = number(key, default_value);
    if (value < 0 || value > max_count)
      throw std::invalid_argument(key + " is not a count between 0 and 1000000");
    return static_cast<unsigned>(value);
  }
  bool flag(const std::string& key, bool default_value) const {
    const std::string_view value = text(key);
    if (value.empty()) return default_value;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw std::invalid_argument(key + " must be true or false");
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
      throw std::invalid_argument(key + " is not a number: " + std::string(value));
    }
    return parsed;
  }

 private:
  static constexpr double max_nanoseconds = 9e17;  // about 28 years, well within the range of a duration
  static constexpr double max_count = 1e6;

  const setting_paths& values_;
};

// Converts the value of the key to one of the choices. The first choice is the default for a missing key.
template <typename T>
T read_choice(const value_reader& values, const std::string& key,
              std::initializer_list<std::pair<std::string_view, T>> choices) {
  const std::string_view value = values.text(key);
  if (value.empty()) return choices.begin()->second;
  for (const auto& [name, chosen] : choices) {
    if (value == name) return chosen;
  }
  throw std::invalid_argument(key + " is not one of the allowed values: " + std::string(value));
}

// Reads a list with one value per class. Returns an empty list for a missing key.
std::vector<std::string> read_class_list(const value_reader& values, const std::string& key,
                                         std::size_t class_count) {
  auto items = values.list(key);
  if (!items.empty() && items.size() != class_count) {
    throw std::invalid_argument(key + " must have one value for each class");
  }
  return items;
}

class_settings read_class(const value_reader& values, const std::string& prefix) {
  class_settings its_class;
  its_class.name = values.text(prefix + "Name");
  its_class.latency_objective = values.time(prefix + "Objective");
  its_class.deadline = values.time(prefix + "Deadline");
  its_class.objective_stretch = values.non_negative_number(prefix + "AimStretch", 0);
  its_class.priority_weight = values.non_negative_number(prefix + "Credit", 1);
  its_class.late_weight = values.number(prefix + "LateValue", 0);
  its_class.effect = read_choice<request_effect>(
      values, prefix + "Effect",
      {{"safe", request_effect::safe}, {"keyed", request_effect::keyed}, {"unsafe", request_effect::unsafe}});
  its_class.idempotency_window = values.time(prefix + "Window");
  return its_class;
}

std::vector<class_settings> read_classes(const value_reader& values) {
  std::vector<class_settings> classes;
  const unsigned count = values.count("Classes.count", 0);
  const auto calls = read_class_list(values, "Extra.ClassCalls", count);
  const auto weights = read_class_list(values, "Extra.WorthWithout", count);
  for (unsigned i = 0; i < count; ++i) {
    class_settings its_class = read_class(values, "Classes." + std::to_string(i) + ".");
    its_class.calls_dependency = !calls.empty() && calls[i] == "true";
    if (!weights.empty())
      its_class.weight_without_call = value_reader::to_number("Extra.WorthWithout", weights[i]);
    classes.push_back(std::move(its_class));
  }
  return classes;
}

std::vector<tenant_settings> read_tenants(const value_reader& values) {
  std::vector<tenant_settings> tenants;
  const unsigned count = values.count("Tenants.count", 0);
  for (unsigned i = 0; i < count; ++i) {
    const std::string prefix = "Tenants." + std::to_string(i) + ".";
    tenants.push_back(
        {std::string(values.text(prefix + "Name")), values.non_negative_number(prefix + "QuotaPerS", 0)});
  }
  return tenants;
}

void read_capacity(const value_reader& values, settings& policy_settings) {
  policy_settings.servers = values.count("GroupSize", 1);
  policy_settings.callers = values.count("Extra.Upstreams", 1);
  policy_settings.cores = values.count("Extra.NCores", 0);
  policy_settings.cold_start = values.flag("Extra.Cold", false);
  policy_settings.cold_start_capacity = values.non_negative_number("Safety.StartCapacity", 1);
  policy_settings.slow_start_duration = values.time("Safety.Cold");
  policy_settings.concurrency_ceiling_per_core = values.non_negative_number("Safety.OverloadFactor", 0);
  policy_settings.concurrency_ceiling_period = values.time("Safety.Fall");
  policy_settings.memory_kb = values.non_negative_number("Extra.RamKb", 0);
  policy_settings.running_memory_factor = values.non_negative_number("Extra.RunFactor", 1);
  policy_settings.idempotency_key_kb = values.non_negative_number("Extra.KbPerKey", 0);
  policy_settings.fair_concurrent_calls = values.non_negative_number("Extra.FairCalls", 0);
  policy_settings.calls_period = values.time("Extra.CallsOver");
  policy_settings.abandoned_call_duration = values.time("Extra.Lingers");
}

void read_answers(const value_reader& values, settings& policy_settings) {
  policy_settings.result_freshness = values.time("Extra.Fresh");
  policy_settings.answer_slack = values.time("Safety.AnswerSlack");
  policy_settings.drain_grace = values.time("Safety.DrainGrace");
  policy_settings.load_signal_ttl = values.time("Extra.Heeded");
  policy_settings.max_retry_after = values.time("Bounds.MaxRetryAfter");
  policy_settings.retry_after = values.flag("Bounds.RetryAfter", false);
}

void read_host(const value_reader& values, settings& policy_settings) {
  policy_settings.tick = values.time("Tick");
  policy_settings.halt = read_choice<halt_mode>(values, "Extra.Halt",
                                                {{"silent", halt_mode::none},
                                                 {"none", halt_mode::none},
                                                 {"drop", halt_mode::drop},
                                                 {"pause", halt_mode::pause}});
  policy_settings.signal = read_choice<signal_kind>(values, "Extra.Say",
                                                    {{"silent", signal_kind::none},
                                                     {"none", signal_kind::none},
                                                     {"level", signal_kind::level},
                                                     {"credit", signal_kind::credit},
                                                     {"weight", signal_kind::weight}});
  policy_settings.gauges = values.list("Extra.Gauges");
}

}  // namespace

settings settings_from(const setting_paths& paths) {
  const value_reader values(paths);
  settings policy_settings;
  policy_settings.classes = read_classes(values);
  policy_settings.tenants = read_tenants(values);
  read_capacity(values, policy_settings);
  read_answers(values, policy_settings);
  read_host(values, policy_settings);
  return policy_settings;
}

}  // namespace admission_policy
