#include "membership/swim.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::membership {

namespace {

// Of two claims on one member, whether `heard` replaces `held`: the higher incarnation, else the graver
// state.
bool overrides(const claim& heard, const claim& held) {
  if (heard.incarnation != held.incarnation) return heard.incarnation > held.incarnation;
  return heard.state > held.state;
}

}  // namespace

swim::swim(const options& o, claim self, std::vector<std::string> seeds, time_point now)
    : options_(o), self_(std::move(self)), seeds_(std::move(seeds)), next_probe_(now) {
  self_.state = health::alive;
  std::erase(seeds_, self_.address);
}

std::size_t swim::alive_count() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [](const auto& m) { return m.second.state != health::dead; }));
}

duration swim::suspicion_timeout(unsigned confirmations) const {
  const double n = static_cast<double>(alive_count() + 1);
  const double least = options_.suspicion_min_rounds * std::max(1.0, std::log10(n)) *
                       static_cast<double>(options_.probe_interval.count());
  const double most = options_.suspicion_max_factor * least;
  const double k = options_.suspicion_confirmations;
  if (k == 0) return duration(static_cast<std::int64_t>(least));
  // Lifeguard: each independent confirmation brings the end nearer, down to the least after K of them.
  const double t = most - (most - least) * std::log(confirmations + 1.0) / std::log(k + 1.0);
  return duration(static_cast<std::int64_t>(std::max(least, t)));
}

void swim::spread(const claim& c) {
  const double n = static_cast<double>(members_.size() + 1);
  sends_left_[c.address] =
      std::max(1u, options_.retransmit_mult * static_cast<unsigned>(std::ceil(std::log10(n + 1))));
}

