// Maps the operators' setting names to the settings of the admission policy. The simulator adapter takes the
// names and values from the simulator's wire, the price node from its JSON configuration.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "admission_policy/policy.hpp"

namespace admission_policy {

// Setting paths, such as `Classes.0.Name`, with their values. The length of a list of objects is stored under
// `.count`; the values of a plain list are joined by commas.
using setting_paths = std::map<std::string, std::string, std::less<>>;

// Throws std::invalid_argument with the key if a value is invalid. Missing keys have defaults.
settings settings_from(const setting_paths& paths);

}  // namespace admission_policy
