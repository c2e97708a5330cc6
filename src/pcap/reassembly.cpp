#include "pcap/reassembly.hpp"

#include <algorithm>

namespace marblewharf::pcap {

void reassembly::begin(std::uint32_t first) {
  begun_ = true;
  broken_ = false;
  next_ = (std::uint64_t{1} << 32) + first;  // the offset keeps positions before `first` positive
  waiting_.clear();
  waiting_bytes_ = 0;
}

void reassembly::add(std::uint32_t sequence, std::string_view bytes, const sink& in_order) {
  if (bytes.empty() || broken_) return;
  if (!begun_) begin(sequence);  // the capture starts within the connection
  // Sequence numbers wrap around, so the position is computed from the signed distance to the next byte.
  const auto distance = static_cast<std::int32_t>(sequence - static_cast<std::uint32_t>(next_));
  const std::uint64_t position = next_ + static_cast<std::uint64_t>(static_cast<std::int64_t>(distance));
  if (position + bytes.size() <= next_) {
    ++repeated_;
    return;
  }
  if (position > next_) {
    ++reordered_;
    std::string& buffered = waiting_[position];
    if (buffered.size() < bytes.size()) {
      waiting_bytes_ += bytes.size() - buffered.size();
      buffered = bytes;
    }
    // If the capture lacks a segment, the rest of the connection would accumulate in memory.
    if (waiting_bytes_ > max_waiting_) {
      broken_ = true;
      waiting_.clear();
      waiting_bytes_ = 0;
    }
    return;
  }
  deliver(position, bytes, in_order);
  while (!waiting_.empty() && waiting_.begin()->first <= next_) {
    const auto first = waiting_.extract(waiting_.begin());
    waiting_bytes_ -= first.mapped().size();
    deliver(first.key(), first.mapped(), in_order);
  }
}

void reassembly::deliver(std::uint64_t position, std::string_view bytes, const sink& in_order) {
  const std::uint64_t delivered = std::min<std::uint64_t>(next_ - position, bytes.size());
  bytes.remove_prefix(static_cast<std::size_t>(delivered));
  if (bytes.empty()) return;
  next_ += bytes.size();
  in_order(bytes);
}

}  // namespace marblewharf::pcap
