#include "server/storage_log.hpp"

#include <chrono>
#include <cstddef>

#include "config/key_rules.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {
namespace {

std::string milliseconds_text(std::chrono::nanoseconds window) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(window).count()) + " ms";
}

std::string source_of(const key_rules& rules, std::size_t request_class) {
  const key_rule* rule = rules.find(request_class);
  return rule != nullptr ? rule->source : "none";
}

std::string storage_text(const config& settings, std::size_t request_class) {
  switch (result_storage_of(settings, request_class)) {
    case result_storage::memory:
      return "in memory for " + milliseconds_text(settings.memory_idempotency->windows[request_class]);
    case result_storage::disk:
      return "on disk for " + milliseconds_text(settings.keyed->windows[request_class]);
    case result_storage::none: break;
  }
  return "nowhere, its window is 0";
}

}  // namespace

std::string describe_result_storage(const config& settings) {
  const key_rules thrift_rules = thrift_key_rules(settings);
  const key_rules uwsgi_rules = uwsgi_key_rules(settings);
  const auto& classes = settings.policy_settings.classes;
  std::string description;
  for (std::size_t index = 0; index < classes.size(); ++index) {
    if (classes[index].effect != admission_policy::request_effect::keyed) continue;
    if (!description.empty()) description += "; ";
    description += classes[index].name + ": " + storage_text(settings, index);
    description += ", Thrift field " + source_of(thrift_rules, index);
    if (settings.uwsgi) description += ", uwsgi var " + source_of(uwsgi_rules, index);
  }
  return description;
}

void log_result_storage(const config& settings) {
  const std::string description = describe_result_storage(settings);
  if (!description.empty()) telemetry::log("results", "%s", description.c_str());
}

}  // namespace marblewharf::server
