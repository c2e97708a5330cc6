// Whether a zone is out, decided in common: epoch-numbered majority votes of zones, without a leader.
//
// Free of I/O: the owner hands in the time (steady clock), this member's own observation of each zone, and
// the votes received from others; it takes out the vote that this member stands by and others' votes to
// retransmit. Not thread-safe: owned by one thread. Design and the ways not taken: docs/failover.md.
//
// The decision on zone Z moves to epoch e only on votes for (Z, e) that stand at the same time (each renewed
// within `vote_lease`, none withdrawn) from a majority of the configured members of each of a majority of the
// zones other than Z. The value of epoch e is fixed by its parity (odd: out), so no two members ever hold
// opposite decisions of one epoch.
//
// Votes of a zone that was silent or down from here count only after one lease without that: what it stood by
// while it was cut off is no agreement with this side. For the same reason a member votes a zone out only
// while it has been in contact, for a lease, with enough other zones for a quorum. A zone is voted back in
// only after it was healthy without interruption for `hold_down`. With fewer than three zones nothing is ever
// decided out: in a partition each half would hold the majority of the other zones.
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
  bool out = false;  // must match the epoch's parity, or the vote is rejected
  std::uint64_t round =
      0;  // the voter's own count: its vote with the highest round on a zone replaces the others
  bool operator==(const vote&) const = default;
};

struct zone_decision {
  std::uint64_t epoch = 0;  // 0: never decided; the zone is in
  bool out = false;
  time_point since{};
};

// What one member observes of a zone.
enum class zone_observation {
  down,       // all of its members are known to be down, and none answers
  silent,     // none answered lately, but not all are known to be down yet
  uncertain,  // neither healthy nor out of contact: no reason to change anything
  healthy,    // at least one member is alive
};

struct zone_view_options {
  duration hold_down = std::chrono::seconds(10);   // healthy that long before it is voted back in
  duration vote_lease = std::chrono::seconds(10);  // how long a vote stands without being renewed
  unsigned retransmits = 6;                        // of each vote received from another member
};

class zone_view {
 public:
  // `zone_of`: every configured member (address) with its zone, `self` among them (else
  // std::invalid_argument). The quorum counts configured members, never those that look alive, so a partition
  // cannot shrink it. `first_round`: above any round of this member's votes before a restart (the start in
  // Unix ms, where observations are over 1 ms apart).
  zone_view(std::map<std::string, std::string> zone_of, std::string self, zone_view_options options,
            std::uint64_t first_round = 0);

  // This member's own observation of another zone. Returns the vote that it stands by, if any: to be sent
  // with whatever goes out until the next observation.
  std::optional<vote> observe(time_point now, const std::string& zone, zone_observation observed);
  // A vote of another member. Returns whether a decision moved. Rejected, and counted in rejected_votes(): a
  // voter that is not configured, a vote on the voter's own zone or on an unknown zone, a value against its
  // epoch's parity.
  bool receive(time_point now, const vote& received);
  // Votes of others to retransmit, at most `limit`, those retransmitted least often first.
  std::vector<vote> outgoing_gossip(std::size_t limit);

  zone_decision decision(const std::string& zone) const;
  // All of these zones out; none named: false.
  bool region_out(const std::vector<std::string>& zones_of_region) const;
  const std::set<std::string>& zones() const { return zones_; }
  std::uint64_t rejected_votes() const { return rejected_votes_; }

 private:
  struct vote_record {
    vote latest;
    time_point received{};  // when this round of it came first
    unsigned retransmits_left = 0;
  };
  using votes_by_voter = std::map<std::string, vote_record>;

  bool is_valid(const vote& received) const;
  void record_observation(time_point now, const std::string& zone, zone_observation observed);
  std::optional<vote> update_own_vote(time_point now, const vote& intended);
  bool in_contact(const std::string& zone, time_point now) const;
  bool quorum_in_contact(const std::string& observed_zone, time_point now) const;
  bool is_standing(const vote_record& record, time_point now) const {
    return now - record.received < options_.vote_lease;
  }
  std::uint64_t target_epoch(time_point now, const std::string& zone, bool out) const;
  bool count_votes(time_point now, const std::string& zone);

  std::map<std::string, std::string> zone_of_;
  std::map<std::string, std::size_t> configured_members_;  // by zone
  std::set<std::string> zones_;
  std::string self_;
  std::string own_zone_;
  zone_view_options options_;
  std::uint64_t round_;
  std::map<std::string, zone_decision> decisions_;
  // By zone: the latest vote of each voter, this member among them. Bounded by the configuration.
  std::map<std::string, votes_by_voter> votes_;
  std::map<std::string, time_point> healthy_since_;        // none: not healthy when last observed
  std::map<std::string, time_point> last_out_of_contact_;  // silent or down; none: never
  std::uint64_t rejected_votes_ = 0;
};

}  // namespace marblewharf::failover
