#include "admin/console_command.hpp"

namespace marblewharf::admin {

std::optional<console_command> parse_console_command(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  const auto first = line.find_first_not_of(" \t");
  if (first == std::string_view::npos) return std::nullopt;
  line = line.substr(first, line.find_last_not_of(" \t") - first + 1);
  if (line == "ready") return console_command::ready;
  if (line == "show-stat") return console_command::show_stat;
  if (line == "show-members") return console_command::show_members;
  if (line == "show-zones") return console_command::show_zones;
  if (line == "show-budgets") return console_command::show_budgets;
  if (line == "drain") return console_command::drain;
  if (line == "resume") return console_command::resume;
  return std::nullopt;
}

}  // namespace marblewharf::admin
