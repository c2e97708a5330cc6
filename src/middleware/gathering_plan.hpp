// Translates an embedder's sources and parts to the rules and plans of the fan-out's decisions, and checks
// them.
#pragma once

#include <string>
#include <vector>

#include "marblewharf/gathering.hpp"
#include "upstream/plan.hpp"

namespace marblewharf::middleware::detail {

// The index of a source. Throws std::invalid_argument where there is none of this name.
std::size_t find_source(const std::vector<source>& sources, const std::string& name);

// The rules of each source, in their order. Throws std::invalid_argument, naming the source at fault.
std::vector<upstream::dependency_rules> rules_of(const std::vector<source>& sources);

// The one plan of a gathering. Throws std::invalid_argument, naming the part at fault, for a plan that could
// not be kept.
std::vector<upstream::request_plan> plans_of(const std::vector<source>& sources,
                                             const std::vector<part_of>& parts, duration latency_objective);

}  // namespace marblewharf::middleware::detail
