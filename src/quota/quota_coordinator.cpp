#include "quota/quota_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf::quota {

namespace {

constexpr int tries_in_renewal = 4;  // members asked, while nobody says who leads

// FNV-1a: only equality is asked of it, among files that people wrote.
void add(std::uint64_t& hash, const std::string& text) {
  for (const char c : text + '\n') hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
}

}  // namespace

std::uint64_t digest_of(const std::vector<budget>& budgets, const std::set<std::string>& members) {
  std::uint64_t hash = 0xcbf29ce484222325ull;
  for (const budget& b : budgets)
    add(hash, b.name + ' ' + std::to_string(b.whole) + ' ' + std::to_string(b.safe) + ' ' +
                  std::to_string(b.settle.count()));
  for (const std::string& m : members) add(hash, m);
  return hash;
}

quota_coordinator::quota_coordinator(quota_coordinator_options o, std::vector<budget> budgets,
                                     std::set<std::string> members, std::string self, std::uint64_t session,
                                     time_point now)
    : options_(o),
      members_(std::move(members)),
      self_(std::move(self)),
      session_(session),
      digest_(digest_of(budgets, members_)),
      chair_(o.rules, members_, self_, session, now),
      holder_({o.rules, o.renew, o.soonest}, std::move(budgets), self_, session, digest_),
      noted_(holder_.budgets().size(), -1) {}

void quota_coordinator::join(time_point now) {
  if (std::exchange(joined_, true)) return;
  // As a voter it begins now: what the process before it promised has to end first.
  chair_ = leader_election(options_.rules, members_, self_, session_, now);
  holder_.answer_to({});
  holder_.join(now);
  note(now);
}

// Before joining nobody says who leads: the members in turn are asked, and whoever answered last again.
std::optional<std::string> quota_coordinator::whom_to_ask(time_point now) {
  if (joined_) return chair_.leader(now);
  const bool waits = !holder_.answered() && now - holder_.sent() < options_.renew / tries_in_renewal;
  if (!tried_.empty() && (holder_.answered() || waits)) return tried_;
  auto next = members_.upper_bound(tried_);
  if (next == members_.end()) next = members_.begin();
  return tried_ = *next;
}

std::optional<double> quota_coordinator::committed(std::size_t i, time_point now) const {
  return allocator_ && chair_.leads(now) ? std::optional(allocator_->committed(i, now)) : std::nullopt;
}

time_point quota_coordinator::step(time_point now, const std::vector<use>& uses, bool first) {
  time_point due = joined_ ? chair_.step(now, first) : now + options_.renew;
  // The books go with the chair: whoever has it next, this member too, does not know what is granted
  // meanwhile.
  if (allocator_ && (!chair_.leads(now) || allocates_in_ != chair_.term())) {
    mismatched_ += allocator_->mismatched();
    allocator_.reset();
  }
  if (!allocator_ && chair_.leads(now)) {
    allocates_in_ = chair_.term();
    allocator_.emplace(allocator_options{options_.rules, options_.reserve, members_.size()},
                       holder_.budgets(), digest_, self_, allocates_in_, now);
  }
  due = std::min(due, holder_.step(now, whom_to_ask(now), uses));
  pass(now);
  note(now);
  if (now < holder_.until()) due = std::min(due, holder_.until());
  return due;
}

void quota_coordinator::receive(time_point now, const message& m) {
  if (!members_.contains(m.from)) return;
  switch (m.what) {
    case kind::ask:
    case kind::promise:
    case kind::refusal:
      if (joined_) chair_.receive(now, m);
      break;
    case kind::request:
      // Only while the chair is surely this member's: an answer a moment later might be one too many.
      if (allocator_ && chair_.leads(now) && allocates_in_ == chair_.term()) allocator_->receive(now, m);
      break;
    case kind::grant:
    case kind::poke: holder_.receive(now, m); break;
  }
  pass(now);
  note(now);
}

// What this member has to say to itself it hears at once.
void quota_coordinator::pass(time_point now) {
  for (bool more = true; more;) {
    more = false;
    std::vector<envelope> all = chair_.take_outbox();
    for (envelope& e : holder_.take_outbox()) all.push_back(std::move(e));
    if (allocator_)
      for (envelope& e : allocator_->take_outbox()) all.push_back(std::move(e));
    for (envelope& e : all) {
      if (e.to != self_ || !joined_) {
        outbox_.push_back(std::move(e));
        continue;
      }
      more = true;
      if (e.m.what == kind::request) {
        if (allocator_ && chair_.leads(now)) allocator_->receive(now, e.m);
      } else {
        holder_.receive(now, e.m);
      }
    }
  }
}

void quota_coordinator::note(time_point now) {
  for (std::size_t i = 0; i < noted_.size(); ++i) {
    const double share = holder_.share(i, now);
    if (share == noted_[i]) continue;
    noted_[i] = share;
    changes_.push_back({i, share, holder_.until()});
  }
}

}  // namespace marblewharf::quota
