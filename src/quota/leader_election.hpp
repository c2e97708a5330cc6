// Which member allocates: a lease on the chair that a majority of the configured members promised.
//
// Free of I/O: clock, received messages and whether this member should stand are handed in; messages come
// out. Not thread-safe: owned by one thread. Design: docs/budgets.md.
//
// Promise: of all members' `leads(now)` at one instant of true time at most one is true, as long as every
// clock's rate is within the drift and addresses are one process's each; a voter never promises two
// candidates at once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease.hpp"
#include "quota/message.hpp"

namespace marblewharf::quota {

class leader_election {
 public:
  // `members`: all configured ones, `self` among them (else std::invalid_argument). `first_term`: above terms
  // of before a restart where that can be told (Unix ms); safety does not rest on it.
  leader_election(lease_rules rules, std::set<std::string> members, std::string self,
                  std::uint64_t first_term, time_point now);

  // `stand`: this member should be the one (the first that lives, as its owner sees it). Returns when to step
  // again.
  time_point step(time_point now, bool stand);
  void receive(time_point now, const message& m);
  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }

  bool leads(time_point now) const { return now < leads_until_; }
  std::uint64_t term() const { return term_; }
  // Who said of late that it leads: the one to ask for shares. A hint: only that member knows whether it
  // still does.
  std::optional<std::string> leader(time_point now) const;

 private:
  void ask(time_point now);
  void send(const std::string& to, kind what, std::uint64_t term, std::uint64_t sequence, bool leading);
  bool promise(time_point now, const std::string& to, std::uint64_t term);

  lease_rules rules_;
  std::set<std::string> members_;
  std::string self_;
  // As a voter.
  std::string promised_to_;
  time_point promised_until_;  // at first: what was promised before a restart has surely ended
  std::uint64_t highest_term_;
  std::string heard_leader_;
  time_point heard_until_{};
  // As a candidate or the one that leads.
  std::uint64_t term_ = 0;
  std::uint64_t sequence_ = 0;
  time_point asked_{};
  time_point next_ask_{};
  std::set<std::string> promises_;  // for the latest ask
  time_point leads_until_{};
  std::vector<envelope> outbox_;
};

}  // namespace marblewharf::quota
