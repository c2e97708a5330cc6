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

constexpr std::chrono::nanoseconds longest_time = 600s;

// The zone of a place, which is a zone's name or a member's address; empty: it is neither.
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

// Where the endpoints are, in terms of the fleet.
void read_places(const section& titled, const config& platform, dependency_config& settings,
                 upstream::dependency_rules& rules) {
  settings.places = titled.texts("places");
  rules.near.rules.overprovisioning = titled.number("overprovisioning", 1, 10);
  rules.near.rules.panic_threshold = titled.number("panic", 0, 1);
  rules.near.rules.most_each = titled.small_count("most_each", 0, 4096);
  if (settings.places.empty()) {
    if (rules.near.rules.most_each > 0) titled.fail("most_each", "is set, and places is missing");
    return;
  }
  if (!platform.fleet) titled.fail("places", "is set, and fleet is missing");
  const fleet_config& fleet = *platform.fleet;
  if (settings.places.size() != settings.at.size()) titled.fail("places", "are not as many as endpoints");
  const failover::place own{fleet.zone, fleet.region_of(fleet.zone)};
  for (const std::string& place : settings.places) {
    const std::string zone = zone_of_place(fleet, place);
    if (zone.empty()) titled.fail("places", "names neither a zone nor a member of the fleet", place);
    rules.near.where.push_back(failover::level_of(own, {zone, fleet.region_of(zone)}));
  }
}

void read_retries_and_hedges(const section& titled, upstream::dependency_rules& rules) {
  rules.budget = titled.duration("budget", 1ms, longest_time);
  rules.tries = titled.small_count("tries", 1, 10);
  rules.retry_share = titled.number("retry_share", 0, 1);
  rules.retry_floor = titled.number("retry_floor", 0, 1000);
  rules.hedge_quantile = titled.number("hedge_quantile", 0, 0.999);
  rules.hedge_share = titled.number("hedge_share", 0, 1);
  rules.most_in_flight = titled.small_count("most_in_flight", 1, 4096);
}

void read_outlier_ejection(const section& titled, upstream::dependency_rules& rules) {
  rules.health.failures = titled.small_count("failures", 1, 1000);
  rules.health.out = titled.duration("out", 1ms, longest_time);
  rules.health.most_out = titled.number("most_out", 0, 1);
  rules.health.ramp = titled.duration("ramp", 1ms, longest_time);
  rules.health.fade = titled.duration("fade", 1ms, longest_time);
}

void read_dependency(const section& titled, const std::string& title, const config& platform,
                     dependencies_config& dependencies) {
  dependency_config settings;
  settings.name = title;
  settings.path = titled.text("path");
  settings.at = titled.addresses("endpoints");
  if (settings.at.empty()) titled.fail("endpoints", "names no endpoint");
  upstream::dependency_rules rules;
  rules.name = title;
  rules.endpoints = settings.at.size();
  read_retries_and_hedges(titled, rules);
  settings.one_phase = titled.flag("one_phase");
  read_places(titled, platform, settings, rules);
  read_outlier_ejection(titled, rules);
  dependencies.endpoints.push_back(std::move(settings));
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
    const section common = file.only("dependencies");
    dependencies.budget_var = common.text("budget_var");
    dependencies.cache = common.bytes("cache", 0, std::uint64_t{1} << 32);
  }
  file.each("dependency", [&](const section& titled, const std::string& title) {
    read_dependency(titled, title, settings, dependencies);
  });
  read_parts(file, settings.settings, dependencies);
  return dependencies;
}

}  // namespace marblewharf::sections
