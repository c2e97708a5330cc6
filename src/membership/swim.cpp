#include "membership/swim.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::membership {

namespace {

// Sequence number of pings that do not belong to a probe.
constexpr std::uint64_t no_sequence = 0;

bool overrides(const member_update& received, const member_update& believed) {
  if (received.incarnation != believed.incarnation) return received.incarnation > believed.incarnation;
  return received.status > believed.status;
}

std::optional<time_point> find_time(const std::map<std::string, time_point>& times,
                                    const std::string& address) {
  const auto found = times.find(address);
  return found == times.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

swim::swim(const swim_options& options, member_update self, std::vector<std::string> seeds, time_point now)
    : options_(options),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      dissemination_(options.retransmit_multiplier),
      next_probe_(now) {
  self_.status = member_status::alive;
  std::erase(seeds_, self_.address);
}

// ---- The view ---------------------------------------------------------------------------------------------

std::size_t swim::live_member_count() const {
  const auto is_live = [](const auto& entry) { return entry.second.status != member_status::dead; };
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), is_live));
}

bool swim::is_alive(const std::string& address) const {
  const auto found = members_.find(address);
  return found != members_.end() && found->second.status == member_status::alive;
}

std::optional<time_point> swim::last_acknowledged(const std::string& address) const {
  return find_time(last_acknowledged_, address);
}

std::optional<time_point> swim::last_missed(const std::string& address) const {
  return find_time(last_missed_, address);
}

// Lifeguard: each independent confirmation shortens the timeout, on a logarithmic scale, down to the shortest
// timeout.
duration swim::suspicion_timeout(std::size_t confirmations) const {
  const double live_members = static_cast<double>(live_member_count() + 1);
  const double shortest = options_.suspicion_min_rounds * std::max(1.0, std::log10(live_members)) *
                          static_cast<double>(options_.probe_interval.count());
  const double longest = options_.suspicion_max_factor * shortest;
  const double needed = options_.suspicion_confirmations;
  if (needed == 0) return duration(static_cast<std::int64_t>(shortest));
  const double timeout = longest - (longest - shortest) * std::log(static_cast<double>(confirmations) + 1.0) /
                                       std::log(needed + 1.0);
  return duration(static_cast<std::int64_t>(std::max(shortest, timeout)));
}

void swim::worsen_local_health(unsigned amount) {
  local_health_ = std::min(options_.max_local_health, local_health_ + amount);
}

void swim::improve_local_health() {
  if (local_health_ > 0) --local_health_;
}

// ---- Updates ----------------------------------------------------------------------------------------------

void swim::disseminate(const member_update& update) {
  dissemination_.enqueue(update.address, members_.size());
}

void swim::refute(std::uint64_t incarnation) {
  self_.incarnation = incarnation + 1;
  worsen_local_health(1);  // Lifeguard: a suspicion of this member may mean that this member is slow
  disseminate(self_);
}

bool swim::apply(time_point now, const member_update& update, const std::string& sender) {
  if (update.address.empty()) return false;
  if (update.address == self_.address) {
    if (update.status != member_status::alive && update.incarnation >= self_.incarnation)
      refute(update.incarnation);
    return false;
  }
  const auto found = members_.find(update.address);
  const bool is_new = found == members_.end();
  if (is_new && members_.size() >= options_.max_members) return false;
  const std::string& suspected_by = update.suspected_by.empty() ? sender : update.suspected_by;
  if (is_new || overrides(update, found->second)) {
    accept(now, update, suspected_by);
    return true;
  }
  const bool same_suspicion = update.status == member_status::suspect &&
                              found->second.status == member_status::suspect &&
                              update.incarnation == found->second.incarnation;
  if (same_suspicion) confirm_suspicion(found->second, suspected_by);
  return false;
}

void swim::accept(time_point now, const member_update& update, const std::string& suspected_by) {
  member_update& believed = members_[update.address];
  const member_update previous = believed;
  believed = update;
  // An update without a zone or region does not erase the known zone and region.
  if (believed.zone.empty()) believed.zone = previous.zone;
  if (believed.region.empty()) believed.region = previous.region;
  if (update.status == member_status::suspect) {
    believed.suspected_by = suspected_by;
    suspicions_[update.address] = suspicion{now, {suspected_by}};
  } else {
    suspicions_.erase(update.address);
  }
  changes_.push_back(believed);
  disseminate(believed);
}

// Only independent suspicions shorten the timeout: a suspicion that many members forward counts once. A new
// confirmation is also disseminated, until there are enough confirmations to shorten the timeout to its
// minimum.
void swim::confirm_suspicion(member_update& believed, const std::string& suspected_by) {
  std::vector<std::string>& suspecting_members = suspicions_[believed.address].suspected_by;
  if (suspecting_members.size() > options_.suspicion_confirmations) return;
  if (std::find(suspecting_members.begin(), suspecting_members.end(), suspected_by) !=
      suspecting_members.end())
    return;
  suspecting_members.push_back(suspected_by);
  believed.suspected_by = suspected_by;
  disseminate(believed);
}

