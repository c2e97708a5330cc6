// The one table from the operators' setting names to the module's settings. The adapter fills the paths from
// the lines of the simulator's wire, the price node from its JSON configuration.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "admission_policy/policy.hpp"

namespace admission_policy {

// `Classes.0.Name` -> value; a list of objects has its length under `.count`, plain lists are joined by
// commas.
using setting_paths = std::map<std::string, std::string, std::less<>>;

// Throws std::invalid_argument naming the key that cannot be used; keys that are absent have defaults.
settings settings_from(const setting_paths& paths);

}  // namespace admission_policy
