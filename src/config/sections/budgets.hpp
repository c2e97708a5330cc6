// The sections `budgets` and `budget`: global limits that the cluster divides among its nodes as quotas.
#pragma once

#include "config/config.hpp"
#include "config/sections/parsed_file.hpp"

namespace marblewharf::sections {

schema budgets_schema();
schema budget_schema();

// Sets `settings.budgets` where the file names a budget. `settings` has the fleet and the dependencies
// already.
void read_budgets(const parsed_file& file, config& settings);

}  // namespace marblewharf::sections
