// Selects the membership updates that are piggybacked on each message: recent changes, each sent a bounded
// number of times, and entries of the member table in round-robin order.
//
// Performs no I/O and reads no clock. Not thread-safe: owned by one thread.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/message.hpp"

namespace marblewharf::membership {

class dissemination {
 public:
  // Each change is sent in `retransmit_multiplier` * ceil(log10(members + 1)) messages, and in at least one.
  // `members` includes this member.
  explicit dissemination(unsigned retransmit_multiplier) : retransmit_multiplier_(retransmit_multiplier) {}

  // Starts to disseminate the current entry of the member at `address`; restarts the transmission count if
  // the dissemination is already in progress. `known_members`: number of known members without this one.
  void enqueue(const std::string& address, std::size_t known_members);
  bool is_pending(const std::string& address) const { return transmissions_left_.contains(address); }

  // Returns the addresses of at most `limit` changed members for the next message and counts each as sent
  // once. The change with the most remaining transmissions comes first, so that a new change spreads before a
  // change that most members have already received.
  std::vector<std::string> take_pending(std::size_t limit);

  // Returns the addresses of the next `limit` members in round-robin order, each at most once. Because a
  // change is sent a bounded number of times, a member that received no copy (it joined later, or all copies
  // were lost) would otherwise never learn of the change.
  std::vector<std::string> take_round_robin(const std::map<std::string, member_update>& members,
                                            std::size_t limit);

 private:
  unsigned retransmit_multiplier_;
  std::map<std::string, unsigned> transmissions_left_;
  std::string last_round_robin_;
};

}  // namespace marblewharf::membership
