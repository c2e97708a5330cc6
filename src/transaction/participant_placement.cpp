#include "transaction/participant_placement.hpp"

#include <algorithm>
#include <optional>
#include <sstream>

namespace marblewharf::transaction {
namespace {

std::optional<std::size_t> find_dependency(const dependencies_config& dependencies, const std::string& name) {
  const auto& configured = dependencies.upstreams;
  const auto found = std::find_if(configured.begin(), configured.end(),
                                  [&name](const dependency_config& each) { return each.name == name; });
  if (found == configured.end()) return std::nullopt;
  return static_cast<std::size_t>(found - configured.begin());
}

std::optional<std::size_t> find_endpoint(const dependency_config& dependency, const std::string& address) {
  const auto& endpoints = dependency.endpoints;
  const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                  [&address](const endpoint& each) { return name_of(each) == address; });
  if (found == endpoints.end()) return std::nullopt;
  return static_cast<std::size_t>(found - endpoints.begin());
}

bool has_address(const std::vector<recorded_participant>& participants, const std::string& address) {
  return std::any_of(participants.begin(), participants.end(),
                     [&address](const recorded_participant& each) { return each.address == address; });
}

// A participant with one endpoint, then and now, has moved if the address differs, unless it now has the
// address of another participant. Otherwise each endpoint may have transactions of its own, so that none can
// replace one that was removed.
std::optional<std::size_t> endpoint_of(const recorded_participant& participant,
                                       const dependency_config& dependency,
                                       const std::vector<recorded_participant>& participants) {
  if (const auto same = find_endpoint(dependency, participant.address)) return same;
  const bool moved = participant.endpoints == 1 && dependency.endpoints.size() == 1 &&
                     !has_address(participants, name_of(dependency.endpoints.front()));
  return moved ? std::optional<std::size_t>(0) : std::nullopt;
}

participant_placement place_by_name(const std::vector<recorded_participant>& participants,
                                    const dependencies_config& dependencies) {
  std::vector<participant_place> places;
  for (const recorded_participant& participant : participants) {
    const auto index = find_dependency(dependencies, participant.name);
    if (!index) return unplaced_participant{participant.name, placement_fault::unknown_participant};
    const dependency_config& dependency = dependencies.upstreams[*index];
    if (dependency.one_phase != participant.one_phase)
      return unplaced_participant{participant.name, placement_fault::other_commit_protocol};
    const auto endpoint_index = endpoint_of(participant, dependency, participants);
    if (!endpoint_index) return unplaced_participant{participant.name, placement_fault::endpoint_removed};
    places.push_back({*index, *endpoint_index});
  }
  return places;
}

// Without names, the settings count as unchanged only if each recorded endpoint is one of the participant in
// the same position, and there are as many as participants.
participant_placement place_by_endpoint(const std::string& endpoints, const transaction_plan& plan,
                                        const dependencies_config& dependencies) {
  std::vector<participant_place> places;
  std::istringstream addresses(endpoints);
  for (std::string address; addresses >> address;) {
    const unplaced_participant unplaced{address, placement_fault::participants_unnamed};
    if (places.size() == plan.participants.size()) return unplaced;
    const std::size_t dependency = plan.participants[places.size()];
    const auto endpoint_index = find_endpoint(dependencies.upstreams[dependency], address);
    if (!endpoint_index) return unplaced;
    places.push_back({dependency, *endpoint_index});
  }
  if (places.size() != plan.participants.size())
    return unplaced_participant{endpoints, placement_fault::participants_unnamed};
  return places;
}

}  // namespace

participant_placement place_participants(const begin_record& begin, const transaction_plan& plan,
                                         const dependencies_config& dependencies) {
  if (!begin.participants.empty()) return place_by_name(begin.participants, dependencies);
  return place_by_endpoint(begin.endpoints, plan, dependencies);
}

const char* text_of(placement_fault fault) {
  switch (fault) {
    case placement_fault::unknown_participant: return "is not in the settings";
    case placement_fault::other_commit_protocol: return "has another one_phase in the settings";
    case placement_fault::endpoint_removed: return "no longer has the endpoint of the transaction";
    case placement_fault::participants_unnamed: break;
  }
  return "was recorded without a name and does not match the settings";
}

}  // namespace marblewharf::transaction
