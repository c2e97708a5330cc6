// Election of the member that divides the quotas: a leader lease that a majority of the configured members
// voted for, renewed several times within its length.
//
// Free of I/O: the clock, received messages and this member's eligibility are handed in, messages to send are
// taken out. Not thread-safe: owned by one thread. Design: docs/budgets.md.
//
// Roles and their transitions:
//
//   from       event                                                        to
//   follower   step, eligible and no other leader heard of                  candidate
//   candidate  votes of a majority for the latest request                   leader
//   candidate  step, not eligible any more or another leader heard of       follower
//   leader     votes of a majority for a later request                      leader (lease renewed)
//   leader     lease expired                                                candidate, as long as eligible
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
  // `members`: all configured members, `self` among them (else std::invalid_argument). `first_term`: above
  // the terms of earlier processes of this member where that can be told (Unix ms); safety does not depend on
  // it.
  leader_election(lease_options lease, std::set<std::string> members, std::string self,
                  std::uint64_t first_term, time_point now);

  // Requests votes where that is due. `eligible`: this member is the preferred candidate. Returns when to
  // call again.
  time_point step(time_point now, bool eligible);
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  election_role role(time_point now) const;
  // At any instant of true time at most one member's is_leader() is true, as long as each clock's rate is
  // within the drift and each address belongs to one process.
  bool is_leader(time_point now) const { return now < leader_lease_expiry_; }
  std::uint64_t term() const { return term_; }
  // The member that lately said that it leads; none: nobody did. A hint: only that member knows whether it
  // still does.
  std::optional<std::string> leader(time_point now) const;

 private:
  void request_votes(time_point now);
  bool grant_vote(time_point now, const std::string& candidate, std::uint64_t term);
  void on_vote_request(time_point now, const message& request);
  void on_vote_granted(time_point now, const message& vote);
  bool has_majority() const { return 2 * votes_.size() > members_.size(); }
  void send(const std::string& to, message_kind kind, std::uint64_t term, std::uint64_t sequence,
            bool sender_is_leader = false);

  lease_options lease_;
  std::set<std::string> members_;
  std::string self_;
  // As a voter: a vote binds until `vote_expiry_`, and until then no other candidate gets one. A process that
  // has just started does not know the votes of the one before it, so it begins bound to nobody.
  std::string voted_for_;
  time_point vote_expiry_;
  std::uint64_t highest_term_;
  std::string known_leader_;
  time_point known_leader_expiry_{};
  // As a candidate or the leader: votes count for the latest request only, and the lease from when it was
  // sent.
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
