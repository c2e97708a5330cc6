// Resolves names in the operator's file that refer to classes, tenants and dependencies.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "config/sections/section.hpp"

namespace marblewharf::sections {

// Returns the index of the element called `name`, or `candidates.size()` if there is none.
template <typename Named>
std::size_t index_of_name(const std::vector<Named>& candidates, const std::string& name) {
  const auto found = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const Named& candidate) { return candidate.name == name; });
  return static_cast<std::size_t>(found - candidates.begin());
}

// Returns the index of the class or tenant that is the title of a section. Throws operator_file_error if it
// is unknown.
template <typename Named>
std::size_t index_of_title(const section& titled_section, const std::vector<Named>& candidates,
                           const std::string& title) {
  const std::size_t index = index_of_name(candidates, title);
  if (index == candidates.size()) titled_section.fail(nullptr, "is not defined in the platform's settings");
  return index;
}

// Returns the index of the class or tenant that the value of a key names. Throws operator_file_error if it is
// unknown.
template <typename Named>
std::size_t index_of_value(const section& referring_section, const char* key,
                           const std::vector<Named>& candidates) {
  const std::string name = referring_section.text(key);
  const std::size_t index = index_of_name(candidates, name);
  if (index == candidates.size())
    referring_section.fail(key, "is not defined in the platform's settings", name);
  return index;
}

// Returns the index of the dependency called `name`, which is a value of `key`. Throws operator_file_error if
// it is unknown.
inline std::size_t index_of_dependency(const section& referring_section, const char* key,
                                       const std::string& name, const dependencies_config& dependencies) {
  const std::size_t index = index_of_name(dependencies.upstreams, name);
  if (index == dependencies.upstreams.size())
    referring_section.fail(key, "names an unknown dependency", name);
  return index;
}

}  // namespace marblewharf::sections
