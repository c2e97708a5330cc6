// The quota protocol of one member: its vote in the leader election, the shares that it holds, and the
// allocation of shares while it is the leader.
//
// Performs no I/O: the owner passes in the time, the members believed alive, the usage and the received
// messages, and takes the messages to send and the share changes. Not thread-safe: owned by one thread.
//
// As long as the rate error of every clock is at most max_clock_drift, the sum of the shares that all members
// enforce never exceeds the global limit. This guarantee needs leader_election (at most one leader),
// allocator (bounded commitments) and lease_holder (no share beyond its lease) together: docs/budgets.md.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quota/allocator.hpp"
#include "quota/leader_election.hpp"
#include "quota/lease_holder.hpp"

namespace marblewharf::quota {

struct quota_coordinator_options {
  lease_options lease;
  duration renew_interval = std::chrono::milliseconds(500);
  duration min_request_interval = std::chrono::milliseconds(50);
  double joining_reserve = 0.05;  // as in allocator_options
};

// The new share of a quota at this member. It applies until the next change or until the lease expires; after
// the expiry only the guaranteed share remains.
struct share_change {
  std::size_t quota_index = 0;
  double share = 0;
  time_point lease_expiry{};  // in this member's clock
};

class quota_coordinator {
 public:
  // The process is not the member yet: it requests shares, but has neither a vote nor guaranteed shares until
  // become_member(). `members`: the configured members; throws std::invalid_argument if `self_address` is not
  // among them. `session`: identifies this process, higher than the value of any earlier process (the start
  // time in Unix ms).
  quota_coordinator(quota_coordinator_options options, std::vector<quota_definition> quotas,
                    std::set<std::string> members, std::string self_address, std::uint64_t session,
                    time_point now);
  // This process has bound the member's address, which the previous process has released.
  void become_member(time_point now);
  bool is_member() const { return is_member_; }
  // Destination of replies to this process until it is the member.
  void set_reply_address(std::string address) { lease_holder_.set_reply_address(std::move(address)); }

  // `is_alive(address)`: whether this member believes another member to be alive. The belief decides which
  // member becomes a candidate; votes do not depend on it. `usage` is indexed by quota. Returns the time of
  // the next call.
  template <typename IsAlive>
  time_point step(time_point now, const std::vector<quota_usage>& usage, IsAlive&& is_alive) {
    bool is_first_alive = true;
    for (const std::string& member : members_) {
      if (member == self_address_) break;
      if (is_alive(member)) is_first_alive = false;
    }
    return step_with_eligibility(now, usage, is_first_alive);
  }
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  std::vector<share_change> take_changes() { return std::exchange(changes_, {}); }

  double share(std::size_t index, time_point now) const { return lease_holder_.share(index, now); }
  time_point lease_expiry() const { return lease_holder_.lease_expiry(); }
  bool is_leader(time_point now) const { return election_.is_leader(now); }
  std::optional<std::string> leader(time_point now) const { return election_.leader(now); }
  std::uint64_t term() const { return election_.term(); }
  // The committed amount of a quota while this member is the leader; nullopt while it is not.
  std::optional<double> committed(std::size_t index, time_point now) const;
  std::uint64_t mismatched_requests() const;

 private:
  time_point step_with_eligibility(time_point now, const std::vector<quota_usage>& usage, bool eligible);
  void update_allocator(time_point now);
  void route_messages(time_point now);
  std::vector<envelope> collect_messages();
  void deliver_to_self(time_point now, const message& content);
  void record_share_changes(time_point now);
  std::optional<std::string> renewal_target(time_point now);
  std::string next_member_to_try(time_point now);

  quota_coordinator_options options_;
  std::set<std::string> members_;
  std::string self_address_;
  std::uint64_t session_;
  std::uint64_t config_digest_;
  bool is_member_ = false;
  std::string last_tried_;  // while not the member: the member that the latest request was sent to
  leader_election election_;
  lease_holder lease_holder_;
  // Exists only while this member is the leader; each term has a new allocator.
  std::optional<allocator> allocator_;
  std::uint64_t allocator_term_ = 0;
  std::vector<double> recorded_shares_;  // by quota: the share of the latest entry in changes_
  std::uint64_t mismatched_in_earlier_terms_ = 0;
  std::vector<envelope> outbox_;
  std::vector<share_change> changes_;
};

// Digest of the settings that must be equal at all members: names, limits, guaranteed shares and settling
// times of the quotas, and the list of members.
std::uint64_t config_digest(const std::vector<quota_definition>& quotas,
                            const std::set<std::string>& members);

}  // namespace marblewharf::quota