// ---- Messages ---------------------------------------------------------------------------------------------

void swim::add_gossip(message& outgoing, const std::string& recipient) {
  for (const std::string& address : dissemination_.take_pending(options_.gossip_per_message)) {
    if (address == self_.address) {
      outgoing.gossip.push_back(self_);
    } else if (const auto found = members_.find(address); found != members_.end()) {
      outgoing.gossip.push_back(found->second);
    }
  }
  for (const std::string& address : dissemination_.take_round_robin(members_, options_.refresh_per_message))
    if (address != recipient) outgoing.gossip.push_back(members_.at(address));
}

void swim::send(const std::string& recipient, message_kind kind, std::uint64_t sequence,
                const std::string& target) {
  message outgoing{kind, self_, sequence, target, {}, {}};
  add_gossip(outgoing, recipient);
  outbox_.push_back(envelope{recipient, std::move(outgoing)});
}

void swim::receive(time_point now, const message& received) {
  const std::string& sender = received.sender.address;
  if (sender == self_.address) return;
  apply(now, received.sender, sender);
  for (const member_update& update : received.gossip) apply(now, update, sender);
  // A member that sends messages while it is believed suspect or dead has not received that update (it may
  // have been paused during the dissemination). Disseminating the update again, starting with this reply,
  // lets the member refute.
  const auto believed = members_.find(sender);
  if (believed != members_.end() && believed->second.status != member_status::alive &&
      !dissemination_.is_pending(sender))
    disseminate(believed->second);
  switch (received.kind) {
    case message_kind::ping: send(sender, message_kind::ack, received.sequence, received.target); break;
    case message_kind::ping_req: on_ping_req(now, received); break;
    case message_kind::ack: on_ack(now, received); break;
    case message_kind::nack: on_nack(received); break;
  }
}

void swim::on_ping_req(time_point now, const message& request) {
  if (relayed_probes_.size() >= options_.max_relayed_probes) return;
  // Lifeguard: the nack is sent at 4/5 of the probe timeout, before the requester's own timeout expires.
  const duration timeout = scale_by_local_health(options_.probe_timeout);
  relayed_probe relayed;
  relayed.requester = request.sender.address;
  relayed.target = request.target;
  relayed.requester_sequence = request.sequence;
  relayed.own_sequence = ++sequence_;
  relayed.nack_due = now + timeout * 4 / 5;
  relayed.expiry = now + 2 * timeout;
  send(relayed.target, message_kind::ping, relayed.own_sequence);
  relayed_probes_.push_back(std::move(relayed));
}

void swim::on_ack(time_point now, const message& ack) {
  const bool from_target = ack.sender.address == probe_.target || ack.target == probe_.target;
  if (probe_.state != probe_state::none && ack.sequence == probe_.sequence && from_target) {
    if (probe_.is_unanswered()) improve_local_health();
    probe_.state = probe_state::acknowledged;
    last_acknowledged_[probe_.target] = now;
    return;
  }
  const auto is_answered_by_ack = [&ack](const relayed_probe& relayed) {
    return relayed.own_sequence == ack.sequence && relayed.target == ack.sender.address;
  };
  const auto relayed = std::find_if(relayed_probes_.begin(), relayed_probes_.end(), is_answered_by_ack);
  if (relayed == relayed_probes_.end()) return;
  send(relayed->requester, message_kind::ack, relayed->requester_sequence, relayed->target);
  relayed_probes_.erase(relayed);
}

void swim::on_nack(const message& nack) {
  if (nack.sequence == probe_.sequence && nack.target == probe_.target) ++probe_.nacks;
}

// ---- Probes and timeouts ----------------------------------------------------------------------------------

time_point swim::step(time_point now, std::mt19937_64& random) {
  step_relayed_probes(now);
  expire_suspicions(now);
  send_indirect_probes(now, random);
  if (now >= next_probe_) {
    finish_probe(now);
    start_probe(now, random);
  }
  if (options_.reconnect_intervals > 0 && now >= next_reconnect_) ping_dead_member(now, random);
  return next_due();
}

// A nack informs the requester that this helper is working and that the target did not answer it.
void swim::step_relayed_probes(time_point now) {
  for (relayed_probe& relayed : relayed_probes_) {
    if (relayed.nacked || now < relayed.nack_due) continue;
    relayed.nacked = true;
    send(relayed.requester, message_kind::nack, relayed.requester_sequence, relayed.target);
  }
  std::erase_if(relayed_probes_, [now](const relayed_probe& relayed) { return now >= relayed.expiry; });
}

