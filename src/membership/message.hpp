// Messages of the membership protocol (SWIM): probes and their answers, with membership updates and votes on
// zones piggybacked on them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marblewharf::membership {

// The values are on the wire. A higher one overrides a lower one at the same incarnation.
enum class member_status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

// What one member believes of another; gossip carries these.
struct member_update {
  std::string address;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;
  member_status status = member_status::alive;
  std::string
      suspected_by{};  // of a suspect: the member whose own probe failed, whoever passes the update on
  bool operator==(const member_update&) const = default;
};

// The values are on the wire.
enum class message_kind : std::uint8_t { ping = 0, ack = 1, ping_req = 2, nack = 3 };

// A vote on a zone (docs/failover.md). Membership carries it and does not read it.
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
  member_update sender;        // the sender as it sees itself: how members learn of each other
  std::uint64_t sequence = 0;  // of the probe that this belongs to
  std::string target;          // ping_req: whom to probe; ack and nack of an indirect probe: who was probed
  std::vector<member_update> gossip;
  std::vector<zone_vote> votes;  // filled and read by the owner of the protocol, never by the protocol
};

// A message with its destination address.
struct envelope {
  std::string to;
  message content;
};

}  // namespace marblewharf::membership
