// One direction of a TCP connection, put back in order from its segments, within bounds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marblewharf::pcap {

class reassembly {
 public:
  // Bytes that follow all before, at the time of the segment that completed them.
  using sink = std::function<void(std::string_view bytes)>;

  // `most_waiting`: bytes kept behind a hole; more, and the hole counts as a gap.
  explicit reassembly(std::size_t most_waiting) : most_waiting_(most_waiting) {}

  void begin(std::uint32_t first);  // after a SYN: the number of the first byte
  void add(std::uint32_t number, std::string_view bytes, const sink& in_order);

  // Bytes are missing for good: what follows does not go on where the last ended. Nothing is delivered any
  // more until begin().
  bool broken() const { return broken_; }
  bool waiting() const { return !waiting_.empty(); }  // behind a hole
  bool begun() const { return begun_; }
  std::uint64_t repeated() const { return repeated_; }    // segments with nothing new
  std::uint64_t reordered() const { return reordered_; }  // segments that came before their turn

 private:
  void deliver(std::uint64_t at, std::string_view bytes, const sink& in_order);

  std::size_t most_waiting_;
  bool begun_ = false;
  bool broken_ = false;
  std::uint64_t next_ = 0;  // position of the byte that is due; its low half is its sequence number
  std::map<std::uint64_t, std::string> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint64_t repeated_ = 0, reordered_ = 0;
};

}  // namespace marblewharf::pcap
