// Names in the operator's file that refer to things configured elsewhere.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "config/sections/section.hpp"

namespace marblewharf::sections {

// The index of `name` among things with a name; `known.size()`: none has it.
template <typename Named>
std::size_t index_of_name(const std::vector<Named>& known, const std::string& name) {
  const auto found = std::find_if(known.begin(), known.end(),
                                  [&](const Named& candidate) { return candidate.name == name; });
  return static_cast<std::size_t>(found - known.begin());
}

// The index of the class or tenant that a section is titled with. Throws operator_file_error.
template <typename Named>
std::size_t index_of_title(const section& titled, const std::vector<Named>& known, const std::string& title) {
  const std::size_t index = index_of_name(known, title);
  if (index == known.size()) titled.fail(nullptr, "names nothing in the settings");
  return index;
}

// The index of the class or tenant that a key's value names. Throws operator_file_error.
template <typename Named>
std::size_t index_of_value(const section& from, const char* key, const std::vector<Named>& known) {
  const std::string name = from.text(key);
  const std::size_t index = index_of_name(known, name);
  if (index == known.size()) from.fail(key, "names nothing in the settings", name);
  return index;
}

// The index of the dependency called `name`, which stands under `key`. Throws operator_file_error.
inline std::size_t index_of_dependency(const section& from, const char* key, const std::string& name,
                                       const dependencies_config& dependencies) {
  const std::size_t index = index_of_name(dependencies.endpoints, name);
  if (index == dependencies.endpoints.size()) from.fail(key, "names no dependency", name);
  return index;
}

}  // namespace marblewharf::sections
