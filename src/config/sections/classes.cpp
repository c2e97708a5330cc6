#include "config/sections/classes.hpp"

#include <confuse.h>

#include "config/sections/references.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds most_cost = 1000s;
constexpr std::chrono::nanoseconds longest_window = std::chrono::hours(24 * 400);
constexpr std::chrono::nanoseconds longest_reserve = 60s;
constexpr std::chrono::nanoseconds default_reserve = 50ms;

void add_values(const section& titled, const std::string& title, var_mapping& mapping) {
  for (const std::string& value : titled.texts("uwsgi_values")) {
    if (!mapping.values.emplace(value, title).second)
      titled.fail("uwsgi_values", "names a value twice", value);
  }
}

void read_class(const section& titled, const std::string& title, admission_policy::settings& known,
                class_mappings& mappings) {
  const std::size_t index = index_of_title(titled, known.classes, title);
  admission_policy::class_settings& request_class = known.classes[index];
  add_values(titled, title, mappings.uwsgi.request_class);
  if (!titled.text("uwsgi_cost").empty()) {
    const std::chrono::nanoseconds cost = titled.duration("uwsgi_cost", {}, most_cost);
    mappings.uwsgi.default_cost[index] = std::chrono::duration<double, std::milli>(cost).count();
  }
  const double weight_without_call = titled.number("worth_without", 0, 1);
  if (weight_without_call > 0) request_class.weight_without_call = weight_without_call;
  if (!titled.flag("keyed")) return;
  // A request may be open for its whole deadline: a key that expires before could run twice.
  mappings.windows[index] = titled.duration("window", request_class.deadline * 2, longest_window);
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

class_mappings read_class_mappings(const parsed_file& file, admission_policy::settings& known) {
  class_mappings mappings;
  mappings.uwsgi.default_cost.assign(known.classes.size(), 0);
  mappings.windows.assign(known.classes.size(), {});
  file.each("class", [&](const section& titled, const std::string& title) {
    read_class(titled, title, known, mappings);
  });
  file.each("tenant", [&](const section& titled, const std::string& title) {
    index_of_title(titled, known.tenants, title);
    add_values(titled, title, mappings.uwsgi.tenant);
  });
  return mappings;
}

std::chrono::nanoseconds read_reserve(const section& request_class) {
  return request_class.duration("reserve", 0s, longest_reserve);
}

std::chrono::nanoseconds read_reserve(const parsed_file& file, const std::string& class_name) {
  std::chrono::nanoseconds reserve = default_reserve;
  file.each("class", [&](const section& titled, const std::string& title) {
    if (title == class_name) reserve = read_reserve(titled);
  });
  return reserve;
}

}  // namespace marblewharf::sections
