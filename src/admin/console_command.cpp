#include "admin/console_command.hpp"

#include <array>

namespace marblewharf::admin {
namespace {

constexpr std::string_view blanks = " \t";

struct named_command {
  std::string_view name;
  console_command command;
};
constexpr std::array<named_command, 7> commands{{{"ready", console_command::ready},
                                                 {"show-stat", console_command::show_stat},
                                                 {"show-members", console_command::show_members},
                                                 {"show-zones", console_command::show_zones},
                                                 {"show-budgets", console_command::show_quotas},
                                                 {"drain", console_command::drain},
                                                 {"resume", console_command::resume}}};

}  // namespace

std::optional<console_command> parse_console_command(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  const auto first = line.find_first_not_of(blanks);
  if (first == std::string_view::npos) return std::nullopt;
  const std::string_view word = line.substr(first, line.find_last_not_of(blanks) - first + 1);
  for (const named_command& candidate : commands)
    if (candidate.name == word) return candidate.command;
  return std::nullopt;
}

}  // namespace marblewharf::admin
