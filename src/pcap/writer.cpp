#include "pcap/writer.hpp"

#include <pcap/pcap.h>

#include <algorithm>
#include <charconv>

namespace marblewharf::pcap {
namespace {

constexpr int max_packet_bytes = 65535;
constexpr std::size_t segment_size = 1400;
constexpr std::size_t ip_size = 20;
constexpr std::size_t tcp_size = 20;
constexpr std::size_t record_header = 16;
constexpr std::uint8_t tcp_protocol = 6;
constexpr unsigned fin_flag = 1;
constexpr unsigned syn_flag = 2;
constexpr unsigned push_flag = 8;
constexpr unsigned ack_flag = 16;

void append_big_endian(std::string& out, std::uint32_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
}

// Adds `bytes` to the running sum of an Internet checksum (RFC 1071).
std::uint32_t checksum_sum(std::string_view bytes, std::uint32_t sum = 0) {
  for (std::size_t i = 0; i < bytes.size(); ++i)
    sum += static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[i])) << (i % 2 == 0 ? 8 : 0);
  return sum;
}

// Folds the sum and stores the Internet checksum at `offset`.
void store_checksum(std::string& packet, std::size_t offset, std::uint32_t sum) {
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  const std::uint32_t checksum = ~sum & 0xffff;
  packet[offset] = static_cast<char>(checksum >> 8);
  packet[offset + 1] = static_cast<char>(checksum & 0xff);
}

}  // namespace

struct writer::file {
  pcap_t* handle = nullptr;
  pcap_dumper_t* dumper = nullptr;
  ~file() {
    if (dumper != nullptr) pcap_dump_close(dumper);
    if (handle != nullptr) pcap_close(handle);
  }
};

address parse_address(const std::string& text) {
  address parsed;
  const char* position = text.data();
  const char* end = position + text.size();
  for (int i = 0; i < 5; ++i) {
    unsigned part = 0;
    const auto [stopped, error] = std::from_chars(position, end, part);
    const bool valid = i == 4 ? stopped == end && part <= 65535
                              : stopped != end && *stopped == (i == 3 ? ':' : '.') && part <= 255;
    if (error != std::errc{} || !valid)
      throw write_error("not an IPv4 address and port such as 10.0.0.1:80: " + text);
    if (i < 4)
      parsed.host = parsed.host << 8 | part;
    else
      parsed.port = static_cast<std::uint16_t>(part);
    position = stopped + 1;
  }
  return parsed;
}

writer::writer(const std::string& path, std::size_t max_bytes)
    : file_(std::make_unique<file>()), remaining_bytes_(max_bytes) {
  file_->handle = pcap_open_dead(DLT_RAW, max_packet_bytes);
  if (file_->handle == nullptr) throw write_error(path + ": out of memory");
  file_->dumper = pcap_dump_open(file_->handle, path.c_str());
  if (file_->dumper == nullptr) throw write_error(pcap_geterr(file_->handle));
}

writer::~writer() = default;

void writer::flush() {
  if (pcap_dump_flush(file_->dumper) != 0) full_ = true;  // a full disk ends the recording, not the process
}

recorded_connection writer::open(address caller, address server, std::int64_t unix_us) {
  // Initial sequence numbers derived from the time: a later connection with the same addresses and ports gets
  // different ones.
  recorded_connection connection{caller, server, static_cast<std::uint32_t>(unix_us),
                                 static_cast<std::uint32_t>(unix_us >> 8)};
  write_segment(connection, true, syn_flag, {}, unix_us);
  ++connection.caller_sequence;
  write_segment(connection, false, syn_flag | ack_flag, {}, unix_us);
  ++connection.server_sequence;
  write_segment(connection, true, ack_flag, {}, unix_us);
  return connection;
}

