// Reassembles one direction of a TCP connection from captured segments, with bounded memory.
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
  // Receives the next bytes of the stream.
  using sink = std::function<void(std::string_view bytes)>;

  // `max_waiting`: maximum number of bytes buffered after a gap. If more bytes arrive, the stream is
  // broken.
  explicit reassembly(std::size_t max_waiting) : max_waiting_(max_waiting) {}

  // Starts a new stream. `first`: sequence number of the first byte, one more than that of the SYN.
  void begin(std::uint32_t first);
  // Adds a segment and passes the bytes that are now in order to `in_order`.
  void add(std::uint32_t sequence, std::string_view bytes, const sink& in_order);

  // Whether the stream has a gap that will not be filled. No more bytes are delivered until begin().
  bool broken() const { return broken_; }
  bool waiting() const { return !waiting_.empty(); }  // segments are buffered after a gap
  bool begun() const { return begun_; }
  std::uint64_t repeated() const { return repeated_; }    // segments without new bytes
  std::uint64_t reordered() const { return reordered_; }  // segments that arrived before an earlier one

 private:
  void deliver(std::uint64_t position, std::string_view bytes, const sink& in_order);

  std::size_t max_waiting_;
  bool begun_ = false;
  bool broken_ = false;
  // Position of the next byte in the stream. The low 32 bits are its sequence number.
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::string> waiting_;  // segments after a gap, by position
  std::size_t waiting_bytes_ = 0;
  std::uint64_t repeated_ = 0, reordered_ = 0;
};

}  // namespace marblewharf::pcap
