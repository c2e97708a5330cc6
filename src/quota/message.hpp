// Messages that the members of a cluster exchange about quotas. All kinds use the same struct; the comment on
// each kind names the fields that it uses in addition to `kind`, `sender` and, where applicable, `session`
// and `config_digest`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marblewharf::quota {

// The values are sent on the wire. They are higher than those of membership::message_kind, because both
// protocols use the same socket.
enum class message_kind : std::uint8_t {
  vote_request = 32,   // sent by a candidate or the leader: term, sequence, sender_is_leader
  vote_granted = 33,   // answers a vote request: the request's term and sequence
  vote_refused = 34,   // answers a vote request: highest term known to the voter, the request's sequence
  quota_request = 40,  // a node reports the shares it holds and requests shares: sequence, entries, reply_to
  quota_grant = 41,    // answers a quota request: term, its sequence and session, shares in `entries[].held`
  renew_hint = 42,     // sent by the leader: a new request may now be granted a larger share
};

// The values of one quota in a quota request or a grant, in the quota's unit and without the guaranteed
// share.
struct quota_entry {
  double held = 0;    // request: amount in force at the sender; grant: amount in force from now on
  double demand = 0;  // request: what the sender could use beyond its guaranteed share
  double leased = 0;  // request: part of `held` that a valid lease covers; units in flight use the rest
  bool operator==(const quota_entry&) const = default;
};

struct message {
  message_kind kind = message_kind::vote_request;
  std::string sender;  // the sending member's address
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::uint64_t session = 0;         // identifies the requesting process; a grant repeats the request's value
  std::uint64_t config_digest = 0;   // digest of the sender's quota definitions and configured members
  std::vector<quota_entry> entries;  // by quota, in the order of the configuration
  bool sender_is_leader = false;
  std::string reply_to = {};  // destination of the answer; empty: `sender`
  bool operator==(const message&) const = default;
};

// A message with its destination address.
struct envelope {
  std::string recipient;
  message content;
};

}  // namespace marblewharf::quota
