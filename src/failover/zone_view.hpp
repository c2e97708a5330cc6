// Whether a zone is out, decided in common: epoch-numbered majority votes of zones, without a leader.
//
// Free of I/O: the owner hands in the time (steady clock), this member's own observations of each zone, and the
// votes heard from others (gossip carries them); it gives out the vote that this member stands by. Not
// thread-safe: owned by one thread. Design and the ways not taken: docs/failover.md.
//
// Promise: the verdict on zone Z moves to epoch e only on votes for (Z, e) from a majority of the configured
// members of each of a majority of the zones other than Z, and the value of epoch e is fixed by its parity (odd:
// out), so no two members ever hold opposite verdicts of one epoch. A member votes only as it sees the zone. A zone
// is voted back only after it was reachable without a break for `hold_down`. With fewer than three zones nothing
// is ever declared out: two halves of a cut would each hold the majority of the other zones.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marblewharf::failover {

using time_point = std::chrono::nanoseconds;  // steady clock
using duration = std::chrono::nanoseconds;

struct vote {
  std::string voter;  // a member's address
  std::string zone;   // the zone voted on
  std::uint64_t epoch = 0;
  bool out = false;   // must match the epoch's parity, or the vote is refused
  bool operator==(const vote&) const = default;
};

struct verdict {
  std::uint64_t epoch = 0;  // 0: never decided; the zone is in
  bool out = false;
  time_point since{};
};

class zone_view {
 public:
  // `zone_of`: every configured member (address) with its zone; `self` is one of them. The quorum counts the
  // configured members, never the ones that look alive, so a cut cannot shrink it. Throws std::invalid_argument
  // where `self` is not among them.
  zone_view(std::map<std::string, std::string> zone_of, std::string self, duration hold_down);

  // This member's own look at a zone other than its own: whether it reaches any of its members. Returns the vote
  // it stands by on that zone, if any: for the current epoch where it agrees, else for the next or a later one
  // of the value it wants. The owner gossips it at each look, so that a vote once lost is sent anew.
  std::optional<vote> observe(time_point now, const std::string& zone, bool reachable);
  // A vote heard (this member's own as well). Returns whether a verdict moved. Refused, and counted in
  // refused(): a voter not configured, a vote on the voter's own zone or on an unknown zone, a value against its
  // epoch's parity, epoch 0.
  bool hear(time_point now, const vote& v);

  verdict of(const std::string& zone) const;
  bool region_out(const std::vector<std::string>& zones_of_region) const;
  const std::set<std::string>& zones() const { return zones_; }
  std::uint64_t refused() const { return refused_; }

 private:
  bool tally(time_point now, const std::string& zone);

  std::map<std::string, std::string> zone_of_;
  std::map<std::string, std::size_t> members_in_;  // configured members by zone
  std::set<std::string> zones_;
  std::string self_;
  std::string own_zone_;
  duration hold_down_;
  std::map<std::string, verdict> verdicts_;
  // Ballots by zone, then epoch, then voter: the value is the vote.
  std::map<std::string, std::map<std::uint64_t, std::map<std::string, bool>>> ballots_;
  std::map<std::string, time_point> reachable_since_;  // none: not reachable at the last look
  std::uint64_t refused_ = 0;
};

}  // namespace marblewharf::failover
