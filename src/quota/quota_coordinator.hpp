// One member's part in the quotas of the cluster: its vote in the leader election, the shares that it holds,
// and the division while it leads.
//
// Free of I/O: the clock, the members believed alive, usage and received messages are handed in; messages to
// send and changes of shares are taken out. Not thread-safe: owned by one thread.
//
// While every clock's rate is within the drift, the shares that all members act on add up to at most the
// global limit. This rests on leader_election (one leader), allocator (what it commits) and lease_holder
// (what it acts on) together: docs/budgets.md.
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

// What this member may use of a quota from now on, until the next change or the lease's expiry, after which
// it is the guaranteed share.
struct share_change {
  std::size_t quota_index = 0;
  double share = 0;
  time_point lease_expiry{};  // in this member's clock
};

class quota_coordinator {
 public:
  // Begins as a process that is not the member yet: it asks for shares, and has neither a vote nor guaranteed
  // shares until become_member(). `members`: configured, `self` among them (else std::invalid_argument).
  // `session`: of this process, above those of earlier ones (its start in Unix ms).
  quota_coordinator(quota_coordinator_options options, std::vector<quota_definition> quotas,
                    std::set<std::string> members, std::string self, std::uint64_t session, time_point now);
  // The member's address is this process's from now on; the process before it has released it.
  void become_member(time_point now);
  bool is_member() const { return is_member_; }
  // Where replies reach this process until it is the member.
  void set_reply_address(std::string address) { lease_holder_.set_reply_address(std::move(address)); }

  // `is_alive(address)`: whether this member believes another alive. It decides who stands for election,
  // never who may win it. `usage`: by quota. Returns when to call again.
  template <typename IsAlive>
  time_point step(time_point now, const std::vector<quota_usage>& usage, IsAlive&& is_alive) {
    bool is_first_alive = true;
    for (const std::string& member : members_) {
      if (member == self_) break;
      if (is_alive(member)) is_first_alive = false;
    }
    return step_as(now, usage, is_first_alive);
  }
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  std::vector<share_change> take_changes() { return std::exchange(changes_, {}); }

  double share(std::size_t index, time_point now) const { return lease_holder_.share(index, now); }
  time_point lease_expiry() const { return lease_holder_.lease_expiry(); }
  bool is_leader(time_point now) const { return election_.is_leader(now); }
  std::optional<std::string> leader(time_point now) const { return election_.leader(now); }
  std::uint64_t term() const { return election_.term(); }
  // What it has committed of a quota as the leader; none: it does not lead.
  std::optional<double> committed(std::size_t index, time_point now) const;
  std::uint64_t mismatched_requests() const;

 private:
  time_point step_as(time_point now, const std::vector<quota_usage>& usage, bool eligible);
  void update_allocator(time_point now);
  void route_messages(time_point now);
  std::vector<envelope> collect_messages();
  void deliver_to_self(time_point now, const message& content);
  void record_share_changes(time_point now);
  std::optional<std::string> renewal_target(time_point now);
  std::string next_member_to_try(time_point now);

  quota_coordinator_options options_;
  std::set<std::string> members_;
  std::string self_;
  std::uint64_t session_;
  std::uint64_t config_digest_;
  bool is_member_ = false;
  std::string last_tried_;  // before it is the member: whom it asked last
  leader_election election_;
  lease_holder lease_holder_;
  // Exists only in a term that this member leads; a new term begins with a new one.
  std::optional<allocator> allocator_;
  std::uint64_t allocator_term_ = 0;
  std::vector<double> recorded_shares_;  // as last put out in changes_
  std::uint64_t mismatched_in_earlier_terms_ = 0;
  std::vector<envelope> outbox_;
  std::vector<share_change> changes_;
};

// Of what all members must have configured alike: names, limits, guaranteed shares, settling times and the
// members.
std::uint64_t config_digest(const std::vector<quota_definition>& quotas,
                            const std::set<std::string>& members);

}  // namespace marblewharf::quota
