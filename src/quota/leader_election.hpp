// Election of the member that divides the quotas. The leader holds a lease that a majority of the configured
// members voted for, and renews the lease several times within its length.
//
// Performs no I/O: the owner passes in the time, the received messages and whether this member is eligible,
// and takes the messages to send. Not thread-safe: owned by one thread. Design: docs/budgets.md.
//
// Roles and their transitions:
//
//   role       event                                                  next role
//   follower   step() while eligible and no other leader is known     candidate
//   candidate  majority of votes received for the latest request      leader
//   candidate  step() while not eligible or another leader is known   follower
//   leader     majority of votes received for a later request         leader (lease renewed)
//   leader     lease expired                                          candidate if eligible, else follower
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease.hpp"
#include "quota/message.hpp"

namespace marblewharf::quota {

enum class election_role { follower, candidate, leader };

class leader_election {
 public:
  // `members`: all configured members; throws std::invalid_argument if `self_address` is not among them.
  // `first_term`: should be higher than the terms of earlier processes of this member (the start time in Unix
  // ms); safety does not depend on it.
  leader_election(lease_options lease, std::set<std::string> members, std::string self_address,
                  std::uint64_t first_term, time_point now);

  // Sends vote requests when they are due. `eligible`: this member is the preferred candidate. Returns the
  // time of the next call.
  time_point step(time_point now, bool eligible);
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  election_role role(time_point now) const;
  // At any instant, is_leader() is true for at most one member, provided that the rate error of each clock is
  // at most max_clock_drift and that only one process uses each address.
  bool is_leader(time_point now) const { return now < leader_lease_expiry_; }
  std::uint64_t term() const { return term_; }
  // The member that most recently announced itself as the leader, or nullopt if no announcement arrived
  // within a lease length. The result is a hint: that member may have lost its lease in the meantime.
  std::optional<std::string> leader(time_point now) const;

 private:
  void request_votes(time_point now);
  bool grant_vote(time_point now, const std::string& candidate, std::uint64_t term);
  void on_vote_request(time_point now, const message& request);
  void on_vote_granted(time_point now, const message& vote);
  bool has_majority() const { return 2 * votes_.size() > members_.size(); }
  void send(const std::string& recipient, message_kind kind, std::uint64_t term, std::uint64_t sequence,
            bool sender_is_leader = false);

  lease_options lease_;
  std::set<std::string> members_;
  std::string self_address_;
  // Voter state: until `vote_expiry_` this member votes for no candidate other than `voted_for_`. A process
  // that has just started does not know the votes of the previous process, so it starts with an empty
  // `voted_for_` and votes for nobody until the first `vote_expiry_`.
  std::string voted_for_;
  time_point vote_expiry_;
  std::uint64_t highest_term_;
  std::string known_leader_;
  time_point known_leader_expiry_{};
  // Candidate and leader state: only votes for the latest request count, and the lease starts at the time at
  // which that request was sent.
  bool campaigning_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t sequence_ = 0;
  time_point votes_requested_{};
  time_point next_vote_request_{};
  std::set<std::string> votes_;
  time_point leader_lease_expiry_{};
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
