#include "quota/lease_holder.hpp"

#include <algorithm>

namespace marblewharf::quota {

lease_holder::lease_holder(lease_holder_options o, std::vector<budget> budgets, std::string self,
                           std::uint64_t session, std::uint64_t digest)
    : options_(o),
      budgets_(std::move(budgets)),
      self_(std::move(self)),
      session_(session),
      digest_(digest),
      leased_(budgets_.size()),
      short_(budgets_.size()) {}

double lease_holder::safe(std::size_t i, time_point now) const {
  const budget& b = budgets_[i];
  return joined_ && now >= *joined_ + (b.in_flight ? b.settle : duration{}) ? b.safe : 0;
}

double lease_holder::share(std::size_t i, time_point now) const {
  return safe(i, now) + (now < until_ ? leased_[i] : 0);
}

time_point lease_holder::step(time_point now, const std::optional<std::string>& leader,
                              const std::vector<use>& uses) {
  if (!leader) return now + options_.soonest;
  for (std::size_t i = 0; i < budgets_.size(); ++i) {
    const bool wants = uses[i].demand > share(i, now);
    if (wants && !short_[i]) soon_ = true;  // news; a shortness that is known waits for its turn
    short_[i] = wants;
  }
  if (*leader != asked_) soon_ = true;
  const time_point due = soon_ ? std::min(next_, sent_ + options_.soonest) : next_;
  if (now < due) return std::min(due, now + options_.soonest);
  soon_ = false;
  asked_ = *leader;
  sent_ = now;
  next_ = now + options_.renew;
  answered_ = false;
  message m{kind::request, self_, 0, ++sequence_, session_, digest_, {}, false, answer_to_};
  for (std::size_t i = 0; i < budgets_.size(); ++i) {
    const double leased = now < until_ ? leased_[i] : 0;
    // What is in flight over the share is in force all the same.
    const double over = budgets_[i].in_flight ? uses[i].in_force - safe(i, now) : 0;
    m.entries.push_back(
        {std::max({leased, over, 0.0}), std::max(0.0, uses[i].demand - safe(i, now)), leased});
  }
  outbox_.push_back({*leader, std::move(m)});
  return std::min(next_, now + options_.soonest);
}

void lease_holder::receive(time_point now, const message& m) {
  if (m.from != asked_) return;
  if (m.what == kind::poke) {
    soon_ = true;
    return;
  }
  // Guards the allocator's books: an answer that comes after a later request was sent must change nothing,
  // since that request has told already what this node holds.
  if (m.what != kind::grant || answered_ || m.sequence != sequence_ || m.session != session_ ||
      m.entries.size() != budgets_.size())
    return;
  answered_ = true;
  for (std::size_t i = 0; i < budgets_.size(); ++i) {
    const double before = now < until_ ? leased_[i] : 0;
    if (m.entries[i].held < before) soon_ = true;  // given up: told at once, so that others may have it
    leased_[i] = m.entries[i].held;
  }
  until_ = sent_ + options_.rules.lease;
}

}  // namespace marblewharf::quota
