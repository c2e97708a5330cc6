#include "failover/zone_view.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::failover {

namespace {

// Renewals of a vote within its lease, so that the loss of some copies does not let the vote expire.
constexpr int renewals_per_lease = 4;
// A voter whose clock was set back before a restart uses lower rounds than before. The highest round of a
// voter is forgotten after this many leases without a new vote from it, so that its lower rounds are
// accepted.
constexpr int leases_remembered = 4;
// With fewer zones, each half of a partition would have the majority of the other zones.
constexpr std::size_t min_zones = 3;

// The parity of an epoch determines its value.
bool is_out_epoch(std::uint64_t epoch) {
  return epoch % 2 == 1;
}

}  // namespace

zone_view::zone_view(std::map<std::string, std::string> zones_by_member, std::string self_address,
                     zone_view_options options, std::uint64_t first_round)
    : zones_by_member_(std::move(zones_by_member)),
      self_address_(std::move(self_address)),
      options_(options),
      round_(first_round) {
  const auto found = zones_by_member_.find(self_address_);
  if (found == zones_by_member_.end())
    throw std::invalid_argument("zone_view: " + self_address_ + " is not a configured member");
  own_zone_ = found->second;
  for (const auto& [member, zone] : zones_by_member_) {
    ++configured_member_counts_[zone];
    zones_.insert(zone);
  }
}

zone_decision zone_view::decision(const std::string& zone) const {
  const auto found = decisions_.find(zone);
  return found == decisions_.end() ? zone_decision{} : found->second;
}

bool zone_view::is_region_out(const std::vector<std::string>& zones_of_region) const {
  const auto is_out = [this](const std::string& zone) { return decision(zone).out; };
  return !zones_of_region.empty() && std::all_of(zones_of_region.begin(), zones_of_region.end(), is_out);
}

// The epoch for a new vote with the value `out`: the current epoch if it has that value, otherwise the next
// one. If other members have valid votes for a later epoch with the same value, that epoch is used, so that a
// member that has missed a decision does not prevent a quorum.
std::uint64_t zone_view::target_epoch(time_point now, const std::string& zone, bool out) const {
  const zone_decision current = decision(zone);
  std::uint64_t epoch = current.out == out ? current.epoch : current.epoch + 1;
  const auto votes = votes_.find(zone);
  if (votes == votes_.end()) return epoch;
  for (const auto& [voter, record] : votes->second)
    if (is_unexpired(record, now) && record.latest.out == out) epoch = std::max(epoch, record.latest.epoch);
  return epoch;
}

void zone_view::record_observation(time_point now, const std::string& zone, zone_observation observed) {
  if (observed == zone_observation::healthy) {
    healthy_since_.try_emplace(zone, now);
  } else {
    healthy_since_.erase(zone);
  }
  const bool out_of_contact = observed == zone_observation::down || observed == zone_observation::silent;
  if (out_of_contact) last_out_of_contact_[zone] = now;
}

// Votes a zone out immediately, but votes it in only after `hold_down`, so that a flapping zone stays out.
// Without a reason for a change, the vote confirms the current decision.
std::optional<vote> zone_view::observe(time_point now, const std::string& zone, zone_observation observed) {
  if (zone == own_zone_ || !zones_.contains(zone)) return std::nullopt;
  record_observation(now, zone, observed);
  const zone_decision current = decision(zone);
  const bool votes_out = observed == zone_observation::down && quorum_in_contact(zone, now);
  const bool votes_in =
      observed == zone_observation::healthy && now - healthy_since_[zone] >= options_.hold_down;
  const bool out = votes_out || (current.out && !votes_in);
  const std::uint64_t epoch = votes_out || votes_in ? target_epoch(now, zone, out) : current.epoch;
  std::optional<vote> own_vote = update_own_vote(now, vote{self_address_, zone, epoch, out, 0});
  if (own_vote) count_votes(now, zone);
  return own_vote;
}

// Renews or changes this member's vote. A vote for epoch 0 withdraws an earlier vote; the withdrawal is sent
// for one lease and then discarded.
std::optional<vote> zone_view::update_own_vote(time_point now, const vote& intended) {
  vote_record& record = votes_[intended.zone][self_address_];
  const bool changed = record.latest.epoch != intended.epoch;
  const bool withdrawal = intended.epoch == 0;
  const bool withdrawal_still_sent = record.latest.round > 0 && is_unexpired(record, now);
  if (withdrawal && !changed && !withdrawal_still_sent) return std::nullopt;
  if (changed || now - record.received >= options_.vote_lease / renewals_per_lease) {
    if (!withdrawal || changed) record.received = now;
    record.latest = intended;
    record.latest.round = ++round_;
  }
  return record.latest;
}

