// A node's shares of the quotas: asks the leader to renew them, and holds them until their lease expires.
//
// Free of I/O: the clock and received messages are handed in, messages to send are taken out. Not
// thread-safe: owned by one thread.
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
  lease_holder(lease_holder_options options, std::vector<quota_definition> quotas, std::string self,
               std::uint64_t session, std::uint64_t config_digest);

  // Sends `leader` a quota request where one is due: each renew interval, and earlier where the leader
  // changed, a grant lowered a share, or demand has come to exceed a share. `usage`: by quota. Returns when
  // to call again.
  time_point step(time_point now, const std::optional<std::string>& leader,
                  const std::vector<quota_usage>& usage);
  void receive(time_point now, const message& received);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  // This process is the member from now on, and has its guaranteed shares; those of in-flight quotas only
  // after their settling time, since the process before it may have left units in flight.
  void become_member(time_point now) { member_since_ = now; }
  // Where replies are to go while this process is not the member; empty: to the member's address.
  void set_reply_address(std::string address) { reply_address_ = std::move(address); }

  bool latest_request_answered() const { return answered_; }
  time_point latest_request_sent() const { return request_sent_; }

  // What the node may use of quota `index`: its guaranteed share and, until lease_expiry(), what was granted.
  double share(std::size_t index, time_point now) const;
  // In this node's clock; in the past: no lease stands.
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
  std::string self_;
  std::uint64_t session_;
  std::uint64_t config_digest_;
  std::string reply_address_;
  std::optional<time_point> member_since_;
  // Of the latest request. A grant to an earlier one changes nothing: the allocator has learned from the
  // latest what this node holds.
  std::string requested_from_;
  std::uint64_t sequence_ = 0;
  bool answered_ = true;
  time_point request_sent_{};

  time_point next_renewal_{};
  bool request_early_ = false;  // as soon as the minimum interval allows
  // By quota: granted beyond the guaranteed share, in force until `lease_expiry_`, which counts from when the
  // request was sent.
  std::vector<double> granted_;
  time_point lease_expiry_{};
  std::vector<bool> short_of_share_;  // by quota: demand exceeded the share at the last step
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
