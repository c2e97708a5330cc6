// Assembles sub-responses into one response: HTTP-shaped, `multipart/mixed` (RFC 2046), each part with its
// state and its length. docs/dependencies.md has the form.
#pragma once

#include <string>
#include <vector>

#include "fan_out/messages.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::fan_out {

// Of a request that missing_required no required sub-response. The head has `Partial: yes` where not all are
// fresh. `parts`: in the order of the plan.
std::string assemble_response(const upstream::request_plan& plan, const std::vector<sub_response>& parts);

// As the header Part-State has it.
const char* name_of(sub_response_state state);

}  // namespace marblewharf::fan_out
