#include "config/sections/parts.hpp"

#include <confuse.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/sections/classes.hpp"
#include "config/sections/references.hpp"
#include "config/units.hpp"

namespace marblewharf::sections {
namespace {

// Titles of the parts of a plan, for error messages.
using plan_titles = std::vector<std::string>;

// Parses a fallback: "dependency NAME", "stale AGE" or "fixed TEXT".
upstream::fallback parse_fallback(const section& part, const std::string& text,
                                  const dependencies_config& dependencies) {
  using kind = upstream::fallback::kind;
  const std::size_t separator = text.find(' ');
  const std::string word = text.substr(0, separator);
  const std::string argument = separator == std::string::npos ? "" : text.substr(separator + 1);
  if (word == "dependency")
    return {kind::dependency, index_of_dependency(part, "fallback", argument, dependencies), {}, {}};
  if (word == "fixed") return {kind::fixed, 0, {}, argument};
  const std::optional<std::chrono::nanoseconds> age = parse_time(argument);
  if (word != "stale" || !age)
    part.fail("fallback", "is not one of 'dependency NAME', 'stale AGE', 'fixed TEXT'", text);
  return {kind::stale, 0, *age, {}};
}

// Reads the class to whose answers the part belongs.
const admission_policy::class_settings& read_class(const section& part,
                                                   const admission_policy::settings& policy_settings) {
  part.required_text("class");
  const auto& request_class = policy_settings.classes[index_of_value(part, "class", policy_settings.classes)];
  if (request_class.effect != admission_policy::request_effect::safe)
    part.fail("class", "names a class with effects, but only reads can be fan-outs", request_class.name);
  return request_class;
}

upstream::sub_request_plan read_part(const section& part, const std::string& title,
                                     const dependencies_config& dependencies) {
  upstream::sub_request_plan plan;
  plan.name = title;
  plan.dependency = index_of_dependency(part, "from", part.required_text("from"), dependencies);
  plan.required = part.flag("required");
  plan.shared = part.flag("shared");
  for (const std::string& text : part.texts("fallback"))
    plan.fallbacks.push_back(parse_fallback(part, text, dependencies));
  return plan;
}

upstream::request_plan new_plan(const parsed_file& file,
                                const admission_policy::class_settings& request_class) {
  const bool has_objective = request_class.latency_objective.count() > 0;
  return {request_class.name,
          has_objective ? request_class.latency_objective : request_class.deadline,
          read_reserve(file, request_class.name),
          {}};
}

// Checks the plans. Throws operator_file_error with the line of the part at fault if the error names a part,
// and rethrows the error of check_plans() otherwise.
void check_parts(const parsed_file& file, const dependencies_config& dependencies,
                 const std::vector<plan_titles>& titles) {
  try {
    upstream::check_plans(dependencies.plans, dependencies.rules);
  } catch (const upstream::plan_error& error) {
    const std::string faulty_part = error.part ? titles[error.plan][*error.part] : "";
    file.for_each("part", [&](const section& part, const std::string& title) {
      if (title == faulty_part) part.fail("from", error.what());
    });
    throw;
  }
}

}  // namespace

schema part_schema() {
  static cfg_opt_t options[] = {
      CFG_STR("class", nullptr, CFGF_NONE),         CFG_STR("from", nullptr, CFGF_NONE),
      CFG_STR("required", "no", CFGF_NONE),         CFG_STR("shared", "no", CFGF_NONE),
      CFG_STR_LIST("fallback", nullptr, CFGF_NONE), CFG_END()};
  return {.name = "part", .options = options, .titled = true};
}

void read_parts(const parsed_file& file, const admission_policy::settings& policy_settings,
                dependencies_config& dependencies) {
  std::vector<upstream::request_plan>& plans = dependencies.plans;
  std::vector<plan_titles> titles;  // by plan
  file.for_each("part", [&](const section& part, const std::string& title) {
    const admission_policy::class_settings& request_class = read_class(part, policy_settings);
    auto plan = std::find_if(plans.begin(), plans.end(), [&](const upstream::request_plan& candidate) {
      return candidate.request_class == request_class.name;
    });
    if (plan == plans.end()) {
      plans.push_back(new_plan(file, request_class));
      titles.emplace_back();
      plan = std::prev(plans.end());
    }
    plan->parts.push_back(read_part(part, title, dependencies));
    titles[static_cast<std::size_t>(plan - plans.begin())].push_back(title);
  });
  check_parts(file, dependencies, titles);
}

}  // namespace marblewharf::sections
