// The commands of the operators' console. Free of I/O.
#pragma once

#include <optional>
#include <string_view>

namespace marblewharf::admin {

enum class console_command { ready, show_stat, drain, resume, show_members, show_zones, show_quotas };

// The command in a line, given without its "\n". A carriage return at the end and blanks around the word are
// allowed. None where the line is anything else.
std::optional<console_command> parse_console_command(std::string_view line);

}  // namespace marblewharf::admin
