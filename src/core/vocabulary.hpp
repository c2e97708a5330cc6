// The names of classes and tenants, and the numbers by which the core knows them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission_policy/policy.hpp"

namespace marblewharf {

class vocabulary {
 public:
  vocabulary() = default;  // learns each name as it comes
  explicit vocabulary(const admission_policy::settings& s) : learning_(false) {
    for (const auto& c : s.classes) classes.push_back(c.name);
    for (const auto& t : s.tenants) tenants.push_back(t.name);
  }

  std::optional<unsigned> class_of(std::string_view name) { return find(classes, name); }
  // A site without tenants has but one, whatever a request says.
  std::optional<unsigned> tenant_of(std::string_view name) {
    return !learning_ && tenants.empty() ? 0 : find(tenants, name);
  }

  std::vector<std::string> classes;
  std::vector<std::string> tenants;

 private:
  static constexpr std::size_t most_learned = 4096;  // a stream of ever new names ends here

  std::optional<unsigned> find(std::vector<std::string>& names, std::string_view name) const {
    for (unsigned i = 0; i < names.size(); ++i) {
      if (names[i] == name) return i;
    }
    if (!learning_ || names.size() >= most_learned) return std::nullopt;
    names.emplace_back(name);
    return static_cast<unsigned>(names.size() - 1);
  }

  bool learning_ = true;
};

}  // namespace marblewharf
