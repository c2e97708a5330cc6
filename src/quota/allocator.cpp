#include "quota/allocator.hpp"

#include <algorithm>
#include <numeric>

namespace marblewharf::quota {

namespace {

constexpr double rounding_tolerance = 1e-9;

}  // namespace

std::vector<double> max_min_shares(double pool, const std::vector<double>& demands,
                                   const std::vector<double>& weights) {
  // In ascending order of demand relative to weight: what a satisfied participant does not use is divided
  // among the remaining ones.
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return demands[a] * weights[b] < demands[b] * weights[a]; });
  double remaining_weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  std::vector<double> shares(demands.size());
  for (const std::size_t i : order) {
    if (remaining_weight > 0) {
      const double proportional = pool * weights[i] / remaining_weight;
      shares[i] = std::clamp(proportional, 0.0, std::max(0.0, demands[i]));
    }
    pool = std::max(0.0, pool - shares[i]);
    remaining_weight -= weights[i];
  }
  return shares;
}

allocator::allocator(allocator_options options, std::vector<quota_definition> quotas,
                     std::uint64_t config_digest, std::string self_address, std::uint64_t term,
                     time_point now)
    : options_(options),
      quotas_(std::move(quotas)),
      config_digest_(config_digest),
      self_address_(std::move(self_address)),
      term_(term),
      earlier_leases_expiry_(now + safe_expiry_wait(options.lease)) {}

double allocator::pool(std::size_t index) const {
  const quota_definition& quota = quotas_[index];
  return std::max(0.0,
                  quota.global_limit - quota.guaranteed_share * static_cast<double>(options_.member_count));
}

double allocator::divisible_pool(std::size_t index) const {
  return pool(index) * (1 - options_.joining_reserve);
}

double allocator::committed(std::size_t index, time_point now) const {
  double sum = 0;
  for (const auto& [id, session] : sessions_)
    if (now < session.safe_lease_expiry + quotas_[index].settling_time) sum += session.committed[index];
  return sum;
}

void allocator::erase_expired_sessions(time_point now) {
  duration longest_settling{};
  for (const quota_definition& quota : quotas_)
    longest_settling = std::max(longest_settling, quota.settling_time);
  std::erase_if(sessions_,
                [=](const auto& entry) { return now >= entry.second.safe_lease_expiry + longest_settling; });
}

bool allocator::requested_within_lease(const session_state& session, time_point now) const {
  return now - session.requested < options_.lease.length;
}

// Divides the pool among the sessions that sent a request within the last lease length. The commitment to any
// other session still counts until it expires, but the demand of that session counts as zero.
double allocator::fair_share(std::size_t index, const session_id& id, time_point now) const {
  std::vector<double> demands;
  std::vector<double> weights;
  std::size_t position = 0;
  for (const auto& [other_id, other] : sessions_) {
    if (!requested_within_lease(other, now)) continue;
    if (other_id == id) position = demands.size();
    demands.push_back(other.demand[index]);
    weights.push_back(quotas_[index].weight);
  }
  return max_min_shares(divisible_pool(index), demands, weights)[position];
}

void allocator::receive(time_point now, const message& request) {
  if (request.kind != message_kind::quota_request) return;
  if (request.config_digest != config_digest_ || request.entries.size() != quotas_.size()) {
    ++mismatched_requests_;
    return;
  }
  erase_expired_sessions(now);
  const session_id id{request.sender, request.session};
  if (!sessions_.contains(id) && sessions_.size() >= options_.max_sessions) return;
  session_state& session = sessions_[id];
  // A request that arrives after a later request of the same session reports outdated shares.
  if (request.sequence <= session.sequence) return;
  const bool is_new = session.sequence == 0;
  record_request(session, request, now, safe_expiry_wait(options_.lease));
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    const double leased = std::clamp(request.entries[i].leased, 0.0, session.held[i]);
    session.granted[i] = grant(i, id, session, leased, is_new, now);
    session.committed[i] = std::max(session.held[i], session.granted[i]);
  }
  send_grant(id, session);
  send_renew_hints(id, now);
}

void allocator::record_request(session_state& session, const message& request, time_point now,
                               duration expiry_wait) {
  const std::size_t count = request.entries.size();
  session.address = request.reply_to.empty() ? request.sender : request.reply_to;
  session.sequence = request.sequence;
  session.requested = now;
  session.safe_lease_expiry = now + expiry_wait;
  session.held.resize(count);
  session.demand.resize(count);
  session.committed.resize(count);
  session.granted.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    session.held[i] = std::max(0.0, request.entries[i].held);
    session.demand[i] = std::max(0.0, request.entries[i].demand);
    session.committed[i] = session.held[i];  // the node ignores replies to earlier requests
  }
}

// Renewing a valid lease does not increase the amount in force, so it is always allowed up to the fair share.
// Units that are still in flight after their lease expired count as committed, but give no right to a
// renewal: their share may have been granted to other nodes in the meantime. A share is increased only after
// the unreported grants of earlier leaders have ended.
double allocator::grant(std::size_t index, const session_id& id, const session_state& session, double leased,
                        bool is_new, time_point now) const {
  const double wanted = fair_share(index, id, now);
  if (wanted <= leased || now < earlier_grants_expiry(index)) return std::min(wanted, leased);
  const bool is_joining = is_new && session.held[index] <= rounding_tolerance;
  const double limit = is_joining ? pool(index) : divisible_pool(index);
  const double committed_to_others = committed(index, now) - session.committed[index];
  const double available = limit - committed_to_others;
  return std::min(wanted, std::max(leased, available));
}

void allocator::send_grant(const session_id& id, const session_state& session) {
  message reply;
  reply.kind = message_kind::quota_grant;
  reply.sender = self_address_;
  reply.term = term_;
  reply.sequence = session.sequence;
  reply.session = id.session;
  reply.config_digest = config_digest_;
  for (const double granted : session.granted) reply.entries.push_back({granted, 0});
  outbox_.push_back({session.address, std::move(reply)});
}

void allocator::send_renew_hints(const session_id& except, time_point now) {
  for (const auto& [id, session] : sessions_) {
    if (id == except || !requested_within_lease(session, now) || !can_grant_more(id, session, now)) continue;
    message hint;
    hint.kind = message_kind::renew_hint;
    hint.sender = self_address_;
    hint.term = term_;
    hint.session = id.session;
    hint.config_digest = config_digest_;
    outbox_.push_back({session.address, std::move(hint)});
  }
}

bool allocator::can_grant_more(const session_id& id, const session_state& session, time_point now) const {
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    if (now < earlier_grants_expiry(i)) continue;
    const double available = divisible_pool(i) - committed(i, now);
    if (available <= rounding_tolerance * pool(i)) continue;
    if (session.granted[i] + rounding_tolerance < fair_share(i, id, now)) return true;
  }
  return false;
}

}  // namespace marblewharf::quota
