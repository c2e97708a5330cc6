// What one line of the operators' console asks for. Free of I/O.
#pragma once

#include <optional>
#include <string_view>

namespace marblewharf::admin {

enum class console_command { ready, show_stat, drain, resume, show_members, show_zones, show_budgets };

// The call of a whole line, without its line end ("\n" or "\r\n"); none where it names no call. Blanks round
// the word are allowed, nothing else.
std::optional<console_command> parse_console_command(std::string_view line);

}  // namespace marblewharf::admin