void writer::add_caller_bytes(recorded_connection& connection, std::string_view bytes, std::int64_t unix_us) {
  for (; !bytes.empty(); bytes.remove_prefix(std::min(segment_size, bytes.size()))) {
    const std::string_view part = bytes.substr(0, segment_size);
    write_segment(connection, true, push_flag | ack_flag, part, unix_us);
    connection.caller_sequence += static_cast<std::uint32_t>(part.size());
  }
}

void writer::add_server_bytes(recorded_connection& connection, std::string_view bytes, std::int64_t unix_us) {
  for (; !bytes.empty(); bytes.remove_prefix(std::min(segment_size, bytes.size()))) {
    const std::string_view part = bytes.substr(0, segment_size);
    write_segment(connection, false, push_flag | ack_flag, part, unix_us);
    connection.server_sequence += static_cast<std::uint32_t>(part.size());
  }
}

void writer::close(recorded_connection& connection, std::int64_t unix_us) {
  write_segment(connection, true, fin_flag | ack_flag, {}, unix_us);
  ++connection.caller_sequence;
  write_segment(connection, false, fin_flag | ack_flag, {}, unix_us);
  ++connection.server_sequence;
  write_segment(connection, true, ack_flag, {}, unix_us);
}

void writer::write_segment(const recorded_connection& connection, bool from_caller, unsigned flags,
                           std::string_view bytes, std::int64_t unix_us) {
  const std::size_t size = ip_size + tcp_size + bytes.size();
  if (size + record_header > remaining_bytes_) full_ = true;
  if (full_) return;
  remaining_bytes_ -= size + record_header;
  const address& source = from_caller ? connection.caller : connection.server;
  const address& destination = from_caller ? connection.server : connection.caller;
  std::string packet;
  packet.reserve(size);
  append_big_endian(packet, 0x4500, 2);  // IPv4 header without options
  append_big_endian(packet, static_cast<std::uint32_t>(size), 2);
  append_big_endian(packet, 0, 2);
  append_big_endian(packet, 0x4000, 2);  // flag: don't fragment
  append_big_endian(packet, 64, 1);
  append_big_endian(packet, tcp_protocol, 1);
  append_big_endian(packet, 0, 2);
  append_big_endian(packet, source.host, 4);
  append_big_endian(packet, destination.host, 4);
  store_checksum(packet, 10, checksum_sum(packet));
  std::string tcp_segment;
  append_big_endian(tcp_segment, source.port, 2);
  append_big_endian(tcp_segment, destination.port, 2);
  append_big_endian(tcp_segment, from_caller ? connection.caller_sequence : connection.server_sequence, 4);
  append_big_endian(
      tcp_segment,
      (flags & ack_flag) != 0 ? (from_caller ? connection.server_sequence : connection.caller_sequence) : 0,
      4);
  append_big_endian(tcp_segment, 0x50, 1);  // TCP header without options
  append_big_endian(tcp_segment, flags, 1);
  append_big_endian(tcp_segment, 65535, 2);
  append_big_endian(tcp_segment, 0, 4);  // checksum, urgent pointer
  tcp_segment += bytes;
  std::string pseudo_header;
  append_big_endian(pseudo_header, source.host, 4);
  append_big_endian(pseudo_header, destination.host, 4);
  append_big_endian(pseudo_header, tcp_protocol, 2);
  append_big_endian(pseudo_header, static_cast<std::uint32_t>(tcp_segment.size()), 2);
  store_checksum(tcp_segment, 16, checksum_sum(tcp_segment, checksum_sum(pseudo_header)));
  packet += tcp_segment;
  constexpr std::int64_t us_per_s = 1000000;
  pcap_pkthdr header{};
  header.ts.tv_sec = static_cast<time_t>(unix_us / us_per_s);
  header.ts.tv_usec = static_cast<suseconds_t>(unix_us % us_per_s);
  header.caplen = header.len = static_cast<bpf_u_int32>(packet.size());
  pcap_dump(reinterpret_cast<u_char*>(file_->dumper), &header,
            reinterpret_cast<const u_char*>(packet.data()));
}

}  // namespace marblewharf::pcap
