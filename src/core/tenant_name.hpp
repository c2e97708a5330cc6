// The name of a tenant by the index that requests carry. Settings may list no tenants: requests then have the
// index of a single tenant that has no name, so an index must not be looked up in the list itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "admission_policy/policy.hpp"

namespace marblewharf {

// Returns an empty name for the tenant of settings without tenants, and for an index beyond the list. The
// name is valid as long as `names`.
inline std::string_view tenant_name(const std::vector<std::string>& names, unsigned tenant) {
  return tenant < names.size() ? std::string_view(names[tenant]) : std::string_view();
}

// The same for the tenants of settings.
inline std::string_view tenant_name(const admission_policy::settings& settings, unsigned tenant) {
  const auto& tenants = settings.tenants;
  return tenant < tenants.size() ? std::string_view(tenants[tenant].name) : std::string_view();
}

}  // namespace marblewharf
