// Guards against unintended changes of decisions: the same events must give the actions recorded in
// tests/data/golden, byte for byte.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "golden_scenarios.hpp"

namespace admission_policy::testing {

// Prints the name of the scenario instead of its bytes in test names and failures.
void PrintTo(const golden_scenario& scenario, std::ostream* out) {
  *out << scenario.name;
}

namespace {

std::string read_record(const std::string& scenario) {
  std::ifstream file(std::string(GOLDEN_FOLDER) + "/" + scenario + ".txt");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class Golden : public ::testing::TestWithParam<golden_scenario> {};

TEST_P(Golden, DecisionsEqualTheRecord) {
  const std::string expected = read_record(GetParam().name);
  ASSERT_FALSE(expected.empty()) << "no record of " << GetParam().name;
  EXPECT_EQ(summary_of(GetParam()), expected);
}

std::string name_of(const ::testing::TestParamInfo<golden_scenario>& scenario) {
  return scenario.param.name;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Golden, ::testing::ValuesIn(golden_scenarios()), name_of);

}  // namespace
}  // namespace admission_policy::testing
