#include "quota/leader_election.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::quota {

namespace {

// Vote requests sent within one lease, so that the leader survives the loss of some of them.
constexpr int requests_per_lease = 4;

}  // namespace

leader_election::leader_election(lease_options lease, std::set<std::string> members, std::string self_address,
                                 std::uint64_t first_term, time_point now)
    : lease_(lease),
      members_(std::move(members)),
      self_address_(std::move(self_address)),
      vote_expiry_(now + safe_expiry_wait(lease)),
      highest_term_(first_term) {
  if (!members_.contains(self_address_))
    throw std::invalid_argument("leader_election: " + self_address_ + " is not a configured member");
}

election_role leader_election::role(time_point now) const {
  if (is_leader(now)) return election_role::leader;
  return campaigning_ ? election_role::candidate : election_role::follower;
}

std::optional<std::string> leader_election::leader(time_point now) const {
  if (is_leader(now)) return self_address_;
  if (now < known_leader_expiry_) return known_leader_;
  return std::nullopt;
}

void leader_election::send(const std::string& recipient, message_kind kind, std::uint64_t term,
                           std::uint64_t sequence, bool sender_is_leader) {
  message content;
  content.kind = kind;
  content.sender = self_address_;
  content.term = term;
  content.sequence = sequence;
  content.sender_is_leader = sender_is_leader;
  outbox_.push_back({recipient, std::move(content)});
}

// Grants a vote to one candidate at a time: another candidate gets a vote only after the previous vote has
// expired. The same candidate may renew its vote or start a new term.
bool leader_election::grant_vote(time_point now, const std::string& candidate, std::uint64_t term) {
  if (candidate != voted_for_ && now < vote_expiry_) return false;
  // Without this check, a candidate of the minority side of a healed partition would renew its own members'
  // votes forever, and the leader would not get them.
  const bool another_leads = now < known_leader_expiry_ && candidate != known_leader_;
  if (another_leads) return false;
  voted_for_ = candidate;
  vote_expiry_ = now + safe_expiry_wait(lease_);
  highest_term_ = std::max(highest_term_, term);
  return true;
}

void leader_election::request_votes(time_point now) {
  const bool leading = is_leader(now);
  // A member whose lease has expired needs a new term, because its earlier grants belong to the old term.
  if (!leading) term_ = ++highest_term_;
  ++sequence_;
  votes_requested_ = now;
  next_vote_request_ = now + lease_.length / requests_per_lease;
  votes_.clear();
  if (grant_vote(now, self_address_, term_)) votes_.insert(self_address_);
  for (const std::string& member : members_)
    if (member != self_address_) send(member, message_kind::vote_request, term_, sequence_, leading);
  if (has_majority()) leader_lease_expiry_ = now + lease_.length;
}

time_point leader_election::step(time_point now, bool eligible) {
  // The leader renews its lease even if another member is now preferred, because a change of leader leaves
  // the cluster without a leader for one lease length.
  campaigning_ = is_leader(now) || (eligible && now >= known_leader_expiry_);
  if (!campaigning_) return now + lease_.length / requests_per_lease;
  if (now >= next_vote_request_) request_votes(now);
  return next_vote_request_;
}

void leader_election::on_vote_request(time_point now, const message& request) {
  if (request.sender_is_leader) {
    known_leader_ = request.sender;
    known_leader_expiry_ = now + lease_.length;
  }
  if (grant_vote(now, request.sender, request.term)) {
    send(request.sender, message_kind::vote_granted, request.term, request.sequence);
  } else {
    send(request.sender, message_kind::vote_refused, highest_term_, request.sequence);
  }
}

void leader_election::on_vote_granted(time_point now, const message& vote) {
  const bool for_latest_request = vote.term == term_ && vote.sequence == sequence_;
  if (!for_latest_request) return;
  votes_.insert(vote.sender);
  if (!has_majority()) return;
  if (!is_leader(now)) next_vote_request_ = now;  // announces the new leader to the other members immediately
  leader_lease_expiry_ = std::max(leader_lease_expiry_, votes_requested_ + lease_.length);
}

void leader_election::receive(time_point now, const message& received) {
  if (!members_.contains(received.sender) || received.sender == self_address_) return;
  switch (received.kind) {
    case message_kind::vote_request: on_vote_request(now, received); break;
    case message_kind::vote_granted: on_vote_granted(now, received); break;
    case message_kind::vote_refused: highest_term_ = std::max(highest_term_, received.term); break;
    default: break;
  }
}

}  // namespace marblewharf::quota
