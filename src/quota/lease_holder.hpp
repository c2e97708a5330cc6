// What one node holds of each budget, and for how long.
//
// Free of I/O: clock and received messages are handed in, messages come out. Not thread-safe: owned by one
// thread.
//
// Promise: `share(i, now)` is the safe share and no more once the lease has ended, counted from when the
// request that brought it was sent; an answer to any request but the latest changes nothing. The safe share
// is nothing before `join()`, and for what is in flight for `settle` after it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease.hpp"
#include "quota/message.hpp"

namespace marblewharf::quota {

// One whole, as the operator's file has it.
struct budget {
  std::string name;
  double whole = 0;        // in its unit: runs or calls in flight, requests a second
  double safe = 0;         // of each configured member, always its own
  double weight = 1;       // of this node
  bool in_flight = false;  // what is in flight over a share stays held until it ends
  duration settle{};       // ... and for so long after a node was lost, or its process ended
};

struct lease_holder_options {
  lease_rules rules;
  duration renew = std::chrono::milliseconds(500);
  duration soonest = std::chrono::milliseconds(50);  // between requests, whatever happens
};

// What the node does with a budget right now.
struct use {
  double in_force = 0;  // runs or calls in flight; 0 for rates
  double demand = 0;    // what it could use, in the budget's unit
};

class lease_holder {
 public:
  lease_holder(lease_holder_options o, std::vector<budget> budgets, std::string self, std::uint64_t session,
               std::uint64_t digest);

  // Asks `leader` for renewal when that is due; at once where the leader changed, share was given up, or a
  // demand over the share has come up. Returns when to step again.
  time_point step(time_point now, const std::optional<std::string>& leader, const std::vector<use>& uses);
  void receive(time_point now, const message& m);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  // From now on this process is the member, and has its safe share. What the process before it left in flight
  // counts in that share until it has surely ended.
  void join(time_point now) { joined_ = now; }
  // Where answers go instead of to the member's address; empty: there.
  void answer_to(std::string address) { answer_to_ = std::move(address); }
  // The latest request: whether it was answered, and when it was sent.
  bool answered() const { return answered_; }
  time_point sent() const { return sent_; }

  double share(std::size_t i, time_point now) const;
  // The end of the lease, in this clock; past: none stands.
  time_point until() const { return until_; }
  std::uint64_t session() const { return session_; }
  const std::vector<budget>& budgets() const { return budgets_; }

 private:
  double safe(std::size_t i, time_point now) const;

  lease_holder_options options_;
  std::vector<budget> budgets_;
  std::string self_;
  std::uint64_t session_;
  std::uint64_t digest_;
  std::string answer_to_;
  std::optional<time_point> joined_;
  std::string asked_;           // the leader of the latest request
  std::uint64_t sequence_ = 0;  // of the latest request
  bool answered_ = true;        // it was
  time_point sent_{};           // when it was sent
  time_point next_{};
  bool soon_ = false;           // ask as soon as may be
  std::vector<double> leased_;  // beyond the safe share
  std::vector<bool> short_;     // by budget: asked for more than it holds
  time_point until_{};
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
