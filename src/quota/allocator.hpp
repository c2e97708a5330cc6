// The leader's division of the quotas: tracks what each node may have in force, and grants max-min fair
// shares by demand and weight.
//
// Free of I/O: the clock and requests are handed in, replies are taken out. Not thread-safe: owned by one
// thread. Created anew for each term. What the leader before it granted it learns from the nodes' requests,
// or waits until that has surely expired.
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
  double joining_reserve = 0.05;  // fraction of the pool that only nodes without a share draw on
  std::size_t member_count = 1;   // configured members: each has the guaranteed share
  std::size_t max_sessions = 1024;
};

// Weighted max-min fair division: nobody gets more than its demand, and whoever gets less could only get more
// from one that has no more for its weight. The shares, in the order of `demands`, add up to at most `pool`.
std::vector<double> max_min_shares(double pool, const std::vector<double>& demands,
                                   const std::vector<double>& weights);

class allocator {
 public:
  allocator(allocator_options options, std::vector<quota_definition> quotas, std::uint64_t config_digest,
            std::string self, std::uint64_t term, time_point now);

  // Replies to a quota request with a grant, and sends renew hints to nodes that may have more now. A request
  // with another configuration's digest gets no reply and is counted.
  void receive(time_point now, const message& request);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  // What the nodes together may have in force of a quota, guaranteed shares excluded. At most pool() at any
  // moment, but for units in flight beyond an expired lease.
  double committed(std::size_t index, time_point now) const;
  // The global limit less all guaranteed shares.
  double pool(std::size_t index) const;
  // The pool less the reserve for joining nodes: what the fair shares divide.
  double divisible_pool(std::size_t index) const;
  std::uint64_t mismatched_requests() const { return mismatched_requests_; }

 private:
  // One process of a member, as of its latest request. Vectors are by quota.
  struct session_state {
    std::string address;  // where replies and hints go
    std::uint64_t sequence = 0;
    // The larger of what it holds and what it was last granted: an upper bound of what it has in force, until
    // the next request tells or `lease_surely_expired` and the settling time have passed.
    std::vector<double> committed;
    std::vector<double> held;
    std::vector<double> demand;
    std::vector<double> granted;
    time_point requested{};
    time_point lease_surely_expired{};
  };
  struct session_id {
    std::string member;
    std::uint64_t session = 0;
    auto operator<=>(const session_id&) const = default;
  };

  void forget_expired_sessions(time_point now);
  bool requested_within_lease(const session_state& session, time_point now) const;
  static void record_request(session_state& session, const message& request, time_point now,
                             duration expiry_wait);
  double grant(std::size_t index, const session_id& id, const session_state& session, double leased,
               bool is_new, time_point now) const;
  double fair_share(std::size_t index, const session_id& id, time_point now) const;
  void send_grant(const session_id& id, const session_state& session);
  void send_renew_hints(const session_id& except, time_point now);
  bool may_have_more(const session_id& id, const session_state& session, time_point now) const;
  // From then on nothing is in force of this quota that an earlier leader granted and no node has reported.
  time_point earlier_grants_over(std::size_t index) const {
    return earlier_leases_expired_ + quotas_[index].settling_time;
  }

  allocator_options options_;
  std::vector<quota_definition> quotas_;
  std::uint64_t config_digest_;
  std::string self_;
  std::uint64_t term_;
  time_point earlier_leases_expired_;
  std::map<session_id, session_state> sessions_;
  std::uint64_t mismatched_requests_ = 0;
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
