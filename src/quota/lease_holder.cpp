#include "quota/lease_holder.hpp"

#include <algorithm>

namespace marblewharf::quota {

lease_holder::lease_holder(lease_holder_options options, std::vector<quota_definition> quotas,
                           std::string self_address, std::uint64_t session, std::uint64_t config_digest)
    : options_(options),
      quotas_(std::move(quotas)),
      self_address_(std::move(self_address)),
      session_(session),
      config_digest_(config_digest),
      granted_(quotas_.size()),
      short_of_share_(quotas_.size()) {}

double lease_holder::guaranteed_share(std::size_t index, time_point now) const {
  if (!member_since_) return 0;
  const quota_definition& quota = quotas_[index];
  const duration settling = quota.limits_in_flight ? quota.settling_time : duration{};
  return now >= *member_since_ + settling ? quota.guaranteed_share : 0;
}

double lease_holder::leased_share(std::size_t index, time_point now) const {
  return now < lease_expiry_ ? granted_[index] : 0;
}

double lease_holder::share(std::size_t index, time_point now) const {
  return guaranteed_share(index, now) + leased_share(index, now);
}

// A new shortage triggers an early request; a shortage that already existed at the previous step waits for
// the next renewal.
void lease_holder::update_shortages(time_point now, const std::vector<quota_usage>& usage) {
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    const bool is_short = usage[i].demand > share(i, now);
    if (is_short && !short_of_share_[i]) request_early_ = true;
    short_of_share_[i] = is_short;
  }
}

time_point lease_holder::step(time_point now, const std::optional<std::string>& leader,
                              const std::vector<quota_usage>& usage) {
  const time_point next_check = now + options_.min_request_interval;
  if (!leader) return next_check;
  update_shortages(now, usage);
  if (*leader != requested_leader_) request_early_ = true;
  const time_point earliest = request_sent_ + options_.min_request_interval;
  const time_point due = request_early_ ? std::min(next_renewal_, earliest) : next_renewal_;
  if (now < due) return std::min(due, next_check);
  send_request(now, *leader, usage);
  return std::min(next_renewal_, next_check);
}

void lease_holder::send_request(time_point now, const std::string& leader,
                                const std::vector<quota_usage>& usage) {
  request_early_ = false;
  requested_leader_ = leader;
  request_sent_ = now;
  next_renewal_ = now + options_.renew_interval;
  answered_ = false;
  message request;
  request.kind = message_kind::quota_request;
  request.sender = self_address_;
  request.sequence = ++sequence_;
  request.session = session_;
  request.config_digest = config_digest_;
  request.reply_to = reply_address_;
  for (std::size_t i = 0; i < quotas_.size(); ++i) request.entries.push_back(request_entry(i, now, usage[i]));
  outbox_.push_back({leader, std::move(request)});
}

quota_entry lease_holder::request_entry(std::size_t index, time_point now, const quota_usage& usage) const {
  const double guaranteed = guaranteed_share(index, now);
  const double leased = leased_share(index, now);
  // Units in flight beyond the guaranteed share are in force even without a lease.
  const double in_flight_beyond = quotas_[index].limits_in_flight ? usage.in_flight - guaranteed : 0;
  const double held = std::max({leased, in_flight_beyond, 0.0});
  const double demand = std::max(0.0, usage.demand - guaranteed);
  return {held, demand, leased};
}

void lease_holder::receive(time_point now, const message& received) {
  if (received.sender != requested_leader_) return;
  if (received.kind == message_kind::renew_hint) {
    request_early_ = true;
    return;
  }
  if (answers_latest_request(received)) apply_grant(now, received);
}

bool lease_holder::answers_latest_request(const message& grant) const {
  return grant.kind == message_kind::quota_grant && !answered_ && grant.sequence == sequence_ &&
         grant.session == session_ && grant.entries.size() == quotas_.size();
}

void lease_holder::apply_grant(time_point now, const message& grant) {
  answered_ = true;
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    const double previous_share = leased_share(i, now);
    // The allocator can grant a released share to other nodes only after the next request reports the
    // release.
    if (grant.entries[i].held < previous_share) request_early_ = true;
    granted_[i] = grant.entries[i].held;
  }
  lease_expiry_ = request_sent_ + options_.lease.length;
}

}  // namespace marblewharf::quota
