// The settings and traffic under which the policy's decisions are recorded.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulated_host.hpp"

namespace admission_policy::testing {

struct golden_scenario {
  std::string name;
  settings given;
  host_profile profile;
  std::vector<std::uint64_t> seeds;
};

std::vector<golden_scenario> golden_scenarios();

// Runs the scenario once for each seed. For each: the number of events and actions, the digest of all lines
// and the first lines.
std::string summary_of(const golden_scenario& scenario);

}  // namespace admission_policy::testing
