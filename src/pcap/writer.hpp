// Writes connections to a capture file that common tools can read. Each connection is written as IPv4 packets
// with valid checksums: a TCP handshake, data segments and the closing segments.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewharf::pcap {

// Thrown if a capture file cannot be created or written, or an address cannot be parsed.
struct write_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct address {
  std::uint32_t host = 0;  // IPv4 address in host byte order
  std::uint16_t port = 0;
};

// Parses `a.b.c.d:port`. Throws write_error.
address parse_address(const std::string& text);

// A connection that is being written to the file, with the addresses of both ends.
struct recorded_connection {
  address caller, server;
  std::uint32_t caller_sequence = 0;  // sequence number of the caller's next byte
  std::uint32_t server_sequence = 0;  // sequence number of the server's next byte
};

class writer {
 public:
  // Throws write_error if the file cannot be created. `max_bytes`: maximum total size of the packet
  // records; later packets are dropped.
  writer(const std::string& path, std::size_t max_bytes);
  ~writer();

  // Writes the handshake of a connection.
  recorded_connection open(address caller, address server, std::int64_t unix_us);
  // Writes bytes that the caller sent.
  void add_caller_bytes(recorded_connection& connection, std::string_view bytes, std::int64_t unix_us);
  // Writes bytes that the server sent.
  void add_server_bytes(recorded_connection& connection, std::string_view bytes, std::int64_t unix_us);
  // Writes the closing segments of a connection.
  void close(recorded_connection& connection, std::int64_t unix_us);

  void flush();
  // Whether the maximum size was reached or a write failed. Nothing more is written then.
  bool full() const { return full_; }

 private:
  struct file;
  void write_segment(const recorded_connection& connection, bool from_caller, unsigned flags,
                     std::string_view bytes, std::int64_t unix_us);

  std::unique_ptr<file> file_;
  std::size_t remaining_bytes_;
  bool full_ = false;
};

}  // namespace marblewharf::pcap
