#include "quota/leader_election.hpp"

#include <algorithm>
#include <stdexcept>

namespace marblewharf::quota {

namespace {

constexpr int asks_in_lease = 4;  // so that some lost ones do not cost the chair

}  // namespace

leader_election::leader_election(lease_rules rules, std::set<std::string> members, std::string self,
                                 std::uint64_t first_term, time_point now)
    : rules_(rules),
      members_(std::move(members)),
      self_(std::move(self)),
      promised_until_(now + surely_over(rules)),
      highest_term_(first_term) {
  if (!members_.contains(self_)) throw std::invalid_argument("chair: " + self_ + " is no configured member");
}

std::optional<std::string> leader_election::leader(time_point now) const {
  if (leads(now)) return self_;
  return now < heard_until_ ? std::optional(heard_leader_) : std::nullopt;
}

void leader_election::send(const std::string& to, kind what, std::uint64_t term, std::uint64_t sequence,
                           bool leading) {
  outbox_.push_back({to, message{what, self_, term, sequence, 0, 0, {}, what == kind::ask && leading}});
}

// One candidate at a time: another one only once the promise before it has ended. The same one may go on, or
// begin anew.
bool leader_election::promise(time_point now, const std::string& to, std::uint64_t term) {
  if (to != promised_to_ && now < promised_until_) return false;
  // Guards the chair against candidates of a smaller side, after a cut heals: they would hold their own
  // voters for ever.
  if (now < heard_until_ && to != heard_leader_) return false;
  promised_to_ = to;
  promised_until_ = now + surely_over(rules_);
  highest_term_ = std::max(highest_term_, term);
  return true;
}

void leader_election::ask(time_point now) {
  const bool leading = leads(now);
  if (!leading)
    term_ = ++highest_term_;  // a lost chair is asked for anew: what it granted belongs to the old term
  ++sequence_;
  asked_ = now;
  promises_.clear();
  next_ask_ = now + rules_.lease / asks_in_lease;
  if (promise(now, self_, term_)) promises_.insert(self_);
  for (const std::string& m : members_)
    if (m != self_) send(m, kind::ask, term_, sequence_, leading);
  if (2 * promises_.size() > members_.size()) leads_until_ = now + rules_.lease;
}

time_point leader_election::step(time_point now, bool stand) {
  // Whoever leads goes on to ask even where another should stand: a chair that moves for nothing costs a
  // lease.
  const bool asks = leads(now) || (stand && now >= heard_until_);
  if (asks && now >= next_ask_) ask(now);
  return asks ? next_ask_ : now + rules_.lease / asks_in_lease;
}

void leader_election::receive(time_point now, const message& m) {
  if (!members_.contains(m.from) || m.from == self_) return;
  switch (m.what) {
    case kind::ask:
      if (m.leading) {
        heard_leader_ = m.from;
        heard_until_ = now + rules_.lease;
      }
      if (promise(now, m.from, m.term)) {
        send(m.from, kind::promise, m.term, m.sequence, false);
      } else {
        send(m.from, kind::refusal, highest_term_, m.sequence, false);
      }
      break;
    case kind::promise:
      // Of the latest ask only: the lease counts from when that was sent.
      if (m.term != term_ || m.sequence != sequence_) break;
      promises_.insert(m.from);
      if (2 * promises_.size() <= members_.size()) break;
      if (!leads(now)) next_ask_ = now;  // the others learn at once whom to ask
      leads_until_ = std::max(leads_until_, asked_ + rules_.lease);
      break;
    case kind::refusal: highest_term_ = std::max(highest_term_, m.term); break;
    default: break;
  }
}

}  // namespace marblewharf::quota
