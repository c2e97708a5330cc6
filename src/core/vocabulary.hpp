// The names of request classes and tenants, and the indexes by which the core knows them. Not synchronized.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission_policy/policy.hpp"

namespace marblewharf {

class vocabulary {
 public:
  // Learns each name that is looked up.
  vocabulary() = default;

  // Knows the names of the settings alone.
  explicit vocabulary(const admission_policy::settings& settings) : learning_(false) {
    for (const auto& each : settings.classes) classes.push_back(each.name);
    for (const auto& each : settings.tenants) tenants.push_back(each.name);
  }

  // The index of a name; none: it is not known, and cannot be learned.
  std::optional<unsigned> class_of(std::string_view name) { return find(classes, name); }
  // Settings without tenants have but one, whatever a request says.
  std::optional<unsigned> tenant_of(std::string_view name) {
    const bool single_tenant = !learning_ && tenants.empty();
    return single_tenant ? 0 : find(tenants, name);
  }

  std::vector<std::string> classes;
  std::vector<std::string> tenants;

 private:
  static constexpr std::size_t max_learned = 4096;  // bounds the memory that ever new names take

  std::optional<unsigned> find(std::vector<std::string>& names, std::string_view name) const {
    for (unsigned i = 0; i < names.size(); ++i) {
      if (names[i] == name) return i;
    }
    if (!learning_ || names.size() >= max_learned) return std::nullopt;
    names.emplace_back(name);
    return static_cast<unsigned>(names.size() - 1);
  }

  bool learning_ = true;
};

}  // namespace marblewharf
