// What members of a fleet tell each other about budgets. One shape for all; each kind says what it reads of
// it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marblewharf::quota {

// Above the kinds of membership, with which they share the socket.
enum class kind : std::uint8_t {
  ask = 32,      // a candidate wants a promise: term, sequence
  promise = 33,  // ... and gets it: the same
  refusal = 34,  // ... or not: the highest term seen
  request = 40,  // a node asks for shares: term, sequence, session, digest, entries
  grant = 41,    // ... and gets them: the same sequence and session; entries in `held`
  poke = 42,     // ask now: there may be more
};

struct entry {
  double held = 0;    // in force at the sender (request); from now on (grant)
  double demand = 0;  // what it could use (request)
  double leased = 0;  // of what is held, under a lease that stands; the rest is in flight over it (request)
  bool operator==(const entry&) const = default;
};

struct message {
  kind what = kind::ask;
  std::string from;  // the sender's address
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::uint64_t session = 0;   // of the node's process
  std::uint64_t digest = 0;    // of the budgets as the sender's file has them
  std::vector<entry> entries;  // by budget, in the order of the file
  bool leading = false;        // ask: the sender has the chair
  std::string answer_to =
      {};  // request: where the answer goes, if not to `from` (a process that waits for its address)
  bool operator==(const message&) const = default;
};

struct envelope {
  std::string to;
  message m;
};

}  // namespace marblewharf::quota
