// Cluster-wide decisions on whether a zone is out (out of service, so that no calls are routed to it) or in,
// made without a leader by epoch-numbered majority votes of the zones.
//
// Performs no I/O: the owner passes in the time (steady clock), this member's own observation of each zone
// and the votes received from other members, and takes this member's own vote and the received votes to
// retransmit. Not thread-safe: owned by one thread. Design and rejected alternatives: docs/failover.md.
//
// The decision on zone Z changes to epoch e only if, at the same time, a majority of the configured members
// of each of a majority of the zones other than Z have valid votes for (Z, e). A vote is valid if it was
// renewed within `vote_lease` and not withdrawn. The parity of an epoch determines its value (odd: out), so
// two members never have opposite decisions for the same epoch.
//
// If this member observed a zone as silent or down, votes from that zone count only after one `vote_lease`
// without such an observation: a vote cast while the zone was cut off does not express agreement with this
// side of the partition. For the same reason a member votes a zone out only if it has been in contact, for
// one `vote_lease`, with enough other zones for a quorum. A zone is voted back in only after it has been
// healthy without interruption for `hold_down`. With fewer than three zones no zone is ever decided out,
// because in a partition each half would have the majority of the other zones.
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
  bool out = false;  // must match the parity of the epoch, otherwise the vote is rejected
  // Counted by the voter: its vote with the highest round on a zone replaces its earlier votes on that zone.
  std::uint64_t round = 0;
  bool operator==(const vote&) const = default;
};

struct zone_decision {
  std::uint64_t epoch = 0;  // 0: no decision was made yet; the zone is in
  bool out = false;
  time_point since{};
};

// The state of a zone as observed by one member.
enum class zone_observation {
  down,       // all members of the zone are known to be down, and none has answered recently
  silent,     // no member of the zone has answered recently, but some are not known to be down yet
  uncertain,  // neither healthy nor out of contact: no reason to change the vote
  healthy,    // at least one member of the zone is alive
};

struct zone_view_options {
  duration hold_down = std::chrono::seconds(10);   // how long a zone must be healthy to be voted back in
  duration vote_lease = std::chrono::seconds(10);  // how long a vote is valid without being renewed
  unsigned retransmits = 6;  // how often each round of a vote received from another member is forwarded
};

class zone_view {
 public:
  // `zones_by_member`: the zone of every configured member, by the member's address; throws
  // std::invalid_argument if `self_address` is not among them. The quorum is computed from the configured
  // members, not from the members believed alive, so that a partition cannot reduce it. `first_round`: higher
  // than any round of this member's votes before a restart (the start time in Unix ms, if observations are
  // more than 1 ms apart).
  zone_view(std::map<std::string, std::string> zones_by_member, std::string self_address,
            zone_view_options options, std::uint64_t first_round = 0);

  // Records this member's own observation of another zone. Returns this member's current vote on the zone, if
  // any; the owner adds the vote to every outgoing message until the next observation.
  std::optional<vote> observe(time_point now, const std::string& zone, zone_observation observed);
  // Processes a vote of another member. Returns whether a decision changed. A vote is rejected, and counted
  // in rejected_votes(), if its voter is not configured, if it concerns the voter's own zone or an unknown
  // zone, or if its value does not match the parity of its epoch.
  bool receive(time_point now, const vote& received);
  // Returns at most `limit` votes of other members to retransmit, starting with those retransmitted least
  // often.
  std::vector<vote> outgoing_gossip(std::size_t limit);

  zone_decision decision(const std::string& zone) const;
  // Whether all of these zones are out; false if the list is empty.
  bool is_region_out(const std::vector<std::string>& zones_of_region) const;
  const std::set<std::string>& zones() const { return zones_; }
  std::uint64_t rejected_votes() const { return rejected_votes_; }

 private:
  struct vote_record {
    vote latest;
    time_point received{};  // when the first copy of this round was received
    unsigned retransmits_left = 0;
  };
  using votes_by_voter = std::map<std::string, vote_record>;

  bool is_well_formed(const vote& received) const;
  void record_observation(time_point now, const std::string& zone, zone_observation observed);
  std::optional<vote> update_own_vote(time_point now, const vote& intended);
  bool in_contact(const std::string& zone, time_point now) const;
  bool quorum_in_contact(const std::string& observed_zone, time_point now) const;
  bool is_unexpired(const vote_record& record, time_point now) const {
    return now - record.received < options_.vote_lease;
  }
  std::uint64_t target_epoch(time_point now, const std::string& zone, bool out) const;
  bool count_votes(time_point now, const std::string& zone);

  std::map<std::string, std::string> zones_by_member_;
  std::map<std::string, std::size_t> configured_member_counts_;  // by zone
  std::set<std::string> zones_;
  std::string self_address_;
  std::string own_zone_;
  zone_view_options options_;
  std::uint64_t round_;
  std::map<std::string, zone_decision> decisions_;
  // By zone: the latest vote of each voter, including this member. The number of entries is bounded by the
  // configuration.
  std::map<std::string, votes_by_voter> votes_;
  std::map<std::string, time_point> healthy_since_;  // by zone; no entry: not healthy when last observed
  // By zone: when this member last observed the zone as silent or down; no entry: never.
  std::map<std::string, time_point> last_out_of_contact_;
  std::uint64_t rejected_votes_ = 0;
};

}  // namespace marblewharf::failover
