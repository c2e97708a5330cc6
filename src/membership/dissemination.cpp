#include "membership/dissemination.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::membership {

void dissemination::enqueue(const std::string& address, std::size_t known_members) {
  const double cluster_size = static_cast<double>(known_members + 1);
  const auto rounds = static_cast<unsigned>(std::ceil(std::log10(cluster_size + 1)));
  transmissions_left_[address] = std::max(1u, retransmit_multiplier_ * rounds);
}

std::vector<std::string> dissemination::take_pending(std::size_t limit) {
  struct pending_change {
    unsigned transmissions_left;
    std::string address;
  };
  std::vector<pending_change> pending;
  for (const auto& [address, left] : transmissions_left_) pending.push_back({left, address});
  std::sort(pending.begin(), pending.end(), [](const pending_change& a, const pending_change& b) {
    return a.transmissions_left > b.transmissions_left;
  });
  pending.resize(std::min(pending.size(), limit));
  std::vector<std::string> addresses;
  for (const pending_change& change : pending) {
    const auto left = transmissions_left_.find(change.address);
    if (--left->second == 0) transmissions_left_.erase(left);
    addresses.push_back(change.address);
  }
  return addresses;
}

std::vector<std::string> dissemination::take_round_robin(const std::map<std::string, member_update>& members,
                                                         std::size_t limit) {
  std::vector<std::string> addresses;
  auto next = members.upper_bound(last_round_robin_);
  for (std::size_t i = 0; i < limit && i < members.size(); ++i) {
    if (next == members.end()) next = members.begin();
    last_round_robin_ = next->first;
    addresses.push_back(next->first);
    ++next;
  }
  return addresses;
}

}  // namespace marblewharf::membership
