// Writes connections to a capture file that other tools open: IPv4 packets with checksums, a handshake, data
// in segments and an end, for each connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewharf::pcap {

struct write_failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct address {
  std::uint32_t host = 0;  // IPv4, as a number
  std::uint16_t port = 0;
};

// From `a.b.c.d:port`. Throws write_failed.
address to_address(const std::string& text);

// One connection in the file, between what it was given at its start.
struct conversation {
  address caller, server;
  std::uint32_t sent = 0;      // sequence number of the caller's next byte
  std::uint32_t answered = 0;  // of the server's
};

class writer {
 public:
  // Throws write_failed. Nothing is written beyond `most_bytes`.
  writer(const std::string& path, std::size_t most_bytes);
  ~writer();

  conversation open(address caller, address server, std::int64_t unix_us);
  void sent(conversation& c, std::string_view bytes, std::int64_t unix_us);
  void answered(conversation& c, std::string_view bytes, std::int64_t unix_us);
  void close(conversation& c, std::int64_t unix_us);

  void flush();
  bool full() const { return full_; }

 private:
  struct file;
  void segment(const conversation& c, bool from_caller, unsigned flags, std::string_view bytes,
               std::int64_t unix_us);

  std::unique_ptr<file> file_;
  std::size_t left_;
  bool full_ = false;
};

}  // namespace marblewharf::pcap
