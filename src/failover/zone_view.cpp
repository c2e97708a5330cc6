#include "failover/zone_view.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::failover {

namespace {

// A standing vote is renewed this often within its lease: some lost copies do not end it.
constexpr int renewals_per_lease = 4;
// After a restart with its clock set back a voter counts rounds below its earlier ones: after this many
// leases of silence its rounds are accepted as they come.
constexpr int leases_remembered = 4;
// With fewer, each half of a partition holds the majority of the other zones.
constexpr std::size_t min_zones = 3;

// The value of an epoch is fixed by its parity.
bool is_out_epoch(std::uint64_t epoch) {
  return epoch % 2 == 1;
}

}  // namespace

zone_view::zone_view(std::map<std::string, std::string> zone_of, std::string self, zone_view_options options,
                     std::uint64_t first_round)
    : zone_of_(std::move(zone_of)), self_(std::move(self)), options_(options), round_(first_round) {
  const auto found = zone_of_.find(self_);
  if (found == zone_of_.end())
    throw std::invalid_argument("zone_view: " + self_ + " is no configured member");
  own_zone_ = found->second;
  for (const auto& [member, zone] : zone_of_) {
    ++configured_members_[zone];
    zones_.insert(zone);
  }
}

zone_decision zone_view::decision(const std::string& zone) const {
  const auto found = decisions_.find(zone);
  return found == decisions_.end() ? zone_decision{} : found->second;
}

bool zone_view::region_out(const std::vector<std::string>& zones_of_region) const {
  const auto is_out = [this](const std::string& zone) { return decision(zone).out; };
  return !zones_of_region.empty() && std::all_of(zones_of_region.begin(), zones_of_region.end(), is_out);
}

// The epoch that a vote of this value is for: the current one where it has that value, else the next; or a
// later one of the same value that others stand by, so that a member that is an epoch behind does not keep
// the rest from a quorum.
std::uint64_t zone_view::target_epoch(time_point now, const std::string& zone, bool out) const {
  const zone_decision current = decision(zone);
  std::uint64_t epoch = current.out == out ? current.epoch : current.epoch + 1;
  const auto votes = votes_.find(zone);
  if (votes == votes_.end()) return epoch;
  for (const auto& [voter, record] : votes->second)
    if (is_standing(record, now) && record.latest.out == out) epoch = std::max(epoch, record.latest.epoch);
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

// Votes out at once, and in only after `hold_down`, so that a flapping zone stays out. Without a reason to
// change it stands by what was decided.
std::optional<vote> zone_view::observe(time_point now, const std::string& zone, zone_observation observed) {
  if (zone == own_zone_ || !zones_.contains(zone)) return std::nullopt;
  record_observation(now, zone, observed);
  const zone_decision current = decision(zone);
  const bool wants_out = observed == zone_observation::down && quorum_in_contact(zone, now);
  const bool wants_in =
      observed == zone_observation::healthy && now - healthy_since_[zone] >= options_.hold_down;
  const bool out = wants_out || (current.out && !wants_in);
  const std::uint64_t epoch = wants_out || wants_in ? target_epoch(now, zone, out) : current.epoch;
  std::optional<vote> own_vote = update_own_vote(now, vote{self_, zone, epoch, out, 0});
  if (own_vote) count_votes(now, zone);
  return own_vote;
}

// Renews or changes this member's vote. Epoch 0 withdraws an earlier vote: it is sent for one lease and then
// forgotten.
std::optional<vote> zone_view::update_own_vote(time_point now, const vote& intended) {
  vote_record& record = votes_[intended.zone][self_];
  const bool changed = record.latest.epoch != intended.epoch;
  const bool withdrawal = intended.epoch == 0;
  const bool withdrawal_still_sent = record.latest.round > 0 && is_standing(record, now);
  if (withdrawal && !changed && !withdrawal_still_sent) return std::nullopt;
  if (changed || now - record.received >= options_.vote_lease / renewals_per_lease) {
    if (!withdrawal || changed) record.received = now;
    record.latest = intended;
    record.latest.round = ++round_;
  }
  return record.latest;
}

bool zone_view::is_valid(const vote& received) const {
  const auto voter = zone_of_.find(received.voter);
  if (voter == zone_of_.end() || !zones_.contains(received.zone)) return false;
  return voter->second != received.zone && received.out == is_out_epoch(received.epoch);
}

bool zone_view::receive(time_point now, const vote& received) {
  if (!is_valid(received)) {
    ++rejected_votes_;
    return false;
  }
  const bool is_echo = received.voter == self_;
  if (is_echo) return false;
  const auto [entry, is_first] = votes_[received.zone].try_emplace(received.voter);
  vote_record& record = entry->second;
  // An older vote that arrives late must not replace the later one, nor a copy renew its lease.
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

// When a partition heals, votes of both sides meet, each true of its own side until just now.
bool zone_view::in_contact(const std::string& zone, time_point now) const {
  const auto last = last_out_of_contact_.find(zone);
  return last == last_out_of_contact_.end() || now - last->second >= options_.vote_lease;
}

// Whether those in contact may hold a quorum on a zone. A side that cannot decide has no vote to bring along
// when the partition heals.
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
  std::map<std::uint64_t, votes_by_zone> standing;  // by epoch, then by the voters' zone
  for (const auto& [voter, record] : votes_[zone]) {
    const std::string& voters_zone = zone_of_.at(voter);
    if (record.latest.epoch > decided_epoch && is_standing(record, now) && in_contact(voters_zone, now))
      ++standing[record.latest.epoch][voters_zone];
  }
  const std::size_t other_zones = zones_.size() - 1;
  const auto has_majority = [this](const auto& zone_votes) {
    return 2 * zone_votes.second > configured_members_.at(zone_votes.first);
  };
  const auto has_quorum = [&](const auto& epoch_votes) {
    const votes_by_zone& zone_votes = epoch_votes.second;
    const auto agreeing = std::count_if(zone_votes.begin(), zone_votes.end(), has_majority);
    return 2 * static_cast<std::size_t>(agreeing) > other_zones;
  };
  // The highest epoch with a quorum: votes for e + 2 mean that their voters saw e + 1 decided.
  const auto highest = std::find_if(standing.rbegin(), standing.rend(), has_quorum);
  if (highest == standing.rend()) return false;
  const std::uint64_t epoch = highest->first;
  decisions_[zone] = zone_decision{epoch, is_out_epoch(epoch), now};
  return true;
}

}  // namespace marblewharf::failover
