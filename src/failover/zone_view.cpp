#include "failover/zone_view.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::failover {

namespace {

// A standing vote is issued anew this often within its lease, so that some lost copies do not end it.
constexpr int issues_in_lease = 4;
// A voter whose clock went back over a restart counts rounds below its old ones: after this many leases of
// silence its rounds are taken as they come.
constexpr int leases_remembered = 4;

}  // namespace

zone_view::zone_view(std::map<std::string, std::string> zone_of, std::string self, view_options o,
                     std::uint64_t first_round)
    : zone_of_(std::move(zone_of)), self_(std::move(self)), options_(o), round_(first_round) {
  const auto found = zone_of_.find(self_);
  if (found == zone_of_.end())
    throw std::invalid_argument("zone_view: " + self_ + " is no configured member");
  own_zone_ = found->second;
  for (const auto& [member, zone] : zone_of_) {
    ++members_in_[zone];
    zones_.insert(zone);
  }
}

verdict zone_view::of(const std::string& zone) const {
  const auto found = verdicts_.find(zone);
  return found == verdicts_.end() ? verdict{} : found->second;
}

bool zone_view::region_out(const std::vector<std::string>& zones_of_region) const {
  return !zones_of_region.empty() && std::all_of(zones_of_region.begin(), zones_of_region.end(),
                                                 [this](const std::string& z) { return of(z).out; });
}

// The epoch that a vote of that value goes to: the current one where it has that value, else the next; or a
// later one of the same value that others stand by, so that a member an epoch behind does not keep the rest
// from a quorum. Every value is fixed by its epoch's parity, so a vote for any epoch cannot clash with
// another of that epoch.
std::uint64_t zone_view::wanted_epoch(time_point now, const std::string& zone, bool out) const {
  std::uint64_t epoch = of(zone).epoch + (of(zone).out == out ? 0 : 1);
  if (const auto all = ballots_.find(zone); all != ballots_.end()) {
    for (const auto& [voter, b] : all->second)
      if (stands(b, now) && b.what.out == out) epoch = std::max(epoch, b.what.epoch);
  }
  return epoch;
}

std::optional<vote> zone_view::observe(time_point now, const std::string& zone, sight seen) {
  if (zone == own_zone_ || !zones_.contains(zone)) return std::nullopt;
  if (seen != sight::healthy) {
    healthy_since_.erase(zone);
  } else {
    healthy_since_.try_emplace(zone, now);
  }
  if (seen == sight::gone || seen == sight::silent) last_away_[zone] = now;
  const verdict current = of(zone);
  // Out is voted at once; in only after hold_down without a break, so a flapping zone stays out. Whoever is
  // unsure stands by what was decided.
  const bool wants_out = seen == sight::gone && quorum_in_touch(zone, now);
  const bool wants_in = seen == sight::healthy && now - healthy_since_[zone] >= options_.hold_down;
  const bool out = wants_out || (current.out && !wants_in);
  const std::uint64_t epoch = wants_out || wants_in ? wanted_epoch(now, zone, out) : current.epoch;

  ballot& mine = ballots_[zone][self_];
  const bool changed = mine.what.epoch != epoch;
  // Nothing was ever voted here, or it was taken back long enough ago for all leases to have ended.
  if (epoch == 0 && !changed && !(mine.what.round > 0 && stands(mine, now))) return std::nullopt;
  if (changed || now - mine.heard >= options_.vote_lease / issues_in_lease) {
    if (epoch > 0 || changed) mine.heard = now;  // a vote taken back is sent for one lease, then forgotten
    mine.what = vote{self_, zone, epoch, out, ++round_};
  }
  const vote issued = mine.what;
  tally(now, zone);
  return issued;
}

bool zone_view::hear(time_point now, const vote& v) {
  const auto voter = zone_of_.find(v.voter);
  const bool parity_kept = v.out == (v.epoch % 2 == 1);
  if (voter == zone_of_.end() || voter->second == v.zone || !zones_.contains(v.zone) || !parity_kept) {
    ++refused_;
    return false;
  }
  if (v.voter == self_) return false;  // an echo; what this member stands by it knows itself
  const auto [at, fresh] = ballots_[v.zone].try_emplace(v.voter);
  ballot& held = at->second;
  // An older vote that arrives late must not stand for the later one, nor a copy prolong its lease.
  if (!fresh && v.round <= held.what.round && now - held.heard < leases_remembered * options_.vote_lease)
    return false;
  held = ballot{v, now, options_.pass_on};
  return tally(now, v.zone);
}

std::vector<vote> zone_view::take_news(std::size_t most) {
  std::vector<ballot*> news;
  for (auto& [zone, voters] : ballots_)
    for (auto& [voter, b] : voters)
      if (b.to_pass_on > 0) news.push_back(&b);
  std::stable_sort(news.begin(), news.end(),
                   [](const ballot* a, const ballot* b) { return a->to_pass_on > b->to_pass_on; });
  std::vector<vote> out;
  for (ballot* b : news) {
    if (out.size() == most) break;
    --b->to_pass_on;
    out.push_back(b->what);
  }
  return out;
}

// Guards against the moment in which cuts heal: votes of both sides meet, each true of its own side until
// just now.
bool zone_view::in_touch(const std::string& zone, time_point now) const {
  const auto away = last_away_.find(zone);
  return away == last_away_.end() || now - away->second >= options_.vote_lease;
}

// Whether a quorum on zone `without` may be found among those that this member has been in touch with. A side
// that cannot decide has no vote to bring along when the cut heals.
bool zone_view::quorum_in_touch(const std::string& without, time_point now) const {
  const auto touched = std::count_if(zones_.begin(), zones_.end(), [&](const std::string& z) {
    return z != without && (z == own_zone_ || in_touch(z, now));
  });
  return 2 * static_cast<std::size_t>(touched) > zones_.size() - 1;
}

bool zone_view::tally(time_point now, const std::string& zone) {
  // Guards against a cut into two halves: with two zones each half would hold "the majority of the others".
  if (zones_.size() < 3) return false;
  const std::size_t others = zones_.size() - 1;
  const std::uint64_t decided = of(zone).epoch;
  std::map<std::uint64_t, std::map<std::string, std::size_t>>
      votes;  // standing ones, by epoch and the voters' zone
  for (const auto& [voter, b] : ballots_[zone])
    if (b.what.epoch > decided && stands(b, now) && in_touch(zone_of_.at(voter), now))
      ++votes[b.what.epoch][zone_of_.at(voter)];
  // The highest epoch with a quorum: votes for e + 2 mean that their voters saw e + 1 decided.
  for (auto e = votes.rbegin(); e != votes.rend(); ++e) {
    const auto agreeing = std::count_if(e->second.begin(), e->second.end(), [this](const auto& in) {
      return 2 * in.second > members_in_.at(in.first);
    });
    if (2 * static_cast<std::size_t>(agreeing) <= others) continue;
    verdicts_[zone] = verdict{e->first, e->first % 2 == 1, now};
    return true;
  }
  return false;
}

}  // namespace marblewharf::failover
