#include "pcap/writer.hpp"

#include <pcap/pcap.h>

#include <algorithm>
#include <charconv>

namespace marblewharf::pcap {
namespace {

constexpr int longest_packet = 65535;
constexpr std::size_t segment_size = 1400;
constexpr std::size_t ip_size = 20;
constexpr std::size_t tcp_size = 20;
constexpr std::size_t record_header = 16;
constexpr std::uint8_t tcp = 6;
constexpr unsigned fin_flag = 1;
constexpr unsigned syn_flag = 2;
constexpr unsigned push_flag = 8;
constexpr unsigned ack_flag = 16;

void put(std::string& out, std::uint32_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
}

// The Internet checksum over the sum of what came before.
std::uint32_t add_up(std::string_view bytes, std::uint32_t sum = 0) {
  for (std::size_t i = 0; i < bytes.size(); ++i)
    sum += static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[i])) << (i % 2 == 0 ? 8 : 0);
  return sum;
}

void patch(std::string& packet, std::size_t at, std::uint32_t sum) {
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  const std::uint32_t checksum = ~sum & 0xffff;
  packet[at] = static_cast<char>(checksum >> 8);
  packet[at + 1] = static_cast<char>(checksum & 0xff);
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

address to_address(const std::string& text) {
  address a;
  const char* at = text.data();
  const char* end = at + text.size();
  for (int i = 0; i < 5; ++i) {
    unsigned part = 0;
    const auto [stopped, error] = std::from_chars(at, end, part);
    const bool right = i == 4 ? stopped == end && part <= 65535
                              : stopped != end && *stopped == (i == 3 ? ':' : '.') && part <= 255;
    if (error != std::errc{} || !right) throw write_failed("no IPv4 address and port: " + text);
    if (i < 4)
      a.host = a.host << 8 | part;
    else
      a.port = static_cast<std::uint16_t>(part);
    at = stopped + 1;
  }
  return a;
}

writer::writer(const std::string& path, std::size_t most_bytes)
    : file_(std::make_unique<file>()), left_(most_bytes) {
  file_->handle = pcap_open_dead(DLT_RAW, longest_packet);
  if (file_->handle == nullptr) throw write_failed(path + ": no memory");
  file_->dumper = pcap_dump_open(file_->handle, path.c_str());
  if (file_->dumper == nullptr) throw write_failed(pcap_geterr(file_->handle));
}

writer::~writer() = default;

void writer::flush() {
  if (pcap_dump_flush(file_->dumper) != 0) full_ = true;  // a full disk ends the record, not the program
}

conversation writer::open(address caller, address server, std::int64_t unix_us) {
  // Numbers of their own, so that a pair of addresses used again starts anew in the file.
  conversation c{caller, server, static_cast<std::uint32_t>(unix_us),
                 static_cast<std::uint32_t>(unix_us >> 8)};
  segment(c, true, syn_flag, {}, unix_us);
  ++c.sent;
  segment(c, false, syn_flag | ack_flag, {}, unix_us);
  ++c.answered;
  segment(c, true, ack_flag, {}, unix_us);
  return c;
}

void writer::sent(conversation& c, std::string_view bytes, std::int64_t unix_us) {
  for (; !bytes.empty(); bytes.remove_prefix(std::min(segment_size, bytes.size()))) {
    const std::string_view part = bytes.substr(0, segment_size);
    segment(c, true, push_flag | ack_flag, part, unix_us);
    c.sent += static_cast<std::uint32_t>(part.size());
  }
}

void writer::answered(conversation& c, std::string_view bytes, std::int64_t unix_us) {
  for (; !bytes.empty(); bytes.remove_prefix(std::min(segment_size, bytes.size()))) {
    const std::string_view part = bytes.substr(0, segment_size);
    segment(c, false, push_flag | ack_flag, part, unix_us);
    c.answered += static_cast<std::uint32_t>(part.size());
  }
}

void writer::close(conversation& c, std::int64_t unix_us) {
  segment(c, true, fin_flag | ack_flag, {}, unix_us);
  ++c.sent;
  segment(c, false, fin_flag | ack_flag, {}, unix_us);
  ++c.answered;
  segment(c, true, ack_flag, {}, unix_us);
}

void writer::segment(const conversation& c, bool from_caller, unsigned flags, std::string_view bytes,
                     std::int64_t unix_us) {
  const std::size_t size = ip_size + tcp_size + bytes.size();
  if (size + record_header > left_) full_ = true;
  if (full_) return;
  left_ -= size + record_header;
  const address& from = from_caller ? c.caller : c.server;
  const address& to = from_caller ? c.server : c.caller;
  std::string p;
  p.reserve(size);
  put(p, 0x4500, 2);  // IPv4 with no options
  put(p, static_cast<std::uint32_t>(size), 2);
  put(p, 0, 2);
  put(p, 0x4000, 2);  // not to be fragmented
  put(p, 64, 1);
  put(p, tcp, 1);
  put(p, 0, 2);
  put(p, from.host, 4);
  put(p, to.host, 4);
  patch(p, 10, add_up(p));
  std::string t;
  put(t, from.port, 2);
  put(t, to.port, 2);
  put(t, from_caller ? c.sent : c.answered, 4);
  put(t, (flags & ack_flag) != 0 ? (from_caller ? c.answered : c.sent) : 0, 4);
  put(t, 0x50, 1);  // a header with no options
  put(t, flags, 1);
  put(t, 65535, 2);
  put(t, 0, 4);  // checksum, urgent pointer
  t += bytes;
  std::string pseudo;
  put(pseudo, from.host, 4);
  put(pseudo, to.host, 4);
  put(pseudo, tcp, 2);
  put(pseudo, static_cast<std::uint32_t>(t.size()), 2);
  patch(t, 16, add_up(t, add_up(pseudo)));
  p += t;
  constexpr std::int64_t us_each_s = 1000000;
  pcap_pkthdr header{};
  header.ts.tv_sec = static_cast<time_t>(unix_us / us_each_s);
  header.ts.tv_usec = static_cast<suseconds_t>(unix_us % us_each_s);
  header.caplen = header.len = static_cast<bpf_u_int32>(p.size());
  pcap_dump(reinterpret_cast<u_char*>(file_->dumper), &header, reinterpret_cast<const u_char*>(p.data()));
}

}  // namespace marblewharf::pcap
