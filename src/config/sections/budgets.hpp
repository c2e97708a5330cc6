// The sections `budgets` and `budget`: global limits that the cluster divides among its nodes as quotas.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema budgets_schema();
schema budget_schema();

// Sets `settings.budgets` if the file has a section `budget`. Must be called after the fleet and the
// dependencies were added to `settings`.
void read_budgets(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