void swim::expire_suspicions(time_point now) {
  for (auto entry = suspicions_.begin(); entry != suspicions_.end();) {
    const auto& [address, suspected] = *entry;
    if (now - suspected.since < suspicion_timeout(suspected.confirmations())) {
      ++entry;
      continue;
    }
    member_update& believed = members_[address];
    believed.status = member_status::dead;
    changes_.push_back(believed);
    disseminate(believed);
    entry = suspicions_.erase(entry);
  }
}

void swim::send_indirect_probes(time_point now, std::mt19937_64& random) {
  if (probe_.state != probe_state::direct) return;
  if (now < probe_.sent + scale_by_local_health(options_.probe_timeout)) return;
  probe_.state = probe_state::indirect;
  std::vector<std::string> helpers;
  for (const auto& [address, member] : members_)
    if (member.status == member_status::alive && address != probe_.target) helpers.push_back(address);
  std::shuffle(helpers.begin(), helpers.end(), random);
  helpers.resize(std::min<std::size_t>(helpers.size(), options_.indirect_probes));
  probe_.helpers = static_cast<unsigned>(helpers.size());
  for (const std::string& helper : helpers)
    send(helper, message_kind::ping_req, probe_.sequence, probe_.target);
}

// Suspects the target of an unanswered probe. Lifeguard: a helper that sent neither an ack nor a nack
// indicates a problem of this member itself; if all helpers sent a nack, the problem is at the target.
// Without helpers the two cases cannot be distinguished, and the local health score is raised by 1.
void swim::finish_probe(time_point now) {
  const probe finished = std::exchange(probe_, probe{});
  if (!finished.is_unanswered()) return;
  const unsigned silent_helpers = finished.helpers - std::min(finished.helpers, finished.nacks);
  worsen_local_health(finished.helpers == 0 ? 1 : silent_helpers);
  last_missed_[finished.target] = now;
  const auto found = members_.find(finished.target);
  if (found == members_.end() || found->second.status == member_status::dead) return;
  member_update suspected = found->second;
  suspected.status = member_status::suspect;
  suspected.suspected_by = self_.address;
  apply(now, suspected, self_.address);
}

void swim::start_probe(time_point now, std::mt19937_64& random) {
  const std::string target = next_target(random);
  if (!target.empty()) {
    probe_.state = probe_state::direct;
    probe_.target = target;
    probe_.sequence = ++sequence_;
    probe_.sent = now;
    send(target, message_kind::ping, probe_.sequence);
  }
  next_probe_ = now + scale_by_local_health(options_.probe_interval);
}

// Returns the address of the next member to probe, or an empty string if there is none.
std::string swim::next_target(std::mt19937_64& random) {
  while (!probe_round_.empty()) {
    std::string target = std::move(probe_round_.back());
    probe_round_.pop_back();
    const auto found = members_.find(target);
    if (found == members_.end() || found->second.status != member_status::dead) return target;
  }
  start_probe_round(random);
  if (probe_round_.empty()) return {};
  std::string target = std::move(probe_round_.back());
  probe_round_.pop_back();
  return target;
}

// Schedules one probe of every member that is not dead, in random order, which bounds the failure detection
// time (SWIM).
void swim::start_probe_round(std::mt19937_64& random) {
  for (const auto& [address, member] : members_)
    if (member.status != member_status::dead) probe_round_.push_back(address);
  for (const std::string& seed : seeds_)
    if (!members_.contains(seed)) probe_round_.push_back(seed);
  std::shuffle(probe_round_.begin(), probe_round_.end(), random);
}

// After a partition, the two sides have declared each other dead and send no probes across the healed link. A
// member that receives this ping learns that it is believed dead and refutes. The interval is not lengthened
// by the local health score, because a member that was isolated has the worst score.
void swim::ping_dead_member(time_point now, std::mt19937_64& random) {
  next_reconnect_ = now + options_.reconnect_intervals * options_.probe_interval;
  std::vector<std::string> dead;
  for (const auto& [address, member] : members_)
    if (member.status == member_status::dead) dead.push_back(address);
  if (dead.empty()) return;
  std::uniform_int_distribution<std::size_t> any_index(0, dead.size() - 1);
  const std::string& target = dead[any_index(random)];
  disseminate(members_[target]);
  send(target, message_kind::ping, no_sequence);
}

time_point swim::next_due() const {
  time_point due = next_probe_;
  if (options_.reconnect_intervals > 0) due = std::min(due, next_reconnect_);
  if (probe_.state == probe_state::direct)
    due = std::min(due, probe_.sent + scale_by_local_health(options_.probe_timeout));
  for (const relayed_probe& relayed : relayed_probes_)
    due = std::min(due, relayed.nacked ? relayed.expiry : relayed.nack_due);
  for (const auto& [address, suspected] : suspicions_)
    due = std::min(due, suspected.since + suspicion_timeout(suspected.confirmations()));
  return due;
}

}  // namespace marblewharf::membership
