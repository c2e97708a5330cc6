// The leader's allocator: records the share of each quota that every node may have in force, and grants
// shares by weighted max-min fairness according to the nodes' demands.
//
// Performs no I/O: the owner passes in the time and the received requests, and takes the messages to send.
// Not thread-safe: owned by one thread. The leader creates a new allocator for each term. The allocator does
// not know the grants of earlier leaders: it learns them from the nodes' requests, or waits until the leases
// of these grants have certainly expired.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease.hpp"
#include "quota/message.hpp"
#include "quota/quota_definition.hpp"

namespace marblewharf::quota {

struct allocator_options {
  lease_options lease;
  double joining_reserve = 0.05;  // fraction of the pool that only nodes joining without a share can get
  std::size_t member_count = 1;   // number of configured members; each has the guaranteed share
  std::size_t max_sessions = 1024;
};

// Weighted max-min fair division: no participant gets more than its demand, and the share of an unsatisfied
// participant cannot grow without reducing a share that is no larger relative to its weight. The shares are
// in the order of `demands` and add up to at most `pool`.
std::vector<double> max_min_shares(double pool, const std::vector<double>& demands,
                                   const std::vector<double>& weights);

class allocator {
 public:
  allocator(allocator_options options, std::vector<quota_definition> quotas, std::uint64_t config_digest,
            std::string self_address, std::uint64_t term, time_point now);

  // Replies to a quota request with a grant, and sends renew hints to nodes whose share could now be
  // increased. A request with a different configuration digest gets no reply and is counted in
  // mismatched_requests().
  void receive(time_point now, const message& request);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  // Upper bound of the amount of a quota that all nodes together have in force, without the guaranteed
  // shares. Never exceeds pool(), except for units that are still in flight after their lease expired.
  double committed(std::size_t index, time_point now) const;
  // The global limit minus the guaranteed shares of all members.
  double pool(std::size_t index) const;
  // The pool minus the reserve for joining nodes; this amount is divided into fair shares.
  double divisible_pool(std::size_t index) const;
  std::uint64_t mismatched_requests() const { return mismatched_requests_; }

 private:
  // One process of a member, as described by its latest request. Vectors are indexed by quota.
  struct session_state {
    std::string address;  // destination of replies and hints
    std::uint64_t sequence = 0;
    // The larger of `held` and `granted`: an upper bound of what the process has in force, valid until its
    // next request, or until the settling time after `safe_lease_expiry` has passed.
    std::vector<double> committed;
    std::vector<double> held;
    std::vector<double> demand;
    std::vector<double> granted;
    time_point requested{};
    time_point safe_lease_expiry{};
  };
  struct session_id {
    std::string member;
    std::uint64_t session = 0;
    auto operator<=>(const session_id&) const = default;
  };

  void erase_expired_sessions(time_point now);
  bool requested_within_lease(const session_state& session, time_point now) const;
  static void record_request(session_state& session, const message& request, time_point now,
                             duration expiry_wait);
  double grant(std::size_t index, const session_id& id, const session_state& session, double leased,
               bool is_new, time_point now) const;
  double fair_share(std::size_t index, const session_id& id, time_point now) const;
  void send_grant(const session_id& id, const session_state& session);
  void send_renew_hints(const session_id& except, time_point now);
  bool can_grant_more(const session_id& id, const session_state& session, time_point now) const;
  // The time after which no grant of an earlier leader is in force for this quota unless a node has reported
  // the grant to this allocator.
  time_point earlier_grants_expiry(std::size_t index) const {
    return earlier_leases_expiry_ + quotas_[index].settling_time;
  }

  allocator_options options_;
  std::vector<quota_definition> quotas_;
  std::uint64_t config_digest_;
  std::string self_address_;
  std::uint64_t term_;
  time_point earlier_leases_expiry_;
  std::map<session_id, session_state> sessions_;
  std::uint64_t mismatched_requests_ = 0;
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
