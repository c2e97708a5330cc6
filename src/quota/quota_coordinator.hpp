// One member's whole part in the fleet's budgets: its voice for the chair, what it holds, and the division
// while it has the chair.
//
// Free of I/O: clock, the members that live, uses and received messages are handed in; messages and changes
// of share come out. Not thread-safe: owned by one thread. The sum bound is the promise of chair, allocator
// and holder together (docs/budgets.md): while every clock's rate is within the drift, what all members act
// on adds up to at most the whole.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quota/allocator.hpp"
#include "quota/leader_election.hpp"
#include "quota/lease_holder.hpp"

namespace marblewharf::quota {

struct quota_coordinator_options {
  lease_rules rules;
  duration renew = std::chrono::milliseconds(500);
  duration soonest = std::chrono::milliseconds(50);
  double reserve = 0.05;
};

// What this member acts on from now on; until the next change, or the lease's end, after which it is the safe
// share.
struct change {
  std::size_t budget = 0;
  double share = 0;
  time_point until{};  // in this member's clock
};

class quota_coordinator {
 public:
  // Begins as a process that is not the member yet: it asks for shares, and has no voice and no safe share
  // until join(). `members`: configured, `self` among them. `session`: of this process, above those before it
  // (its start in Unix ms). Throws std::invalid_argument where `self` is not among them.
  quota_coordinator(quota_coordinator_options o, std::vector<budget> budgets, std::set<std::string> members,
                    std::string self, std::uint64_t session, time_point now);
  // The member's address is this process's own from now on: the one before it has let go of it.
  void join(time_point now);
  bool joined() const { return joined_; }
  // Until then: where answers reach this process.
  void answer_to(std::string address) { holder_.answer_to(std::move(address)); }

  // `alive`: whether a member lives, as this one sees it; it decides who stands for the chair, never who may
  // have it.
  template <typename Alive>
  time_point step(time_point now, const std::vector<use>& uses, Alive&& alive) {
    bool first = true;
    for (const std::string& m : members_) {
      if (m == self_) break;
      if (alive(m)) first = false;
    }
    return step(now, uses, first);
  }
  void receive(time_point now, const message& m);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  std::vector<change> take_changes() { return std::exchange(changes_, {}); }

  double share(std::size_t i, time_point now) const { return holder_.share(i, now); }
  time_point until() const { return holder_.until(); }
  const std::vector<budget>& budgets() const { return holder_.budgets(); }
  bool leads(time_point now) const { return chair_.leads(now); }
  std::optional<std::string> leader(time_point now) const { return chair_.leader(now); }
  std::uint64_t term() const { return chair_.term(); }
  // What it has granted of budget i as the one that allocates; none: it does not.
  std::optional<double> committed(std::size_t i, time_point now) const;
  std::uint64_t mismatched() const { return mismatched_ + (allocator_ ? allocator_->mismatched() : 0); }

 private:
  time_point step(time_point now, const std::vector<use>& uses, bool first);
  void pass(time_point now);
  void note(time_point now);
  std::optional<std::string> whom_to_ask(time_point now);

  quota_coordinator_options options_;
  std::set<std::string> members_;
  std::string self_;
  std::uint64_t session_;
  std::uint64_t digest_;
  bool joined_ = false;
  std::string tried_;  // before joining: the member asked last
  leader_election chair_;
  lease_holder holder_;
  std::optional<allocator> allocator_;
  std::uint64_t allocates_in_ = 0;  // the term
  std::vector<double> noted_;       // shares last told as changes
  std::uint64_t mismatched_ = 0;
  std::vector<envelope> outbox_;
  std::vector<change> changes_;
};

// Of what all members must have alike: names, wholes, safe shares, settling, and who the members are.
std::uint64_t digest_of(const std::vector<budget>& budgets, const std::set<std::string>& members);

}  // namespace marblewharf::quota
