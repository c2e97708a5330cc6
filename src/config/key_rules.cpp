#include "config/key_rules.hpp"

namespace marblewharf {
namespace {

constexpr const char* platform_thrift_field = "unique";

bool has_window(const std::vector<std::chrono::nanoseconds>& windows, std::size_t request_class) {
  return request_class < windows.size() && windows[request_class].count() > 0;
}

key_rule thrift_rule_of(const config& settings, std::size_t request_class) {
  const bool keyed_by_platform = has_window(settings.platform_windows, request_class);
  switch (result_storage_of(settings, request_class)) {
    case result_storage::none: return {};
    case result_storage::memory:
      return {.source = platform_thrift_field, .max_bytes = settings.memory_idempotency->max_key_bytes};
    case result_storage::disk: break;
  }
  const keyed_config& keyed = *settings.keyed;
  if (!keyed.thrift_field.empty())
    return {.source = keyed.thrift_field, .max_bytes = keyed.max_key_bytes, .required = true};
  if (keyed_by_platform) return {.source = platform_thrift_field, .max_bytes = keyed.max_key_bytes};
  return {};
}

key_rule uwsgi_rule_of(const config& settings, std::size_t request_class) {
  if (!settings.keyed) return {};
  const keyed_config& keyed = *settings.keyed;
  switch (result_storage_of(settings, request_class)) {
    case result_storage::none: return {};
    case result_storage::memory:
      return {.source = keyed.uwsgi_var, .max_bytes = settings.memory_idempotency->max_key_bytes};
    case result_storage::disk: break;
  }
  return {.source = keyed.uwsgi_var, .max_bytes = keyed.max_key_bytes, .required = true};
}

using rule_of_class = key_rule (*)(const config& settings, std::size_t request_class);

key_rules rules_of(const config& settings, rule_of_class rule_of) {
  std::vector<key_rule> by_class;
  for (std::size_t index = 0; index < settings.policy_settings.classes.size(); ++index)
    by_class.push_back(rule_of(settings, index));
  return key_rules(std::move(by_class));
}

}  // namespace

result_storage result_storage_of(const config& settings, std::size_t request_class) {
  if (settings.keyed && has_window(settings.keyed->windows, request_class)) return result_storage::disk;
  const auto& memory = settings.memory_idempotency;
  return memory && has_window(memory->windows, request_class) ? result_storage::memory : result_storage::none;
}

key_rules thrift_key_rules(const config& settings) {
  return rules_of(settings, thrift_rule_of);
}

key_rules uwsgi_key_rules(const config& settings) {
  return rules_of(settings, uwsgi_rule_of);
}

}  // namespace marblewharf
