#include "config/sections/dependencies.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "config/sections/parts.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds max_duration = 600s;

// Returns the zone of a place, or an empty text if the place is neither a zone's name nor a member's address.
std::string zone_of_place(const fleet_config& fleet, const std::string& place) {
  const auto is_place = [&](const endpoint& member) {
    return member.host + ":" + std::to_string(member.port) == place;
  };
  std::string found;
  for (const fleet_zone& zone : fleet.zones) {
    if (zone.name == place || std::any_of(zone.members.begin(), zone.members.end(), is_place))
      found = zone.name;
  }
  return found;
}

// Reads the places of the endpoints, as zones or members of the fleet, and the rules for preferring near
// ones.
void read_places(const section& dependency_section, const config& configuration, dependency_config& settings,
                 upstream::dependency_rules& rules) {
  settings.places = dependency_section.texts("places");
  rules.near.rules.overprovisioning = dependency_section.number("overprovisioning", 1, 10);
  rules.near.rules.panic_threshold = dependency_section.number("panic", 0, 1);
  rules.near.rules.max_calls_per_endpoint = dependency_section.small_count("most_each", 0, 4096);
  if (settings.places.empty()) {
    if (rules.near.rules.max_calls_per_endpoint > 0)
      dependency_section.fail("most_each", "is set, but places is missing");
    return;
  }
  if (!configuration.fleet) dependency_section.fail("places", "is set, but section fleet is missing");
  const fleet_config& fleet = *configuration.fleet;
  if (settings.places.size() != settings.endpoints.size())
    dependency_section.fail("places", "does not have as many entries as endpoints");
  const failover::place own{fleet.zone, fleet.region_of(fleet.zone)};
  for (const std::string& place : settings.places) {
    const std::string zone = zone_of_place(fleet, place);
    if (zone.empty())
      dependency_section.fail("places", "lists neither a zone nor a member of the fleet", place);
    rules.near.levels.push_back(failover::level_of(own, {zone, fleet.region_of(zone)}));
  }
}

void read_retries_and_hedges(const section& dependency_section, upstream::dependency_rules& rules) {
  rules.budget = dependency_section.duration("budget", 1ms, max_duration);
  rules.tries = dependency_section.small_count("tries", 1, 10);
  rules.retry_share = dependency_section.number("retry_share", 0, 1);
  rules.retry_floor = dependency_section.number("retry_floor", 0, 1000);
  rules.hedge_quantile = dependency_section.number("hedge_quantile", 0, 0.999);
  rules.hedge_share = dependency_section.number("hedge_share", 0, 1);
  rules.most_in_flight = dependency_section.small_count("most_in_flight", 1, 4096);
}

void read_outlier_ejection(const section& dependency_section, upstream::dependency_rules& rules) {
  rules.health.failures = dependency_section.small_count("failures", 1, 1000);
  rules.health.out = dependency_section.duration("out", 1ms, max_duration);
  rules.health.most_out = dependency_section.number("most_out", 0, 1);
  rules.health.ramp = dependency_section.duration("ramp", 1ms, max_duration);
  rules.health.fade = dependency_section.duration("fade", 1ms, max_duration);
}

void read_dependency(const section& dependency_section, const std::string& title, const config& configuration,
                     dependencies_config& dependencies) {
  dependency_config settings;
  settings.name = title;
  settings.path = dependency_section.text("path");
  settings.endpoints = dependency_section.addresses("endpoints");
  if (settings.endpoints.empty()) dependency_section.fail("endpoints", "lists no endpoint");
  upstream::dependency_rules rules;
  rules.name = title;
  rules.endpoints = settings.endpoints.size();
  read_retries_and_hedges(dependency_section, rules);
  settings.one_phase = dependency_section.flag("one_phase");
  read_places(dependency_section, configuration, settings, rules);
  read_outlier_ejection(dependency_section, rules);
  dependencies.upstreams.push_back(std::move(settings));
  dependencies.rules.push_back(std::move(rules));
}

}  // namespace

schema dependencies_schema() {
  static cfg_opt_t options[] = {CFG_STR("budget_var", nullptr, CFGF_NONE),
                                CFG_STR("cache", "8MiB", CFGF_NONE), CFG_END()};
  return {.name = "dependencies", .options = options};
}

schema dependency_schema() {
  static cfg_opt_t options[] = {CFG_STR_LIST("endpoints", nullptr, CFGF_NONE),
                                CFG_STR("path", nullptr, CFGF_NONE),
                                CFG_STR("budget", "1s", CFGF_NONE),
                                CFG_STR("tries", "2", CFGF_NONE),
                                CFG_STR("retry_share", "0.1", CFGF_NONE),
                                CFG_STR("retry_floor", "1", CFGF_NONE),
                                CFG_STR("hedge_quantile", "0.95", CFGF_NONE),
                                CFG_STR("hedge_share", "0.05", CFGF_NONE),
                                CFG_STR("most_in_flight", "64", CFGF_NONE),
                                CFG_STR("failures", "5", CFGF_NONE),
                                CFG_STR("out", "2s", CFGF_NONE),
                                CFG_STR("most_out", "0.5", CFGF_NONE),
                                CFG_STR("ramp", "5s", CFGF_NONE),
                                CFG_STR("fade", "2s", CFGF_NONE),
                                CFG_STR("one_phase", "no", CFGF_NONE),
                                CFG_STR_LIST("places", nullptr, CFGF_NONE),
                                CFG_STR("overprovisioning", "1.4", CFGF_NONE),
                                CFG_STR("panic", "0.5", CFGF_NONE),
                                CFG_STR("most_each", "0", CFGF_NONE),
                                CFG_END()};
  return {.name = "dependency", .options = options, .titled = true};
}

dependencies_config read_dependencies(const parsed_file& file, const config& settings) {
  dependencies_config dependencies;
  if (file.has("dependencies")) {
    const section common = file.get_section("dependencies");
    dependencies.budget_var = common.text("budget_var");
    dependencies.cache_bytes = common.bytes("cache", 0, std::uint64_t{1} << 32);
  }
  file.for_each("dependency", [&](const section& dependency_section, const std::string& title) {
    read_dependency(dependency_section, title, settings, dependencies);
  });
  read_parts(file, settings.policy_settings, dependencies);
  return dependencies;
}

}  // namespace marblewharf::sections
