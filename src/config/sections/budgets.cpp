#include "config/sections/budgets.hpp"

#include <confuse.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "config/sections/limits.hpp"
#include "config/sections/references.hpp"

namespace marblewharf::sections {
namespace {

using namespace std::chrono_literals;

// One datagram names all budgets.
constexpr std::size_t most_budgets = 32;
// So many renewals may be lost before a lease expires.
constexpr int renewals_per_lease = 3;
constexpr double largest_limit = 1e9;

void read_common(const section& common, budgets_config& budgets) {
  budgets.lease = common.duration("lease", 200ms, 600s);
  budgets.renew = common.duration("renew", 10ms, budgets.lease / renewals_per_lease);
  if (!common.text("settle").empty()) budgets.settle = common.duration("settle", 0s, one_hour);
  budgets.drift = common.number("drift", 0, 0.2);
  budgets.reserve = common.number("reserve", 0, 0.5);
  budgets.clock_rate = common.number("clock_rate", 0.5, 2);
  budgets.audit = common.flag("audit");
}

std::size_t count_members(const config& platform) {
  std::size_t members = 0;
  for (const fleet_zone& zone : platform.fleet->zones) members += zone.members.size();
  return members;
}

void read_amounts(const section& titled, std::size_t members, budget_config& budget) {
  budget.whole = titled.number("whole", 0, largest_limit);
  budget.safe = titled.number("safe", 0, largest_limit);
  budget.weight = titled.number("weight", 0.001, 1000);
  if (budget.whole <= 0) titled.fail("whole", "is nothing", titled.text("whole"));
  if (budget.safe * static_cast<double>(members) > budget.whole)
    titled.fail("safe", "of " + std::to_string(members) + " members is more than the whole",
                titled.text("safe"));
}

// A key that one unit needs and no other has.
void check_goes_with(const section& titled, const char* key, const char* unit, const std::string& given) {
  const bool set = !titled.text(key).empty();
  if (given == unit && !set) titled.fail(key, "is missing");
  if (given != unit && set) titled.fail(key, std::string("goes with unit = ") + unit);
}

void read_runs(const section& titled, const budgets_config& budgets, budget_config& budget) {
  budget.unit = budget_unit::runs;
  for (const budget_config& other : budgets.all)
    if (other.unit == budget_unit::runs) titled.fail("unit", "of runs has a budget already", other.name);
}

void read_requests(const section& titled, const admission_policy::settings& known, budget_config& budget) {
  budget.unit = budget_unit::requests;
  budget.tenant = static_cast<unsigned>(index_of_value(titled, "tenant", known.tenants));
  if (!titled.text("class").empty())
    budget.request_class = static_cast<int>(index_of_value(titled, "class", known.classes));
}

void read_calls(const section& titled, const config& platform, budget_config& budget) {
  budget.unit = budget_unit::calls;
  const std::string name = titled.text("dependency");
  if (!platform.dependencies) titled.fail("dependency", "names no dependency", name);
  budget.dependency = index_of_dependency(titled, "dependency", name, *platform.dependencies);
}

void read_unit(const section& titled, const std::string& unit, const config& platform,
               const budgets_config& budgets, budget_config& budget) {
  check_goes_with(titled, "tenant", "requests", unit);
  check_goes_with(titled, "dependency", "calls", unit);
  if (unit != "requests" && !titled.text("class").empty()) titled.fail("class", "goes with unit = requests");
  if (unit == "runs") {
    read_runs(titled, budgets, budget);
  } else if (unit == "requests") {
    read_requests(titled, platform.settings, budget);
  } else if (unit == "calls") {
    read_calls(titled, platform, budget);
  } else {
    titled.fail("unit", "is none of runs, requests, calls", unit);
  }
}

// A rate of requests is used up within its second: nothing of it stays in flight.
void read_settle(const section& titled, const budgets_config& budgets, budget_config& budget) {
  const bool stays_in_flight = budget.unit != budget_unit::requests;
  if (stays_in_flight) budget.settle = budgets.settle;
  if (titled.text("settle").empty()) return;
  if (!stays_in_flight) titled.fail("settle", "goes with unit = runs or calls");
  budget.settle = titled.duration("settle", 0s, one_hour);
}

void read_budget(const section& titled, const std::string& title, const config& platform,
                 budgets_config& budgets) {
  if (!platform.fleet) titled.fail(nullptr, "is set, and fleet is missing");
  budget_config budget;
  budget.name = title;
  const std::string unit = titled.required_text("unit");
  read_amounts(titled, count_members(platform), budget);
  read_unit(titled, unit, platform, budgets, budget);
  read_settle(titled, budgets, budget);
  budgets.all.push_back(std::move(budget));
  if (budgets.all.size() > most_budgets)
    titled.fail(nullptr, "is one too many: " + std::to_string(most_budgets) + " at the most");
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
    if (file.has("budgets")) file.only("budgets").fail(nullptr, "is set, and no budget is named");
    return;
  }
  budgets_config read;
  for (const auto& request_class : settings.settings.classes)
    read.settle = std::max(read.settle, request_class.deadline);
  if (file.has("budgets")) read_common(file.only("budgets"), read);
  file.each("budget", [&](const section& titled, const std::string& title) {
    read_budget(titled, title, settings, read);
  });
  settings.budgets = std::move(read);
}

}  // namespace marblewharf::sections
