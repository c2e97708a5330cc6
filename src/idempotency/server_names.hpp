// The names of the servers that intents name, numbered so that the table of keys need not keep a name for
// each key. Not thread-safe.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "idempotency/key_table.hpp"

namespace marblewharf::idempotency {

class server_names {
 public:
  // The index of the name; a new one for a new name. The empty name is unnamed_server.
  server_index index_of(std::string_view name) {
    const auto [found, added] =
        indices_.try_emplace(std::string(name), static_cast<server_index>(names_.size()));
    if (added) names_.emplace_back(name);
    return found->second;
  }
  // `index` was returned by index_of().
  const std::string& name_of(server_index index) const { return names_.at(index); }

 private:
  std::vector<std::string> names_ = {std::string()};
  std::unordered_map<std::string, server_index> indices_ = {{std::string(), unnamed_server}};
};

}  // namespace marblewharf::idempotency
