#include "failover/zone_view.hpp"

#include <stdexcept>

namespace marblewharf::failover {

zone_view::zone_view(std::map<std::string, std::string> zone_of, std::string self, duration hold_down)
    : zone_of_(std::move(zone_of)), self_(std::move(self)), hold_down_(hold_down) {
  const auto found = zone_of_.find(self_);
  if (found == zone_of_.end()) throw std::invalid_argument("zone_view: " + self_ + " is no configured member");
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
  if (zones_of_region.empty()) return false;
  for (const std::string& z : zones_of_region)
    if (!of(z).out) return false;
  return true;
}

std::optional<vote> zone_view::observe(time_point now, const std::string& zone, bool reachable) {
  if (zone == own_zone_ || !zones_.contains(zone)) return std::nullopt;
  if (!reachable) {
    reachable_since_.erase(zone);
  } else if (!reachable_since_.contains(zone)) {
    reachable_since_[zone] = now;
  }
  const verdict current = of(zone);
  // Out is voted at once; back only after hold_down without a break, so a flapping zone stays out.
  const bool want_out = !reachable;
  if (!want_out && now - reachable_since_[zone] < hold_down_) {
    if (current.out || current.epoch == 0) return std::nullopt;
    return vote{self_, zone, current.epoch, false};  // in, and it stays so: the standing vote
  }
  // The epoch of this member's wish: the current one where it agrees (its vote stands, sent on for members that
  // lost votes of it), else the next; or a later one of the same value that others already vote in, which it
  // joins, so that a member an epoch behind does not keep the rest from a quorum. Every value is fixed by its
  // epoch's parity, so a vote for any epoch cannot clash with another of that epoch.
  std::uint64_t epoch = (current.epoch % 2 == 1) == want_out ? current.epoch : current.epoch + 1;
  for (const auto& [later, voters] : ballots_[zone])
    if (later > epoch && (later % 2 == 1) == want_out) epoch = later;
  if (epoch == 0) return std::nullopt;
  const vote mine{self_, zone, epoch, want_out};
  if (epoch > current.epoch) hear(now, mine);
  return mine;
}

bool zone_view::hear(time_point now, const vote& v) {
  const auto voter = zone_of_.find(v.voter);
  const bool parity_kept = v.out == (v.epoch % 2 == 1);
  if (voter == zone_of_.end() || voter->second == v.zone || !zones_.contains(v.zone) || !parity_kept ||
      v.epoch == 0) {
    ++refused_;
    return false;
  }
  if (v.epoch <= of(v.zone).epoch) return false;  // of an epoch decided already: nothing to learn
  auto& cast = ballots_[v.zone][v.epoch];
  if (!cast.emplace(v.voter, v.out).second) return false;  // heard before: gossip repeats itself
  return tally(now, v.zone);
}

bool zone_view::tally(time_point now, const std::string& zone) {
  // Guards against a cut into two halves: with two zones each half would hold "the majority of the others".
  if (zones_.size() < 3) return false;
  const std::size_t others = zones_.size() - 1;
  auto& by_epoch = ballots_[zone];
  // The highest epoch with a quorum: votes for e + 2 mean that their voters saw e + 1 decided.
  for (auto e = by_epoch.rbegin(); e != by_epoch.rend(); ++e) {
    std::map<std::string, std::size_t> votes_in;  // by the voters' zone
    for (const auto& [voter, out] : e->second) ++votes_in[zone_of_.at(voter)];
    std::size_t agreeing_zones = 0;
    for (const auto& [z, n] : votes_in)
      if (2 * n > members_in_.at(z)) ++agreeing_zones;
    if (2 * agreeing_zones <= others) continue;
    verdicts_[zone] = verdict{e->first, e->first % 2 == 1, now};
    by_epoch.erase(by_epoch.begin(), by_epoch.upper_bound(e->first));
    return true;
  }
  return false;
}

}  // namespace marblewharf::failover
