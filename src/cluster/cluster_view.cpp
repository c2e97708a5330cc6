#include "cluster/cluster_view.hpp"

#include "cluster/member_addresses.hpp"

namespace marblewharf::cluster {

namespace {

// An answer to this member's own probe counts as contact with the zone for this number of probe intervals.
constexpr int contact_window_intervals = 5;

membership::swim_options membership_options(const fleet_config& settings) {
  membership::swim_options options;
  options.probe_interval = settings.probe_interval;
  options.probe_timeout = settings.probe_timeout;
  options.indirect_probes = settings.indirect_probes;
  options.suspicion_min_rounds = settings.suspicion_min_rounds;
  options.suspicion_max_factor = settings.suspicion_max_factor;
  options.suspicion_confirmations = settings.suspicion_confirmations;
  options.retransmit_multiplier = settings.retransmits;
  options.gossip_per_message = settings.gossip_per_message;
  options.refresh_per_message = settings.refresh_per_message;
  options.max_local_health = settings.max_health_score;
  options.reconnect_intervals = settings.dead_member_probe_interval;
  return options;
}

membership::member_update own_update(const fleet_config& settings, std::uint64_t incarnation) {
  membership::member_update self;
  self.address = address_of(settings.advertise);
  self.zone = settings.zone;
  self.region = settings.region_of(settings.zone);
  self.incarnation = incarnation;
  return self;
}

failover::zone_view_options zone_options(const fleet_config& settings) {
  failover::zone_view_options options;
  options.hold_down = settings.hold_down;
  options.vote_lease = settings.vote_lease;
  return options;
}

membership::swim new_membership(const fleet_config& settings, std::uint64_t incarnation, time_point now) {
  return {membership_options(settings), own_update(settings, incarnation), seed_addresses(settings), now};
}

failover::zone_view new_zone_view(const fleet_config& settings, std::uint64_t first_round) {
  return {zones_by_member(settings), address_of(settings.advertise), zone_options(settings), first_round};
}

failover::member_state state_of(membership::member_status status) {
  switch (status) {
    case membership::member_status::alive: return failover::member_state::alive;
    case membership::member_status::suspect: return failover::member_state::suspect;
    case membership::member_status::dead: return failover::member_state::dead;
  }
  return failover::member_state::unknown;
}

membership::zone_vote to_message(const failover::vote& vote) {
  return {vote.voter, vote.zone, vote.epoch, vote.out, vote.round};
}

failover::vote from_message(const membership::zone_vote& vote) {
  return {vote.voter, vote.zone, vote.epoch, vote.out, vote.round};
}

}  // namespace

cluster_view::cluster_view(const fleet_config& settings, std::uint64_t incarnation, time_point now)
    : settings_(settings),
      started_(now),
      zones_by_member_(zones_by_member(settings)),
      membership_(new_membership(settings, incarnation, now)),
      zones_(new_zone_view(settings, incarnation)) {}

void cluster_view::restart(std::uint64_t incarnation, time_point now) {
  started_ = now;
  membership_ = new_membership(settings_, incarnation, now);
  zones_ = new_zone_view(settings_, incarnation);
  own_votes_.clear();
  reported_epochs_.clear();
}

void cluster_view::receive(time_point now, const membership::message& received) {
  membership_.receive(now, received);
  for (const membership::zone_vote& vote : received.votes) zones_.receive(now, from_message(vote));
}

time_point cluster_view::step(time_point now, std::mt19937_64& random) {
  return membership_.step(now, random);
}

void cluster_view::observe_zones(time_point now) {
  own_votes_.clear();
  for (const fleet_zone& zone : settings_.zones) {
    const auto vote = zones_.observe(now, zone.name, observe(zone, now));
    if (vote) own_votes_.push_back(to_message(*vote));
  }
}

failover::member_observation cluster_view::observe_member(const std::string& address, time_point now) const {
  failover::member_observation observed;
  if (const auto acknowledged = membership_.last_acknowledged(address))
    observed.since_acknowledged = now - *acknowledged;
  if (const auto missed = membership_.last_missed(address)) observed.since_missed = now - *missed;
  const auto member = membership_.members().find(address);
  if (member != membership_.members().end()) observed.state = state_of(member->second.status);
  return observed;
}

failover::zone_observation cluster_view::observe(const fleet_zone& zone, time_point now) const {
  std::vector<failover::member_observation> members;
  for (const endpoint& member : zone.members) members.push_back(observe_member(address_of(member), now));
  failover::observation_rules rules;
  rules.since_start = now - started_;
  rules.start_grace = settings_.start_grace;
  rules.contact_window = contact_window_intervals * settings_.probe_interval;
  return failover::observe_zone(members, rules);
}

std::vector<membership::envelope> cluster_view::take_outbox() {
  std::vector<membership::envelope> outgoing = membership_.take_outbox();
  for (membership::envelope& envelope : outgoing) {
    envelope.content.votes = own_votes_;
    for (const failover::vote& vote : zones_.outgoing_gossip(settings_.votes_per_message))
      envelope.content.votes.push_back(to_message(vote));
  }
  return outgoing;
}

std::vector<zone_change> cluster_view::take_zone_changes() {
  std::vector<zone_change> changes;
  for (const std::string& zone : zones_.zones()) {
    const failover::zone_decision decision = zones_.decision(zone);
    std::uint64_t& reported_epoch = reported_epochs_[zone];
    if (reported_epoch == decision.epoch) continue;
    reported_epoch = decision.epoch;
    changes.push_back({zone, decision});
  }
  return changes;
}

bool cluster_view::is_zone_routable(const std::string& zone) const {
  return failover::is_zone_routable(zones_.decision(zone), zone == settings_.zone);
}

bool cluster_view::is_routable(const std::string& place) const {
  const auto member = zones_by_member_.find(place);
  if (member == zones_by_member_.end()) return is_zone_routable(place);
  if (place == self().address) return true;
  return is_alive(place) && is_zone_routable(member->second);
}

}  // namespace marblewharf::cluster