bool zone_view::is_well_formed(const vote& received) const {
  const auto voter = zones_by_member_.find(received.voter);
  if (voter == zones_by_member_.end() || !zones_.contains(received.zone)) return false;
  return voter->second != received.zone && received.out == is_out_epoch(received.epoch);
}

bool zone_view::receive(time_point now, const vote& received) {
  if (!is_well_formed(received)) {
    ++rejected_votes_;
    return false;
  }
  const bool is_own_vote = received.voter == self_address_;  // retransmitted by another member
  if (is_own_vote) return false;
  const auto [entry, is_first] = votes_[received.zone].try_emplace(received.voter);
  vote_record& record = entry->second;
  // A vote that arrives after a later vote of the same voter must not replace the later vote, and a copy of a
  // vote must not renew its lease.
  const bool remembered = now - record.received < leases_remembered * options_.vote_lease;
  if (!is_first && received.round <= record.latest.round && remembered) return false;
  record = vote_record{received, now, options_.retransmits};
  return count_votes(now, received.zone);
}

std::vector<vote> zone_view::outgoing_gossip(std::size_t limit) {
  std::vector<vote_record*> pending;
  for (auto& [zone, votes] : votes_)
    for (auto& [voter, record] : votes)
      if (record.retransmits_left > 0) pending.push_back(&record);
  std::stable_sort(pending.begin(), pending.end(), [](const vote_record* a, const vote_record* b) {
    return a->retransmits_left > b->retransmits_left;
  });
  pending.resize(std::min(pending.size(), limit));
  std::vector<vote> outgoing;
  for (vote_record* record : pending) {
    --record->retransmits_left;
    outgoing.push_back(record->latest);
  }
  return outgoing;
}

// Votes from a zone do not count for one lease after this member was out of contact with the zone. When a
// partition heals, valid votes of both sides arrive, but each describes only what its own side observed
// during the partition.
bool zone_view::in_contact(const std::string& zone, time_point now) const {
  const auto last = last_out_of_contact_.find(zone);
  return last == last_out_of_contact_.end() || now - last->second >= options_.vote_lease;
}

// Whether the zones in contact with this member are enough for a quorum on a zone. A side of a partition that
// cannot decide casts no votes, so no such vote can count after the partition has healed.
bool zone_view::quorum_in_contact(const std::string& observed_zone, time_point now) const {
  const auto counts = [&](const std::string& zone) {
    return zone != observed_zone && (zone == own_zone_ || in_contact(zone, now));
  };
  const auto zones_in_contact = std::count_if(zones_.begin(), zones_.end(), counts);
  const std::size_t other_zones = zones_.size() - 1;
  return 2 * static_cast<std::size_t>(zones_in_contact) > other_zones;
}

bool zone_view::count_votes(time_point now, const std::string& zone) {
  if (zones_.size() < min_zones) return false;
  const std::uint64_t decided_epoch = decision(zone).epoch;
  using votes_by_zone = std::map<std::string, std::size_t>;
  std::map<std::uint64_t, votes_by_zone> valid_votes;  // by epoch, then by the voters' zone
  for (const auto& [voter, record] : votes_[zone]) {
    const std::string& voters_zone = zones_by_member_.at(voter);
    if (record.latest.epoch > decided_epoch && is_unexpired(record, now) && in_contact(voters_zone, now))
      ++valid_votes[record.latest.epoch][voters_zone];
  }
  const std::size_t other_zones = zones_.size() - 1;
  const auto has_majority = [this](const auto& zone_votes) {
    return 2 * zone_votes.second > configured_member_counts_.at(zone_votes.first);
  };
  const auto has_quorum = [&](const auto& epoch_votes) {
    const votes_by_zone& zone_votes = epoch_votes.second;
    const auto agreeing = std::count_if(zone_votes.begin(), zone_votes.end(), has_majority);
    return 2 * static_cast<std::size_t>(agreeing) > other_zones;
  };
  // The highest epoch with a quorum. Votes for epoch e + 2 imply that their voters have seen a decision for
  // epoch e + 1.
  const auto highest = std::find_if(valid_votes.rbegin(), valid_votes.rend(), has_quorum);
  if (highest == valid_votes.rend()) return false;
  const std::uint64_t epoch = highest->first;
  decisions_[zone] = zone_decision{epoch, is_out_epoch(epoch), now};
  return true;
}

}  // namespace marblewharf::failover
