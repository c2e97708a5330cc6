#include "config/sections/classes.hpp"

#include <confuse.h>

#include "config/sections/references.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds max_cost = 1000s;
constexpr std::chrono::nanoseconds max_window = std::chrono::hours(24 * 400);
constexpr std::chrono::nanoseconds max_reserve = 60s;
constexpr std::chrono::nanoseconds default_reserve = 50ms;

void add_values(const section& titled_section, const std::string& title, var_mapping& mapping) {
  for (const std::string& value : titled_section.texts("uwsgi_values")) {
    if (!mapping.values.emplace(value, title).second)
      titled_section.fail("uwsgi_values", "lists a value that is already mapped", value);
  }
}

void read_class(const section& class_section, const std::string& title,
                admission_policy::settings& policy_settings, class_mappings& mappings) {
  const std::size_t index = index_of_title(class_section, policy_settings.classes, title);
  admission_policy::class_settings& request_class = policy_settings.classes[index];
  add_values(class_section, title, mappings.uwsgi.request_class);
  if (!class_section.text("uwsgi_cost").empty()) {
    const std::chrono::nanoseconds cost = class_section.duration("uwsgi_cost", {}, max_cost);
    mappings.uwsgi.default_cost[index] = std::chrono::duration<double, std::milli>(cost).count();
  }
  const double weight_without_call = class_section.number("worth_without", 0, 1);
  if (weight_without_call > 0) request_class.weight_without_call = weight_without_call;
  if (!class_section.flag("keyed")) return;
  // A request can be open until its deadline. If its key expired earlier, a duplicate could run again.
  mappings.windows[index] = class_section.duration("window", request_class.deadline * 2, max_window);
}

}  // namespace

schema class_schema() {
  static cfg_opt_t options[] = {CFG_STR_LIST("uwsgi_values", nullptr, CFGF_NONE),
                                CFG_STR("uwsgi_cost", nullptr, CFGF_NONE),
                                CFG_STR("keyed", "no", CFGF_NONE),
                                CFG_STR("window", "24h", CFGF_NONE),
                                CFG_STR("reserve", "50ms", CFGF_NONE),
                                CFG_STR("worth_without", "0", CFGF_NONE),
                                CFG_STR_LIST("participants", nullptr, CFGF_NONE),
                                CFG_END()};
  return {.name = "class", .options = options, .titled = true};
}

schema tenant_schema() {
  static cfg_opt_t options[] = {CFG_STR_LIST("uwsgi_values", nullptr, CFGF_NONE), CFG_END()};
  return {.name = "tenant", .options = options, .titled = true};
}

class_mappings read_class_mappings(const parsed_file& file, admission_policy::settings& policy_settings) {
  class_mappings mappings;
  mappings.uwsgi.default_cost.assign(policy_settings.classes.size(), 0);
  mappings.windows.assign(policy_settings.classes.size(), {});
  file.for_each("class", [&](const section& class_section, const std::string& title) {
    read_class(class_section, title, policy_settings, mappings);
  });
  file.for_each("tenant", [&](const section& tenant_section, const std::string& title) {
    index_of_title(tenant_section, policy_settings.tenants, title);
    add_values(tenant_section, title, mappings.uwsgi.tenant);
  });
  return mappings;
}

std::chrono::nanoseconds read_reserve(const section& request_class) {
  return request_class.duration("reserve", 0s, max_reserve);
}

std::chrono::nanoseconds read_reserve(const parsed_file& file, const std::string& class_name) {
  std::chrono::nanoseconds reserve = default_reserve;
  file.for_each("class", [&](const section& class_section, const std::string& title) {
    if (title == class_name) reserve = read_reserve(class_section);
  });
  return reserve;
}

}  // namespace marblewharf::sections
