// The same events give the same decisions as were recorded in tests/data/golden, byte for byte.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "golden_scenarios.hpp"

namespace admission_policy::testing {

// Keeps the names of the tests readable.
void PrintTo(const golden_scenario& scenario, std::ostream* out) {
  *out << scenario.name;
}

namespace {

std::string recorded(const std::string& scenario) {
  std::ifstream file(std::string(GOLDEN_FOLDER) + "/" + scenario + ".txt");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class Golden : public ::testing::TestWithParam<golden_scenario> {};

TEST_P(Golden, DecisionsAreThoseRecorded) {
  const std::string expected = recorded(GetParam().name);
  ASSERT_FALSE(expected.empty()) << "no record of " << GetParam().name;
  EXPECT_EQ(summary_of(GetParam()), expected);
}

std::string name_of(const ::testing::TestParamInfo<golden_scenario>& scenario) {
  return scenario.param.name;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Golden, ::testing::ValuesIn(golden_scenarios()), name_of);

}  // namespace
}  // namespace admission_policy::testing
