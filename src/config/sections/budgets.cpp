#include "config/sections/budgets.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "config/sections/bounds.hpp"
#include "config/sections/references.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// One datagram lists all budgets, which limits their number.
constexpr std::size_t max_budgets = 32;
// A lease lasts at least this many renewal intervals, so that lost renewals do not expire the lease at once.
constexpr int renewals_per_lease = 3;
constexpr double largest_limit = 1e9;

void read_common_settings(const section& common, budgets_config& budgets) {
  budgets.lease_duration = common.duration("lease", 200ms, 600s);
  budgets.renew_interval = common.duration("renew", 10ms, budgets.lease_duration / renewals_per_lease);
  if (!common.text("settle").empty()) budgets.settle_time = common.duration("settle", 0s, one_hour);
  budgets.max_clock_drift = common.number("drift", 0, 0.2);
  budgets.join_reserve = common.number("reserve", 0, 0.5);
  budgets.clock_rate = common.number("clock_rate", 0.5, 2);
  budgets.audit = common.flag("audit");
}

std::size_t count_members(const config& configuration) {
  std::size_t members = 0;
  for (const fleet_zone& zone : configuration.fleet->zones) members += zone.members.size();
  return members;
}

void read_amounts(const section& budget_section, std::size_t members, budget_config& budget) {
  budget.limit = budget_section.number("whole", 0, largest_limit);
  budget.guaranteed_share = budget_section.number("safe", 0, largest_limit);
  budget.weight = budget_section.number("weight", 0.001, 1000);
  if (budget.limit <= 0) budget_section.fail("whole", "is not greater than 0", budget_section.text("whole"));
  if (budget.guaranteed_share * static_cast<double>(members) > budget.limit)
    budget_section.fail("safe", "times " + std::to_string(members) + " members exceeds whole",
                        budget_section.text("safe"));
}

// Checks that `key` is set if and only if the budget has the unit `required_unit`.
void check_key_of_unit(const section& budget_section, const char* key, const char* required_unit,
                       const std::string& unit) {
  const bool set = !budget_section.text(key).empty();
  if (unit == required_unit && !set) budget_section.fail(key, "is missing");
  if (unit != required_unit && set)
    budget_section.fail(key, std::string("is only allowed with unit = ") + required_unit);
}

void read_runs(const section& budget_section, const budgets_config& budgets, budget_config& budget) {
  budget.unit = budget_unit::runs;
  for (const budget_config& other : budgets.budgets)
    if (other.unit == budget_unit::runs)
      budget_section.fail("unit", "= runs is already the unit of another budget", other.name);
}

void read_requests(const section& budget_section, const admission_policy::settings& policy_settings,
                   budget_config& budget) {
  budget.unit = budget_unit::requests;
  budget.tenant = static_cast<unsigned>(index_of_value(budget_section, "tenant", policy_settings.tenants));
  if (!budget_section.text("class").empty())
    budget.request_class = static_cast<int>(index_of_value(budget_section, "class", policy_settings.classes));
}

void read_calls(const section& budget_section, const config& configuration, budget_config& budget) {
  budget.unit = budget_unit::calls;
  const std::string name = budget_section.text("dependency");
  if (!configuration.dependencies) budget_section.fail("dependency", "names an unknown dependency", name);
  budget.dependency = index_of_dependency(budget_section, "dependency", name, *configuration.dependencies);
}

void read_unit(const section& budget_section, const std::string& unit, const config& configuration,
               const budgets_config& budgets, budget_config& budget) {
  check_key_of_unit(budget_section, "tenant", "requests", unit);
  check_key_of_unit(budget_section, "dependency", "calls", unit);
  if (unit != "requests" && !budget_section.text("class").empty())
    budget_section.fail("class", "is only allowed with unit = requests");
  if (unit == "runs") {
    read_runs(budget_section, budgets, budget);
  } else if (unit == "requests") {
    read_requests(budget_section, configuration.policy_settings, budget);
  } else if (unit == "calls") {
    read_calls(budget_section, configuration, budget);
  } else {
    budget_section.fail("unit", "is not one of runs, requests, calls", unit);
  }
}

// A budget of requests is a rate: nothing of it stays in flight, so it has no settle time.
void read_settle(const section& budget_section, const budgets_config& budgets, budget_config& budget) {
  const bool stays_in_flight = budget.unit != budget_unit::requests;
  if (stays_in_flight) budget.settle_time = budgets.settle_time;
  if (budget_section.text("settle").empty()) return;
  if (!stays_in_flight) budget_section.fail("settle", "is only allowed with unit = runs or calls");
  budget.settle_time = budget_section.duration("settle", 0s, one_hour);
}

void read_budget(const section& budget_section, const std::string& title, const config& configuration,
                 budgets_config& budgets) {
  if (!configuration.fleet) budget_section.fail(nullptr, "is set, but section fleet is missing");
  budget_config budget;
  budget.name = title;
  const std::string unit = budget_section.required_text("unit");
  read_amounts(budget_section, count_members(configuration), budget);
  read_unit(budget_section, unit, configuration, budgets, budget);
  read_settle(budget_section, budgets, budget);
  budgets.budgets.push_back(std::move(budget));
  if (budgets.budgets.size() > max_budgets)
    budget_section.fail(nullptr, "exceeds the maximum of " + std::to_string(max_budgets) + " budgets");
}

}  // namespace

schema budgets_schema() {
  static cfg_opt_t options[] = {CFG_STR("lease", "2s", CFGF_NONE),     CFG_STR("renew", "500ms", CFGF_NONE),
                                CFG_STR("settle", nullptr, CFGF_NONE), CFG_STR("drift", "0.01", CFGF_NONE),
                                CFG_STR("reserve", "0.05", CFGF_NONE), CFG_STR("clock_rate", "1", CFGF_NONE),
                                CFG_STR("audit", "no", CFGF_NONE),     CFG_END()};
  return {.name = "budgets", .options = options};
}

schema budget_schema() {
  static cfg_opt_t options[] = {CFG_STR("unit", nullptr, CFGF_NONE),
                                CFG_STR("whole", nullptr, CFGF_NONE),
                                CFG_STR("safe", "0", CFGF_NONE),
                                CFG_STR("weight", "1", CFGF_NONE),
                                CFG_STR("tenant", nullptr, CFGF_NONE),
                                CFG_STR("class", nullptr, CFGF_NONE),
                                CFG_STR("dependency", nullptr, CFGF_NONE),
                                CFG_STR("settle", nullptr, CFGF_NONE),
                                CFG_END()};
  return {.name = "budget", .options = options, .titled = true};
}

void read_budgets(const parsed_file& file, config& settings) {
  if (!file.has("budget")) {
    if (file.has("budgets"))
      file.get_section("budgets").fail(nullptr, "is set, but there is no section budget");
    return;
  }
  budgets_config budgets;
  for (const auto& request_class : settings.policy_settings.classes)
    budgets.settle_time = std::max(budgets.settle_time, request_class.deadline);
  if (file.has("budgets")) read_common_settings(file.get_section("budgets"), budgets);
  file.for_each("budget", [&](const section& budget_section, const std::string& title) {
    read_budget(budget_section, title, settings, budgets);
  });
  settings.budgets = std::move(budgets);
}

}  // namespace marblewharf::sections
