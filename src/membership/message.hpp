// Messages of the membership protocol (SWIM): probes and their answers, with piggybacked membership updates
// and zone votes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marblewharf::membership {

// The values are sent on the wire. At the same incarnation, a higher value overrides a lower one.
enum class member_status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

// The state of a member as believed by the sender of the update; gossip consists of these updates.
struct member_update {
  std::string address;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;
  member_status status = member_status::alive;
  // Status suspect: the member whose own probe failed, also when another member forwards the update.
  std::string suspected_by{};
  bool operator==(const member_update&) const = default;
};

// The values are sent on the wire.
enum class message_kind : std::uint8_t { ping = 0, ack = 1, ping_req = 2, nack = 3 };

// A vote on whether a zone is out of service (docs/failover.md). The membership protocol transports votes
// without evaluating them.
struct zone_vote {
  std::string voter;
  std::string zone;
  std::uint64_t epoch = 0;
  bool out = false;
  std::uint64_t round = 0;
  bool operator==(const zone_vote&) const = default;
};

struct message {
  message_kind kind = message_kind::ping;
  member_update sender;        // the sender's own state, from which the recipient learns of the sender
  std::uint64_t sequence = 0;  // sequence number of the probe that this message belongs to
  std::string target;          // ping_req: member to probe; ack and nack of an indirect probe: probed member
  std::vector<member_update> gossip;
  std::vector<zone_vote> votes;  // written and read by the owner of swim, not by swim itself
};

// A message with its destination address.
struct envelope {
  std::string recipient;
  message content;
};

}  // namespace marblewharf::membership
