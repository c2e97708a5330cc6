// Parser of the commands of the operators' console. Performs no I/O.
#pragma once

#include <optional>
#include <string_view>

namespace marblewharf::admin {

enum class console_command { ready, show_stat, drain, resume, show_members, show_zones, show_quotas };

// Returns the command in `line`, which does not include the "\n". A trailing carriage return, and blanks
// around the command, are ignored. None if the line is not a command.
std::optional<console_command> parse_console_command(std::string_view line);

}  // namespace marblewharf::admin
