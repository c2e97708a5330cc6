// A node's shares of the quotas: requests and renews them at the leader, and keeps them until their lease
// expires.
//
// Performs no I/O: the owner passes in the time and the received messages, and takes the messages to send.
// Not thread-safe: owned by one thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease.hpp"
#include "quota/message.hpp"
#include "quota/quota_definition.hpp"

namespace marblewharf::quota {

struct lease_holder_options {
  lease_options lease;
  duration renew_interval = std::chrono::milliseconds(500);
  duration min_request_interval = std::chrono::milliseconds(50);
};

class lease_holder {
 public:
  lease_holder(lease_holder_options options, std::vector<quota_definition> quotas, std::string self_address,
               std::uint64_t session, std::uint64_t config_digest);

  // Sends a quota request to `leader` when one is due: once per renew interval, and earlier if the leader
  // changed, a grant lowered a share, or demand has started to exceed a share. `usage` is indexed by quota.
  // Returns the time of the next call.
  time_point step(time_point now, const std::optional<std::string>& leader,
                  const std::vector<quota_usage>& usage);
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  // From `now` on this process is the member and has the member's guaranteed shares. The guaranteed shares of
  // in-flight quotas apply only after the settling time, because the previous process may have left units in
  // flight.
  void become_member(time_point now) { member_since_ = now; }
  // Destination of replies while this process is not the member; empty: the member's address.
  void set_reply_address(std::string address) { reply_address_ = std::move(address); }

  bool latest_request_answered() const { return answered_; }
  time_point latest_request_sent() const { return request_sent_; }

  // What the node may use of quota `index`: its guaranteed share plus, until lease_expiry(), the granted
  // share.
  double share(std::size_t index, time_point now) const;
  // In this node's clock; a time in the past means that the node has no valid lease.
  time_point lease_expiry() const { return lease_expiry_; }
  const std::vector<quota_definition>& quotas() const { return quotas_; }

 private:
  double guaranteed_share(std::size_t index, time_point now) const;
  double leased_share(std::size_t index, time_point now) const;
  void update_shortages(time_point now, const std::vector<quota_usage>& usage);
  void send_request(time_point now, const std::string& leader, const std::vector<quota_usage>& usage);
  quota_entry request_entry(std::size_t index, time_point now, const quota_usage& usage) const;
  bool answers_latest_request(const message& grant) const;
  void apply_grant(time_point now, const message& grant);

  lease_holder_options options_;
  std::vector<quota_definition> quotas_;
  std::string self_address_;
  std::uint64_t session_;
  std::uint64_t config_digest_;
  std::string reply_address_;
  std::optional<time_point> member_since_;
  // State of the latest request. A grant that answers an earlier request is ignored, because the allocator
  // records what this node holds from the latest request.
  std::string requested_leader_;
  std::uint64_t sequence_ = 0;
  bool answered_ = true;
  time_point request_sent_{};

  time_point next_renewal_{};
  bool request_early_ = false;  // the next request is due as soon as the minimum interval has passed
  // By quota: the share granted beyond the guaranteed share, in force until `lease_expiry_`. The lease starts
  // when the request is sent.
  std::vector<double> granted_;
  time_point lease_expiry_{};
  std::vector<bool> short_of_share_;  // by quota: demand exceeded the share at the previous step
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
