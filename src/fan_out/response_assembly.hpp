// Parts to one response: HTTP-shaped, `multipart/mixed` (RFC 2046), each part with its state and its length,
// whatever bytes it has. docs/dependencies.md has the form.
#pragma once

#include <string>
#include <vector>

#include "fan_out/state_machine.hpp"

namespace marblewharf::fan_out {

// Of a gathering that lacks no required part. `Partial: yes` stands in its head where not all parts are
// fresh.
std::string assemble_response(const upstream::request_plan& p, const std::vector<part_result>& parts);

const char* name_of(part_is how);

}  // namespace marblewharf::fan_out
