// Tests of the places that a recovered transaction finds for its participants in changed settings.
#include "transaction/participant_placement.hpp"

#include <map>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::transaction;

namespace {

using places = std::vector<participant_place>;

// Dependencies by name, with the ports of their endpoints.
dependencies_config dependencies_of(
    const std::vector<std::pair<std::string, std::vector<std::uint16_t>>>& named) {
  dependencies_config dependencies;
  for (const auto& [name, ports] : named) {
    dependency_config dependency;
    dependency.name = name;
    for (const std::uint16_t port : ports) dependency.endpoints.push_back({"h", port});
    dependencies.upstreams.push_back(dependency);
  }
  return dependencies;
}

transaction_plan plan_over(std::vector<std::size_t> participants) {
  transaction_plan plan;
  plan.participants = std::move(participants);
  return plan;
}

bool is_placed(const participant_placement& placement, const places& expected) {
  const places* found = std::get_if<places>(&placement);
  if (found == nullptr || found->size() != expected.size()) return false;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const bool same = (*found)[i].dependency == expected[i].dependency &&
                      (*found)[i].endpoint_index == expected[i].endpoint_index;
    if (!same) return false;
  }
  return true;
}

bool has_fault(const participant_placement& placement, const std::string& name, placement_fault fault) {
  const auto* unplaced = std::get_if<unplaced_participant>(&placement);
  return unplaced != nullptr && unplaced->name == name && unplaced->fault == fault;
}

// Participants are found by name, whatever the plan and its order are.
void named_participants_are_found_by_name() {
  begin_record begin;
  begin.participants = {{"konto", "h:2", false, 2}, {"buch", "h:3", false, 1}};
  const auto place = [&begin](const auto& named) {
    return place_participants(begin, plan_over({0}), dependencies_of(named));
  };
  using named = std::vector<std::pair<std::string, std::vector<std::uint16_t>>>;
  CHECK(is_placed(place(named{{"konto", {1, 2}}, {"buch", {3}}}), {{0, 1}, {1, 0}}));
  CHECK(is_placed(place(named{{"depot", {9}}, {"buch", {3}}, {"konto", {2, 1}}}), {{2, 0}, {1, 0}}));
  // buch had one endpoint, and has moved; konto had two, so that none can replace the removed one.
  CHECK(is_placed(place(named{{"konto", {1, 2}}, {"buch", {7}}}), {{0, 1}, {1, 0}}));
  CHECK(has_fault(place(named{{"konto", {1}}, {"buch", {3}}}), "konto", placement_fault::endpoint_removed));
  CHECK(has_fault(place(named{{"konto", {1, 2}}, {"buch", {7, 8}}}), "buch",
                  placement_fault::endpoint_removed));
  CHECK(has_fault(place(named{{"konto", {1, 2}}, {"buch", {2}}}), "buch", placement_fault::endpoint_removed));
  CHECK(
      has_fault(place(named{{"konto", {2}}, {"depot", {3}}}), "buch", placement_fault::unknown_participant));
  dependencies_config changed = dependencies_of({{"konto", {2}}, {"buch", {3}}});
  changed.upstreams[1].one_phase = true;
  CHECK(has_fault(place_participants(begin, plan_over({0}), changed), "buch",
                  placement_fault::other_commit_protocol));
}

// A record of an earlier version has endpoints only: the settings must have them in the same positions.
void unnamed_participants_need_the_same_settings() {
  begin_record begin;
  begin.endpoints = "h:2 h:3";
  const dependencies_config dependencies = dependencies_of({{"konto", {1, 2}}, {"buch", {3}}});
  const auto place = [&](std::vector<std::size_t> participants) {
    return place_participants(begin, plan_over(std::move(participants)), dependencies);
  };
  CHECK(is_placed(place({0, 1}), {{0, 1}, {1, 0}}));
  CHECK(has_fault(place({1, 0}), "h:2", placement_fault::participants_unnamed));
  CHECK(has_fault(place({0}), "h:3", placement_fault::participants_unnamed));
  CHECK(has_fault(place({0, 1, 0}), "h:2 h:3", placement_fault::participants_unnamed));
  begin.endpoints = "h:1 h:4";
  CHECK(has_fault(place({0, 1}), "h:4", placement_fault::participants_unnamed));
  begin.endpoints.clear();
  CHECK(has_fault(place({0, 1}), "", placement_fault::participants_unnamed));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"by_name", named_participants_are_found_by_name},
      {"by_endpoint", unnamed_participants_need_the_same_settings}};
  tests.at(argv[1])();
  return 0;
}
