// Finds the participants of a recovered transaction in the settings, which may have changed since it began.
// Participants are found by name; a transaction is never continued at a participant or endpoint that may be
// another one. No I/O.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/config.hpp"
#include "transaction/log_records.hpp"
#include "transaction/open_transaction.hpp"

namespace marblewharf::transaction {

// Why a participant cannot be placed.
enum class placement_fault {
  unknown_participant,    // the settings have no dependency of this name
  other_commit_protocol,  // it has become a participant that cannot prepare, or has ceased to be one
  endpoint_removed,       // its endpoint is not in the settings, and no other one can be proven to replace it
  participants_unnamed,   // an earlier version recorded endpoints only, and they do not match the settings
};

struct unplaced_participant {
  std::string name;  // of the participant, or its recorded endpoint if the record has no names
  placement_fault fault{};
};

// The places of all participants in the order of the record, or the first participant without a place.
using participant_placement = std::variant<std::vector<participant_place>, unplaced_participant>;

participant_placement place_participants(const begin_record& begin, const transaction_plan& plan,
                                         const dependencies_config& dependencies);

// The fault as a text for the operator.
const char* text_of(placement_fault fault);

}  // namespace marblewharf::transaction