namespace {

std::optional<time_point> time_of(const std::map<std::string, time_point>& times,
                                  const std::string& address) {
  const auto found = times.find(address);
  return found == times.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

std::optional<time_point> swim::contact(const std::string& address) const {
  return time_of(contacts_, address);
}
std::optional<time_point> swim::miss(const std::string& address) const {
  return time_of(misses_, address);
}

void swim::refute(std::uint64_t above) {
  self_.incarnation = above + 1;
  raise_health(1);  // Lifeguard: being suspected hints that this member is the slow one
  spread(self_);
}

bool swim::apply(time_point now, const claim& c, const std::string& from) {
  if (c.address.empty()) return false;
  if (c.address == self_.address) {
    if (c.state != health::alive && c.incarnation >= self_.incarnation) refute(c.incarnation);
    return false;
  }
  const auto found = members_.find(c.address);
  if (found == members_.end() && members_.size() >= options_.members_most) return false;
  const std::string& by = c.by.empty() ? from : c.by;
  if (found == members_.end() || overrides(c, found->second)) {
    claim& held = members_[c.address];
    const claim before = held;
    held = c;
    if (held.zone.empty()) held.zone = before.zone;  // gossip of state alone keeps what is known of place
    if (held.region.empty()) held.region = before.region;
    if (c.state == health::suspect) {
      held.by = by;
      suspected_[c.address] = suspicion{now, {by}};
    } else {
      suspected_.erase(c.address);
    }
    changes_.push_back(held);
    spread(held);
    return true;
  }
  if (c.state == health::suspect && found->second.state == health::suspect &&
      c.incarnation == found->second.incarnation) {
    auto& s = suspected_[c.address];
    // Only independent confirmations shorten the timeout: one suspicion passed on by many is one. A new one
    // is passed on itself, until enough are known.
    if (s.confirmed_by.size() <= options_.suspicion_confirmations &&
        std::find(s.confirmed_by.begin(), s.confirmed_by.end(), by) == s.confirmed_by.end()) {
      s.confirmed_by.push_back(by);
      found->second.by = by;
      spread(found->second);
    }
  }
  return false;
}

void swim::send(const std::string& to, kind what, std::uint64_t sequence, const std::string& target) {
  message m{what, self_, sequence, target, {}, {}};
  // The least sent first: a fresh change reaches the fleet before one that most members have heard.
  std::vector<std::pair<unsigned, std::string>> due;
  for (const auto& [address, left] : sends_left_) due.emplace_back(left, address);
  std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; i < due.size() && i < options_.gossip_per_message; ++i) {
    const std::string& address = due[i].second;
    if (address == self_.address) {
      m.gossip.push_back(self_);
    } else if (const auto found = members_.find(address); found != members_.end()) {
      m.gossip.push_back(found->second);
    }
    if (--sends_left_[address] == 0) sends_left_.erase(address);
  }
  // Guards against two members that never meet: each change is sent a bounded number of times, and whoever
  // misses all of them (it joined just then, or they were lost) would not learn of it ever. So the table goes
  // round as well.
  auto next = members_.upper_bound(refreshed_);
  for (unsigned i = 0; i < options_.refresh_per_message && i < members_.size(); ++i) {
    if (next == members_.end()) next = members_.begin();
    if (next->first != to) m.gossip.push_back(next->second);
    refreshed_ = next->first;
    ++next;
  }
  outbox_.push_back(envelope{to, std::move(m)});
}

void swim::receive(time_point now, const message& m) {
  if (m.sender.address == self_.address) return;
  apply(now, m.sender, m.sender.address);
  for (const claim& c : m.gossip) apply(now, c, m.sender.address);
  // A member that speaks while held suspect or dead has not heard so (its gossip may have run out while it
  // was paused): told again, starting with this reply, it refutes.
  if (const auto held = members_.find(m.sender.address);
      held != members_.end() && held->second.state != health::alive && !sends_left_.contains(held->first))
    spread(held->second);
  switch (m.what) {
    case kind::ping: send(m.sender.address, kind::ack, m.sequence, m.target); break;
    case kind::ping_req: {
      if (relays_.size() >= options_.relays_most) break;
      const std::uint64_t own = ++sequence_;
      // The nack a little before the asker's own patience ends, as Lifeguard has it.
      const duration patience = scaled(options_.probe_timeout);
      relays_.push_back(
          relay{m.sender.address, m.target, m.sequence, own, now + patience * 4 / 5, now + 2 * patience});
      send(m.target, kind::ping, own);
      break;
    }
    case kind::ack: {
      if (m.sequence == probe_.sequence && !probe_.target.empty() &&
          (m.sender.address == probe_.target || m.target == probe_.target)) {
        if (!probe_.acked) lower_health();
        probe_.acked = true;
        contacts_[probe_.target] = now;
        break;
      }
      // The answer to a probe carried out for another: passed on to the one that asked.
      const auto r = std::find_if(relays_.begin(), relays_.end(), [&](const relay& x) {
        return x.own_sequence == m.sequence && x.target == m.sender.address;
      });
      if (r != relays_.end()) {
        send(r->asker, kind::ack, r->asker_sequence, r->target);
        relays_.erase(r);
      }
      break;
    }
    case kind::nack:
      if (m.sequence == probe_.sequence && m.target == probe_.target) ++probe_.nacks;
      break;
  }
}

std::string swim::next_target(std::mt19937_64& random) {
  while (!round_.empty()) {
    std::string t = std::move(round_.back());
    round_.pop_back();
    const auto found = members_.find(t);
    if (found == members_.end() || found->second.state != health::dead) return t;
  }
  // A new round: every member not dead once, in an order of its own (SWIM's bound on time to first probe).
  for (const auto& [address, c] : members_)
    if (c.state != health::dead) round_.push_back(address);
  for (const std::string& seed : seeds_)
    if (!members_.contains(seed)) round_.push_back(seed);
  std::shuffle(round_.begin(), round_.end(), random);
  if (round_.empty()) return {};
  std::string t = std::move(round_.back());
  round_.pop_back();
  return t;
}

time_point swim::step(time_point now, std::mt19937_64& random) {
  // A probe carried out for another that brought no ack: a nack tells the asker that the helper did try.
  for (auto r = relays_.begin(); r != relays_.end();) {
    if (!r->nacked && now >= r->nack_at) {
      r->nacked = true;
      send(r->asker, kind::nack, r->asker_sequence, r->target);
    }
    r = now >= r->until ? relays_.erase(r) : r + 1;
  }
  for (auto s = suspected_.begin(); s != suspected_.end();) {
    const auto confirmations = static_cast<unsigned>(s->second.confirmed_by.size() - 1);
    if (now - s->second.since >= suspicion_timeout(confirmations)) {
      claim& c = members_[s->first];
      c.state = health::dead;
      changes_.push_back(c);
      spread(c);
      s = suspected_.erase(s);
    } else {
      ++s;
    }
  }
  const bool waiting = !probe_.target.empty() && !probe_.acked;
  if (waiting && !probe_.indirect_sent && now >= probe_.sent + scaled(options_.probe_timeout)) {
    probe_.indirect_sent = true;
    std::vector<std::string> helpers;
    for (const auto& [address, c] : members_)
      if (c.state == health::alive && address != probe_.target) helpers.push_back(address);
    std::shuffle(helpers.begin(), helpers.end(), random);
    helpers.resize(std::min<std::size_t>(helpers.size(), options_.indirect_probes));
    probe_.helpers = static_cast<unsigned>(helpers.size());
    for (const std::string& h : helpers) send(h, kind::ping_req, probe_.sequence, probe_.target);
  }
  if (now >= next_probe_) {
    if (waiting) {
      // Lifeguard: each helper that said nothing at all hints at our own trouble; where all of them tried in
      // vain the trouble is the target's. Without helpers nothing tells the two apart.
      raise_health(probe_.helpers == 0 ? 1 : probe_.helpers - std::min(probe_.helpers, probe_.nacks));
      misses_[probe_.target] = now;
      if (const auto found = members_.find(probe_.target);
          found != members_.end() && found->second.state != health::dead) {
        claim c = found->second;
        c.state = health::suspect;
        c.by = self_.address;  // our own probe: an independent confirmation where others suspect it already
        apply(now, c, self_.address);
      }
    }
    probe_ = probe{};
    const std::string target = next_target(random);
    if (!target.empty()) {
      probe_ = probe{target, ++sequence_, now};
      send(target, kind::ping, probe_.sequence);
    }
    next_probe_ = now + scaled(options_.probe_interval);
  }
  if (options_.reconnect_every > 0 && now >= next_reconnect_) {
    // Guards against a partition that never heals: once both sides hold each other dead nobody probes across,
    // so one member held dead is pinged now and then, told that it is held dead, and refutes if it lives.
    // Not stretched by this member's own trouble: whoever was alone has the most of that, and blames nobody
    // here.
    next_reconnect_ = now + options_.reconnect_every * options_.probe_interval;
    std::vector<std::string> dead;
    for (const auto& [address, c] : members_)
      if (c.state == health::dead) dead.push_back(address);
    if (!dead.empty()) {
      const std::string& target =
          dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random)];
      spread(members_[target]);
      send(target, kind::ping, 0);  // sequence 0: no probe of this member's, nor a relay, waits for its ack
    }
  }
  time_point due = std::min(next_probe_, options_.reconnect_every > 0 ? next_reconnect_ : time_point::max());
  if (!probe_.target.empty() && !probe_.acked && !probe_.indirect_sent)
    due = std::min(due, probe_.sent + scaled(options_.probe_timeout));
  for (const relay& r : relays_) due = std::min(due, r.nacked ? r.until : r.nack_at);
  for (const auto& [address, s] : suspected_)
    due = std::min(due, s.since + suspicion_timeout(static_cast<unsigned>(s.confirmed_by.size() - 1)));
  return due;
}

}  // namespace marblewharf::membership
