// Whether a zone is out, decided in common: epoch-numbered majority votes of zones, without a leader.
//
// Free of I/O: the owner hands in the time (steady clock), this member's own sight of each zone, and the
// votes heard from others; it gives out the vote that this member stands by and others' votes to pass on. Not
// thread-safe: owned by one thread. Design and the ways not taken: docs/failover.md.
//
// Promise: the verdict on zone Z moves to epoch e only on votes for (Z, e) that stand at the same time (each
// issued again within `vote_lease`, none taken back) from a majority of the configured members of each of a
// majority of the zones other than Z. The value of epoch e is fixed by its parity (odd: out), so no two
// members ever hold opposite verdicts of one epoch. Votes of a zone that was silent or gone from here count
// only after one lease without that: what it stood by while it was cut off is no agreement with this side.
// For the same reason a member votes a zone out only while it has been in touch, for a lease, with enough
// other zones for a quorum. A member votes only as it sees the zone. A zone is voted back only after it was
// healthy without a break for `hold_down`. With fewer than three zones nothing is ever declared out: two
// halves of a cut would each hold the majority of the other zones.
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
  bool out = false;  // must match the epoch's parity, or the vote is refused
  // The voter's own count: of two votes of a voter on a zone the later one is what it stands by.
  std::uint64_t round = 0;
  bool operator==(const vote&) const = default;
};

struct verdict {
  std::uint64_t epoch = 0;  // 0: never decided; the zone is in
  bool out = false;
  time_point since{};
};

// What one member sees of a zone.
enum class sight {
  gone,     // none of its members answers, all are known gone
  silent,   // none is known well and none answered of late, but not all are known gone yet
  unsure,   // neither well nor out of touch: no reason to change anything
  healthy,  // one at least is alive
};

struct view_options {
  duration hold_down = std::chrono::seconds(10);
  duration vote_lease = std::chrono::seconds(10);  // how long a vote stands without being issued again
  unsigned pass_on = 6;                            // how often another's vote is passed on
};

class zone_view {
 public:
  // `zone_of`: every configured member (address) with its zone; `self` is one of them. The quorum counts the
  // configured members, never the ones that look alive, so a cut cannot shrink it. `first_round`: above any
  // round that this member's votes had before a restart (the start in Unix ms does it where looks are over 1
  // ms apart). Throws std::invalid_argument where `self` is not among them.
  zone_view(std::map<std::string, std::string> zone_of, std::string self, view_options o,
            std::uint64_t first_round = 0);

  // This member's own look at a zone other than its own. Returns the vote that it stands by, if any: to be
  // sent with whatever goes out next, until the next look.
  std::optional<vote> observe(time_point now, const std::string& zone, sight seen);
  // A vote heard. Returns whether a verdict moved. Refused, and counted in refused(): a voter not configured,
  // a vote on the voter's own zone or on an unknown zone, a value against its epoch's parity.
  bool hear(time_point now, const vote& v);
  // Others' votes that are news, `most` at a time, those passed on least often first; each `pass_on` times in
  // all.
  std::vector<vote> take_news(std::size_t most);

  verdict of(const std::string& zone) const;
  // All of them out; none named: false.
  bool region_out(const std::vector<std::string>& zones_of_region) const;
  const std::set<std::string>& zones() const { return zones_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct ballot {
    vote what;
    time_point heard{};  // when this round of it came first
    unsigned to_pass_on = 0;
  };
  bool in_touch(const std::string& zone, time_point now) const;
  bool quorum_in_touch(const std::string& without, time_point now) const;
  bool stands(const ballot& b, time_point now) const { return now - b.heard < options_.vote_lease; }
  std::uint64_t wanted_epoch(time_point now, const std::string& zone, bool out) const;
  bool tally(time_point now, const std::string& zone);

  std::map<std::string, std::string> zone_of_;
  std::map<std::string, std::size_t> members_in_;  // configured members by zone
  std::set<std::string> zones_;
  std::string self_;
  std::string own_zone_;
  view_options options_;
  std::uint64_t round_;
  std::map<std::string, verdict> verdicts_;
  // The latest vote of each voter, this member among them, by zone: bounded by the configuration.
  std::map<std::string, std::map<std::string, ballot>> ballots_;
  std::map<std::string, time_point> healthy_since_;  // none: not healthy at the last look
  std::map<std::string, time_point> last_away_;      // silent or gone; none: never
  std::uint64_t refused_ = 0;
};

}  // namespace marblewharf::failover
