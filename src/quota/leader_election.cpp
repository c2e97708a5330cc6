#include "quota/leader_election.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::quota {

namespace {

// Vote requests within one lease: some lost ones do not cost the leadership.
constexpr int requests_per_lease = 4;

}  // namespace

leader_election::leader_election(lease_options lease, std::set<std::string> members, std::string self,
                                 std::uint64_t first_term, time_point now)
    : lease_(lease),
      members_(std::move(members)),
      self_(std::move(self)),
      vote_expiry_(now + safe_expiry_wait(lease)),
      highest_term_(first_term) {
  if (!members_.contains(self_))
    throw std::invalid_argument("leader_election: " + self_ + " is no configured member");
}

election_role leader_election::role(time_point now) const {
  if (is_leader(now)) return election_role::leader;
  return campaigning_ ? election_role::candidate : election_role::follower;
}

std::optional<std::string> leader_election::leader(time_point now) const {
  if (is_leader(now)) return self_;
  if (now < known_leader_expiry_) return known_leader_;
  return std::nullopt;
}

void leader_election::send(const std::string& to, message_kind kind, std::uint64_t term,
                           std::uint64_t sequence, bool sender_is_leader) {
  message content;
  content.kind = kind;
  content.from = self_;
  content.term = term;
  content.sequence = sequence;
  content.sender_is_leader = sender_is_leader;
  outbox_.push_back({to, std::move(content)});
}

// Grants to one candidate at a time: to another one only once the vote before has expired. The same candidate
// may renew, or begin a new term.
bool leader_election::grant_vote(time_point now, const std::string& candidate, std::uint64_t term) {
  if (candidate != voted_for_ && now < vote_expiry_) return false;
  // After a partition heals, a candidate of the smaller side would otherwise keep its own voters for ever.
  const bool another_leads = now < known_leader_expiry_ && candidate != known_leader_;
  if (another_leads) return false;
  voted_for_ = candidate;
  vote_expiry_ = now + safe_expiry_wait(lease_);
  highest_term_ = std::max(highest_term_, term);
  return true;
}

void leader_election::request_votes(time_point now) {
  const bool leading = is_leader(now);
  // After its lease expired a member needs a new term: what it granted belongs to the old one.
  if (!leading) term_ = ++highest_term_;
  ++sequence_;
  votes_requested_ = now;
  next_vote_request_ = now + lease_.length / requests_per_lease;
  votes_.clear();
  if (grant_vote(now, self_, term_)) votes_.insert(self_);
  for (const std::string& member : members_)
    if (member != self_) send(member, message_kind::vote_request, term_, sequence_, leading);
  if (has_majority()) leader_lease_expiry_ = now + lease_.length;
}

time_point leader_election::step(time_point now, bool eligible) {
  // The leader renews even where another member is preferred: a change of leader costs a lease.
  campaigning_ = is_leader(now) || (eligible && now >= known_leader_expiry_);
  if (!campaigning_) return now + lease_.length / requests_per_lease;
  if (now >= next_vote_request_) request_votes(now);
  return next_vote_request_;
}

void leader_election::on_vote_request(time_point now, const message& request) {
  if (request.sender_is_leader) {
    known_leader_ = request.from;
    known_leader_expiry_ = now + lease_.length;
  }
  if (grant_vote(now, request.from, request.term)) {
    send(request.from, message_kind::vote_granted, request.term, request.sequence);
  } else {
    send(request.from, message_kind::vote_refused, highest_term_, request.sequence);
  }
}

void leader_election::on_vote_granted(time_point now, const message& vote) {
  const bool for_latest_request = vote.term == term_ && vote.sequence == sequence_;
  if (!for_latest_request) return;
  votes_.insert(vote.from);
  if (!has_majority()) return;
  if (!is_leader(now)) next_vote_request_ = now;  // tells the others at once who leads
  leader_lease_expiry_ = std::max(leader_lease_expiry_, votes_requested_ + lease_.length);
}

void leader_election::receive(time_point now, const message& received) {
  if (!members_.contains(received.from) || received.from == self_) return;
  switch (received.kind) {
    case message_kind::vote_request: on_vote_request(now, received); break;
    case message_kind::vote_granted: on_vote_granted(now, received); break;
    case message_kind::vote_refused: highest_term_ = std::max(highest_term_, received.term); break;
    default: break;
  }
}

}  // namespace marblewharf::quota
