#include "config/operator_file.hpp"

#include <utility>
#include <vector>

#include "config/sections/background.hpp"
#include "config/sections/budgets.hpp"
#include "config/sections/classes.hpp"
#include "config/sections/dependencies.hpp"
#include "config/sections/fleet.hpp"
#include "config/sections/keyed.hpp"
#include "config/sections/parsed_file.hpp"
#include "config/sections/parts.hpp"
#include "config/sections/uwsgi.hpp"
#include "config/sections/writes.hpp"

namespace marblewharf {
namespace {

std::vector<sections::schema> all_schemas() {
  return {sections::uwsgi_schema(),  sections::keyed_schema(),      sections::background_schema(),
          sections::fleet_schema(),  sections::budgets_schema(),    sections::budget_schema(),
          sections::zone_schema(),   sections::class_schema(),      sections::dependencies_schema(),
          sections::writes_schema(), sections::dependency_schema(), sections::part_schema(),
          sections::tenant_schema()};
}

}  // namespace

// The order matters: dependencies refer to zones and members of the fleet, writes refer to dependencies and
// keyed classes, and budgets refer to all of these.
void apply_operator_file(config& settings, const std::string& path) {
  const sections::parsed_file file(path, all_schemas());
  sections::class_mappings mappings = sections::read_class_mappings(file, settings.policy_settings);
  sections::read_fleet(file, settings);
  if (file.has("uwsgi"))
    enable_uwsgi(settings, sections::read_uwsgi(file, settings.policy_settings, std::move(mappings.uwsgi)));
  if (file.has("dependency")) enable_dependencies(settings, sections::read_dependencies(file, settings));
  sections::read_keyed(file, settings, std::move(mappings.windows));
  sections::read_writes(file, settings);
  sections::read_budgets(file, settings);
  sections::read_background(file, settings);
}

}  // namespace marblewharf
