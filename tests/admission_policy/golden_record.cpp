// Writes the expected output of the golden test into a folder, one file per scenario. Run it only for an
// intended change of the decisions, so that the changed files show up in review.
#include <cstdio>
#include <fstream>

#include "golden_scenarios.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("usage: golden_record FOLDER\n", stderr);
    return 1;
  }
  for (const auto& scenario : admission_policy::testing::golden_scenarios()) {
    std::ofstream file(std::string(argv[1]) + "/" + scenario.name + ".txt");
    file << admission_policy::testing::summary_of(scenario);
    if (!file.flush()) return 1;
  }
  return 0;
}
