// Maps the names of request classes and tenants to the indexes that the core uses. Not synchronized.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission_policy/policy.hpp"

namespace marblewharf {

class request_name_index {
 public:
  // Starts without names and adds each name that is looked up.
  request_name_index() = default;

  // Has exactly the names that the settings list.
  explicit request_name_index(const admission_policy::settings& settings) : adds_names_(false) {
    for (const auto& request_class : settings.classes) classes.push_back(request_class.name);
    for (const auto& tenant : settings.tenants) tenants.push_back(tenant.name);
  }

  // Returns the index of a name, or none if the name is unknown and cannot be added.
  std::optional<unsigned> class_of(std::string_view name) { return find(classes, name); }
  // Settings that list no tenants have a single tenant without a name, whose index every name gets.
  std::optional<unsigned> tenant_of(std::string_view name) {
    return has_unnamed_tenant() ? 0 : find(tenants, name);
  }
  // Whether the settings list no tenants, so that requests need not name one.
  bool has_unnamed_tenant() const { return !adds_names_ && tenants.empty(); }

  std::vector<std::string> classes;
  std::vector<std::string> tenants;

 private:
  static constexpr std::size_t max_added_names = 4096;  // bounds the memory that added names occupy

  std::optional<unsigned> find(std::vector<std::string>& names, std::string_view name) const {
    for (unsigned i = 0; i < names.size(); ++i) {
      if (names[i] == name) return i;
    }
    if (!adds_names_ || names.size() >= max_added_names) return std::nullopt;
    names.emplace_back(name);
    return static_cast<unsigned>(names.size() - 1);
  }

  bool adds_names_ = true;
};

}  // namespace marblewharf
