// Messages that the members of a cluster exchange about quotas. All kinds share one shape; the comment at
// each kind names the fields that it uses beside `kind`, `from` and, where they apply, `session` and
// `config_digest`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marblewharf::quota {

// The values are on the wire. They lie above those of membership::message_kind, with which they share a
// socket.
enum class message_kind : std::uint8_t {
  vote_request = 32,   // from a candidate or the leader: term, sequence, sender_is_leader
  vote_granted = 33,   // to a vote request: its term and sequence
  vote_refused = 34,   // to a vote request: the highest term that the voter knows, the request's sequence
  quota_request = 40,  // a node reports what it holds and asks for shares: sequence, entries, reply_to
  quota_grant = 41,    // to a quota request: term, its sequence and session; the shares in `entries[].held`
  renew_hint = 42,     // from the leader: a request sent now may bring more
};

// One quota's part of a quota request or a grant, in the quota's unit.
struct quota_entry {
  double held = 0;  // request: in force at the sender; grant: in force from now on. Guaranteed share excluded
  double demand = 0;  // request: what the sender could use beyond its guaranteed share
  double leased =
      0;  // request: the part of `held` under a lease that stands; the rest is in flight beyond it
  bool operator==(const quota_entry&) const = default;
};

struct message {
  message_kind kind = message_kind::vote_request;
  std::string from;  // the sending member's address
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::uint64_t session = 0;         // of the sending process; a grant repeats the request's
  std::uint64_t config_digest = 0;   // of the quota definitions that the sender was configured with
  std::vector<quota_entry> entries;  // by quota, in the order of the configuration
  bool sender_is_leader = false;
  std::string reply_to = {};  // where the answer goes; empty: to `from`
  bool operator==(const message&) const = default;
};

// A message with its destination address.
struct envelope {
  std::string to;
  message content;
};

}  // namespace marblewharf::quota
