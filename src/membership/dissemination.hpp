// Chooses the membership updates that go out with each message: changes, each a bounded number of times, and
// the member table in turn.
//
// Free of I/O and clocks. Not thread-safe: owned by one thread.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/message.hpp"

namespace marblewharf::membership {

class dissemination {
 public:
  // Each change is sent `retransmit_multiplier` times the logarithm of the member count, at least once.
  explicit dissemination(unsigned retransmit_multiplier) : retransmit_multiplier_(retransmit_multiplier) {}

  // The member at `address` changed, and what is believed of it is to be spread; again from the start where
  // it is being spread already. `known_members`: this one not counted.
  void enqueue(const std::string& address, std::size_t known_members);
  bool is_pending(const std::string& address) const { return transmissions_left_.contains(address); }

  // The changed members to name in the next message, at most `limit`; the least often sent first, so that a
  // fresh change reaches the cluster before one that most members have received. Counts each as sent once.
  std::vector<std::string> take_pending(std::size_t limit);

  // The next `limit` members of the table in turn, each once at the most. A change is sent a bounded number
  // of times, so a member that missed all copies (it joined just then, or they were lost) would otherwise
  // never learn of it.
  std::vector<std::string> take_round_robin(const std::map<std::string, member_update>& members,
                                            std::size_t limit);

 private:
  unsigned retransmit_multiplier_;
  std::map<std::string, unsigned> transmissions_left_;
  std::string last_round_robin_;
};

}  // namespace marblewharf::membership
