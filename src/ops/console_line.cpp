#include "ops/console_line.hpp"

namespace marblewharf::ops {

std::optional<console_call> parse_console_line(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  const auto first = line.find_first_not_of(" \t");
  if (first == std::string_view::npos) return std::nullopt;
  line = line.substr(first, line.find_last_not_of(" \t") - first + 1);
  if (line == "ready") return console_call::ready;
  if (line == "show-stat") return console_call::show_stat;
  if (line == "show-members") return console_call::show_members;
  if (line == "show-zones") return console_call::show_zones;
  if (line == "show-budgets") return console_call::show_budgets;
  if (line == "drain") return console_call::drain;
  if (line == "resume") return console_call::resume;
  return std::nullopt;
}

}  // namespace marblewharf::ops
