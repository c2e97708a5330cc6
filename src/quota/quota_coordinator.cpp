#include "quota/quota_coordinator.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marblewharf::quota {

namespace {

// Members tried within a renew interval while the leader is unknown.
constexpr int tries_per_renew_interval = 4;

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ull;
constexpr std::uint64_t fnv_prime = 0x100000001b3ull;

// FNV-1a, which is not cryptographic: the digest only has to detect different configurations, not to resist
// an attacker.
void add_line(std::uint64_t& hash, const std::string& text) {
  for (const char c : text + '\n') hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
}

}  // namespace

std::uint64_t config_digest(const std::vector<quota_definition>& quotas,
                            const std::set<std::string>& members) {
  std::uint64_t hash = fnv_offset_basis;
  for (const quota_definition& quota : quotas) {
    add_line(hash, quota.name + ' ' + std::to_string(quota.global_limit) + ' ' +
                       std::to_string(quota.guaranteed_share) + ' ' +
                       std::to_string(quota.settling_time.count()));
  }
  for (const std::string& member : members) add_line(hash, member);
  return hash;
}

quota_coordinator::quota_coordinator(quota_coordinator_options options, std::vector<quota_definition> quotas,
                                     std::set<std::string> members, std::string self_address,
                                     std::uint64_t session, time_point now)
    : options_(options),
      members_(std::move(members)),
      self_address_(std::move(self_address)),
      session_(session),
      config_digest_(config_digest(quotas, members_)),
      election_(options.lease, members_, self_address_, session, now),
      lease_holder_({options.lease, options.renew_interval, options.min_request_interval}, std::move(quotas),
                    self_address_, session, config_digest_),
      recorded_shares_(lease_holder_.quotas().size(), -1) {}

void quota_coordinator::become_member(time_point now) {
  if (std::exchange(is_member_, true)) return;
  // The voter state starts anew, so that the votes of the previous process expire before this process votes.
  election_ = leader_election(options_.lease, members_, self_address_, session_, now);
  lease_holder_.set_reply_address({});
  lease_holder_.become_member(now);
  record_share_changes(now);
}

std::optional<std::string> quota_coordinator::renewal_target(time_point now) {
  if (is_member_) return election_.leader(now);
  return next_member_to_try(now);
}

// A process that is not the member receives no vote requests and therefore does not know the leader: it tries
// the members in turn and keeps using the member that answered most recently.
std::string quota_coordinator::next_member_to_try(time_point now) {
  const bool answered = lease_holder_.latest_request_answered();
  const duration waited = now - lease_holder_.latest_request_sent();
  const bool may_still_answer = !answered && waited < options_.renew_interval / tries_per_renew_interval;
  if (!last_tried_.empty() && (answered || may_still_answer)) return last_tried_;
  auto next = members_.upper_bound(last_tried_);
  if (next == members_.end()) next = members_.begin();
  last_tried_ = *next;
  return last_tried_;
}

std::optional<double> quota_coordinator::committed(std::size_t index, time_point now) const {
  if (!allocator_ || !is_leader(now)) return std::nullopt;
  return allocator_->committed(index, now);
}

std::uint64_t quota_coordinator::mismatched_requests() const {
  return mismatched_in_earlier_terms_ + (allocator_ ? allocator_->mismatched_requests() : 0);
}

// The allocator is discarded at the end of its term. A later leader, even if it is this member again, does
// not know which shares were granted in between.
void quota_coordinator::update_allocator(time_point now) {
  const bool leading = is_leader(now);
  if (allocator_ && (!leading || allocator_term_ != election_.term())) {
    mismatched_in_earlier_terms_ += allocator_->mismatched_requests();
    allocator_.reset();
  }
  if (allocator_ || !leading) return;
  allocator_term_ = election_.term();
  const allocator_options options{options_.lease, options_.joining_reserve, members_.size()};
  allocator_.emplace(options, lease_holder_.quotas(), config_digest_, self_address_, allocator_term_, now);
}

time_point quota_coordinator::step_with_eligibility(time_point now, const std::vector<quota_usage>& usage,
                                                    bool eligible) {
  time_point due = is_member_ ? election_.step(now, eligible) : now + options_.renew_interval;
  update_allocator(now);
  due = std::min(due, lease_holder_.step(now, renewal_target(now), usage));
  route_messages(now);
  record_share_changes(now);
  if (now < lease_expiry()) due = std::min(due, lease_expiry());
  return due;
}

void quota_coordinator::receive(time_point now, const message& received) {
  if (!members_.contains(received.sender)) return;
  switch (received.kind) {
    case message_kind::vote_request:
    case message_kind::vote_granted:
    case message_kind::vote_refused:
      if (is_member_) election_.receive(now, received);
      break;
    case message_kind::quota_request:
      // Only while this member's leader lease is valid: a grant after its expiry could exceed the global
      // limit, because another leader may be granting shares.
      if (allocator_ && is_leader(now) && allocator_term_ == election_.term())
        allocator_->receive(now, received);
      break;
    case message_kind::quota_grant:
    case message_kind::renew_hint: lease_holder_.receive(now, received); break;
  }
  route_messages(now);
  record_share_changes(now);
}

std::vector<envelope> quota_coordinator::collect_messages() {
  std::vector<envelope> collected = election_.take_outbox();
  const auto append = [&collected](std::vector<envelope> more) {
    std::move(more.begin(), more.end(), std::back_inserter(collected));
  };
  append(lease_holder_.take_outbox());
  if (allocator_) append(allocator_->take_outbox());
  return collected;
}

void quota_coordinator::deliver_to_self(time_point now, const message& content) {
  if (content.kind != message_kind::quota_request) {
    lease_holder_.receive(now, content);
  } else if (allocator_ && is_leader(now)) {
    allocator_->receive(now, content);
  }
}

// Delivers the messages of this member to itself immediately, also those that such a delivery produces. Moves
// all other messages to the outbox.
void quota_coordinator::route_messages(time_point now) {
  bool delivered = true;
  while (delivered) {
    delivered = false;
    for (envelope& outgoing : collect_messages()) {
      if (is_member_ && outgoing.recipient == self_address_) {
        deliver_to_self(now, outgoing.content);
        delivered = true;
      } else {
        outbox_.push_back(std::move(outgoing));
      }
    }
  }
}

void quota_coordinator::record_share_changes(time_point now) {
  for (std::size_t i = 0; i < recorded_shares_.size(); ++i) {
    const double share = lease_holder_.share(i, now);
    if (share == recorded_shares_[i]) continue;
    recorded_shares_[i] = share;
    changes_.push_back({i, share, lease_expiry()});
  }
}

}  // namespace marblewharf::quota
