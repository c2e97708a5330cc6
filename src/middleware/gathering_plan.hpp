// Converts an embedder's sources and parts to the rules and plans of the fan-out state machine, and validates
// them.
#pragma once

#include <string>
#include <vector>

#include "marblewharf/gathering.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::middleware::detail {

// Returns the index of the source called `name`. Throws std::invalid_argument if there is none.
std::size_t find_source(const std::vector<source>& sources, const std::string& name);

// Returns the rules of the sources, in the order of the sources. Throws std::invalid_argument, which names
// the invalid source.
std::vector<upstream::dependency_rules> rules_of(const std::vector<source>& sources);

// Returns the plan of a gathering as the only element. Throws std::invalid_argument, which names the invalid
// part, if the plan cannot be fulfilled.
std::vector<upstream::request_plan> plans_of(const std::vector<source>& sources,
                                             const std::vector<part_of>& parts, duration latency_objective);

}  // namespace marblewharf::middleware::detail
