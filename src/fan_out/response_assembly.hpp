// Assembles sub-responses into one HTTP response of type `multipart/mixed` (RFC 2046). Each part carries its
// state and its length. The format is described in docs/dependencies.md.
#pragma once

#include <string>
#include <vector>

#include "fan_out/messages.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::fan_out {

// Must be called only for a request without a missing required sub-response. The head has `Partial: yes`
// unless all sub-responses are fresh. `parts`: in the order of the plan.
std::string assemble_response(const upstream::request_plan& plan, const std::vector<sub_response>& parts);

// The name of the state in the header Part-State.
const char* name_of(sub_response_state state);

}  // namespace marblewharf::fan_out
