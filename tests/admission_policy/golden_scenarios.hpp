// The scenarios of the golden test: settings, traffic and seeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulated_host.hpp"

namespace admission_policy::testing {

struct golden_scenario {
  std::string name;
  settings policy_settings;
  host_profile profile;
  std::vector<std::uint64_t> seeds;
};

std::vector<golden_scenario> golden_scenarios();

// Runs the scenario once per seed. Returns, for each seed, the number of events and actions, the digest of
// all lines of the transcript and its first lines.
std::string summary_of(const golden_scenario& scenario);

}  // namespace admission_policy::testing
