#include "pcap/reassembly.hpp"

#include <algorithm>

namespace marblewharf::pcap {

void reassembly::begin(std::uint32_t first) {
  begun_ = true;
  broken_ = false;
  next_ = (std::uint64_t{1} << 32) + first;  // room to look back behind the first number
  waiting_.clear();
  waiting_bytes_ = 0;
}

void reassembly::add(std::uint32_t number, std::string_view bytes, const sink& in_order) {
  if (bytes.empty() || broken_) return;
  if (!begun_) begin(number);  // the capture starts in the middle
  // Sequence numbers wrap: the distance to what is due tells the position.
  const auto distance = static_cast<std::int32_t>(number - static_cast<std::uint32_t>(next_));
  const std::uint64_t at = next_ + static_cast<std::uint64_t>(static_cast<std::int64_t>(distance));
  if (at + bytes.size() <= next_) {
    ++repeated_;
    return;
  }
  if (at > next_) {
    ++reordered_;
    std::string& kept = waiting_[at];
    if (kept.size() < bytes.size()) {
      waiting_bytes_ += bytes.size() - kept.size();
      kept = bytes;
    }
    // Guards the memory against a capture that lost a segment: the rest of that connection would pile up.
    if (waiting_bytes_ > most_waiting_) {
      broken_ = true;
      waiting_.clear();
      waiting_bytes_ = 0;
    }
    return;
  }
  deliver(at, bytes, in_order);
  while (!waiting_.empty() && waiting_.begin()->first <= next_) {
    const auto first = waiting_.extract(waiting_.begin());
    waiting_bytes_ -= first.mapped().size();
    deliver(first.key(), first.mapped(), in_order);
  }
}

void reassembly::deliver(std::uint64_t at, std::string_view bytes, const sink& in_order) {
  const std::uint64_t known = std::min<std::uint64_t>(next_ - at, bytes.size());
  bytes.remove_prefix(static_cast<std::size_t>(known));
  if (bytes.empty()) return;
  next_ += bytes.size();
  in_order(bytes);
}

}  // namespace marblewharf::pcap
