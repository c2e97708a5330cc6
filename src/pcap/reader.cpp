#include "pcap/reader.hpp"

#include <pcap/pcap.h>

#include <memory>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "pcap/reassembly.hpp"
#include "thrift/request.hpp"
#include "uwsgi/request.hpp"

namespace marblewharf::pcap {
namespace {

constexpr std::uint8_t tcp = 6;
constexpr unsigned fin_flag = 1;
constexpr unsigned syn_flag = 2;
constexpr unsigned rst_flag = 4;
constexpr unsigned ack_flag = 16;
constexpr std::uint16_t ethertype_ip4 = 0x0800;
constexpr std::uint16_t ethertype_ip6 = 0x86dd;
constexpr std::uint16_t ethertype_vlan = 0x8100;

struct malformed_packet : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::uint32_t big_endian(std::string_view bytes, std::size_t offset, std::size_t size) {
  std::uint32_t value = 0;
  for (const char byte : bytes.substr(offset, size)) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}

void require(std::string_view bytes, std::size_t size, const char* problem) {
  if (bytes.size() < size) throw malformed_packet(problem);
}

struct segment {
  std::string source, destination;  // address and port
  std::uint16_t destination_port = 0;
  std::uint32_t sequence = 0;  // sequence number
  unsigned flags = 0;
  std::string_view payload;
  bool truncated = false;  // the capture contains only the beginning of the packet
};

std::string ip4_text(std::string_view address) {
  std::string text;
  for (std::size_t i = 0; i < 4; ++i) {
    if (i > 0) text.push_back('.');
    text += std::to_string(static_cast<std::uint8_t>(address[i]));
  }
  return text;
}

std::string ip6_text(std::string_view address) {
  std::string text = "[";
  char group[8];
  for (std::size_t i = 0; i < 16; i += 2) {
    std::snprintf(group, sizeof group, "%s%x", i ? ":" : "", big_endian(address, i, 2));
    text += group;
  }
  return text + "]";
}

// Returns the IP packet in a frame of this link type, or an empty view if the frame carries another protocol.
std::string_view ip_of(int link_type, std::string_view frame) {
  switch (link_type) {
    case DLT_RAW:
    case DLT_IPV4:
    case DLT_IPV6: return frame;
    case DLT_NULL:
    case DLT_LOOP: require(frame, 4, "truncated loopback header"); return frame.substr(4);
    case DLT_LINUX_SLL: {
      require(frame, 16, "truncated Linux cooked header");
      const std::uint32_t type = big_endian(frame, 14, 2);
      return type == ethertype_ip4 || type == ethertype_ip6 ? frame.substr(16) : std::string_view();
    }
    case DLT_EN10MB: {
      std::size_t type_offset = 12;
      require(frame, type_offset + 2, "truncated Ethernet header");
      if (big_endian(frame, type_offset, 2) == ethertype_vlan) type_offset += 4;
      require(frame, type_offset + 2, "truncated VLAN header");
      const std::uint32_t type = big_endian(frame, type_offset, 2);
      return type == ethertype_ip4 || type == ethertype_ip6 ? frame.substr(type_offset + 2)
                                                            : std::string_view();
    }
    default: return {};
  }
}

// Returns the TCP segment in an IP packet, or no value if the packet carries another protocol or is a
// fragment.
std::optional<segment> segment_of(std::string_view ip) {
  if (ip.empty()) return std::nullopt;
  segment parsed;
  std::size_t packet_size = 0;  // according to the headers
  std::size_t ip_header_size = 0;
  const unsigned version = static_cast<std::uint8_t>(ip[0]) >> 4;
  if (version == 4) {
    require(ip, 20, "truncated IPv4 header");
    ip_header_size = std::size_t{4} * (static_cast<std::uint8_t>(ip[0]) & 0x0fu);
    packet_size = big_endian(ip, 2, 2);
    if (ip_header_size < 20 || packet_size < ip_header_size)
      throw malformed_packet("IPv4 header length and total length contradict each other");
    if (static_cast<std::uint8_t>(ip[9]) != tcp) return std::nullopt;
    if ((big_endian(ip, 6, 2) & 0x3fff) != 0) return std::nullopt;  // a fragment
    parsed.source = ip4_text(ip.substr(12));
    parsed.destination = ip4_text(ip.substr(16));
  } else if (version == 6) {
    require(ip, 40, "truncated IPv6 header");
    ip_header_size = 40;
    packet_size = ip_header_size + big_endian(ip, 4, 2);
    if (static_cast<std::uint8_t>(ip[6]) != tcp) return std::nullopt;
    parsed.source = ip6_text(ip.substr(8));
    parsed.destination = ip6_text(ip.substr(24));
  } else {
    throw malformed_packet("IP version is neither 4 nor 6");
  }
  parsed.truncated = ip.size() < packet_size;
  ip = ip.substr(0, packet_size);  // drops padding of the frame
  require(ip, ip_header_size + 20, "truncated TCP header");
  const std::string_view tcp_segment = ip.substr(ip_header_size);
  const std::size_t payload_offset = std::size_t{4} * (static_cast<std::uint8_t>(tcp_segment[12]) >> 4);
  if (payload_offset < 20 || ip_header_size + payload_offset > packet_size)
    throw malformed_packet("TCP header length is below 20 bytes or exceeds the packet");
  parsed.destination_port = static_cast<std::uint16_t>(big_endian(tcp_segment, 2, 2));
  parsed.source.append(1, ':').append(std::to_string(big_endian(tcp_segment, 0, 2)));
  parsed.destination.append(1, ':').append(std::to_string(parsed.destination_port));
  parsed.sequence = big_endian(tcp_segment, 4, 4);
  parsed.flags = static_cast<std::uint8_t>(tcp_segment[13]);
  parsed.payload = tcp_segment.substr(std::min(payload_offset, tcp_segment.size()));
  return parsed;
}

// The bytes that one caller sends on one connection.
struct flow {
  explicit flow(const limits& bounds) : stream(bounds.max_capture_gap_bytes) {}
  reassembly stream;
  std::string bytes;      // of the incomplete last message
  bool finished = false;  // the rest of the connection is ignored
  std::uint64_t last_packet = 0;
};

class capture_reader {
 public:
  capture_reader(const read_options& options, request_name_index& names,
                 const std::function<void(const captured_request&)>& on_request,
                 const std::function<void(const std::string&)>& on_skipped)
      : options_(options), names_(names), on_request_(on_request), on_skipped_(on_skipped) {}

  void packet(int link_type, std::int64_t unix_us, std::string_view frame) {
    ++counts.packets;
    unix_us_ = unix_us;
    try {
      const auto parsed = segment_of(ip_of(link_type, frame));
      if (parsed && (parsed->destination_port == options_.thrift_port ||
                     parsed->destination_port == options_.uwsgi_port)) {
        process(*parsed);
      } else {
        ++counts.other;
      }
    } catch (const malformed_packet& error) {
      ++counts.malformed;
      report(error.what());
    }
  }

  void end() {
    while (!flows_.empty()) close(flows_.begin());
  }

  read_counts counts;

 private:
  using flow_map = std::unordered_map<std::string, flow>;

  void report(const std::string& problem) {
    on_skipped_("packet " + std::to_string(counts.packets) + ": " + problem);
  }

  void process(const segment& received) {
    const std::string key = received.source + ">" + received.destination;
    auto entry = flows_.find(key);
    // A SYN starts a new connection, possibly with the addresses and ports of an earlier one.
    if ((received.flags & syn_flag) != 0 && (received.flags & ack_flag) == 0) {
      if (entry != flows_.end()) close(entry);
      entry = open(key);
      entry->second.stream.begin(received.sequence + 1);
    } else if (entry == flows_.end()) {
      if (received.payload.empty()) return;
      entry = open(key);
    }
    flow& current = entry->second;
    current.last_packet = counts.packets;
    if (received.truncated && !current.finished) {
      current.finished = true;
      ++counts.gaps;
      report("the capture contains only a part of the packet; ignoring the rest of its connection");
    }
    if (!current.finished) {
      current.stream.add(received.sequence, received.payload, [&](std::string_view bytes) {
        current.bytes += bytes;
        decode(current, received);
      });
      if (current.stream.broken()) {
        current.finished = true;
        ++counts.gaps;
        report("bytes before this packet are missing; ignoring the rest of its connection");
      }
    }
    // A reordered segment that fills a gap can follow a FIN, but not a reset.
    if ((received.flags & rst_flag) != 0 || ((received.flags & fin_flag) != 0 && !current.stream.waiting()))
      close(entry);
  }

  flow_map::iterator open(const std::string& key) {
    if (flows_.size() >= options_.bounds.max_capture_flows) {
      auto oldest = flows_.begin();
      for (auto entry = flows_.begin(); entry != flows_.end(); ++entry) {
        if (entry->second.last_packet < oldest->second.last_packet) oldest = entry;
      }
      close(oldest);
    }
    return flows_.emplace(key, options_.bounds).first;
  }

  void close(flow_map::iterator entry) {
    const flow& closed = entry->second;
    counts.repeated += closed.stream.repeated();
    counts.reordered += closed.stream.reordered();
    if (!closed.finished && closed.stream.waiting()) ++counts.gaps;
    flows_.erase(entry);
  }

  // Decodes all complete messages in `current.bytes`. `last` is the segment that completed them.
  void decode(flow& current, const segment& last) {
    while (!current.finished) {
      std::size_t consumed = 0;
      try {
        consumed = last.destination_port == options_.thrift_port ? decode_thrift(current, last)
                                                                 : decode_uwsgi(current, last);
      } catch (const std::runtime_error& error) {
        ++counts.undecodable;
        report(error.what());
        current.finished = true;
      }
      if (consumed == 0) return;
      current.bytes.erase(0, consumed);
    }
  }

  // Returns the size of the decoded message, or 0 if the message is incomplete.
  std::size_t decode_thrift(const flow& current, const segment& last) {
    const auto frame = thrift::next_frame(current.bytes, options_.bounds);
    if (!frame) return 0;
    const thrift::message message = thrift::decode(frame->payload, options_.bounds);
    if (const auto* execute = std::get_if<thrift::execute>(&message.content)) {
      try {
        constexpr std::int64_t us_per_ms = 1000;
        deliver(protocol::thrift, last, thrift::to_request(*execute, names_, unix_us_ / us_per_ms),
                current.bytes.substr(0, frame->size));
      } catch (const thrift::bad_field& field) {
        ++counts.undecodable;
        report(std::string("field ") + field.what() + " is missing or invalid");
      }
    } else if (const auto* undecodable = std::get_if<thrift::undecodable>(&message.content)) {
      ++counts.undecodable;
      report(undecodable->text);
    }
    return frame->size;
  }

  // Returns the size of the decoded packet, or 0 if the packet is incomplete.
  std::size_t decode_uwsgi(flow& current, const segment& last) {
    const auto packet = uwsgi::next_packet(current.bytes, options_.bounds);
    if (!packet) return 0;
    deliver(protocol::uwsgi, last, uwsgi::to_request(*packet, options_.mapping, names_),
            std::string(packet->bytes));
    current.finished = true;  // a uwsgi connection carries one request
    return packet->bytes.size();
  }

  void deliver(protocol wire_protocol, const segment& last, request decoded, std::string bytes) {
    on_request_({wire_protocol, unix_us_, counts.packets, last.source, last.destination, std::move(decoded),
                 std::move(bytes)});
  }

  const read_options& options_;
  request_name_index& names_;
  const std::function<void(const captured_request&)>& on_request_;
  const std::function<void(const std::string&)>& on_skipped_;
  flow_map flows_;
  std::int64_t unix_us_ = 0;
};

struct pcap_closer {
  void operator()(pcap_t* handle) const { pcap_close(handle); }
};

}  // namespace

read_counts read_capture(const std::string& path, const read_options& options, request_name_index& names,
                         const std::function<void(const captured_request&)>& on_request,
                         const std::function<void(const std::string&)>& on_skipped) {
  char error[PCAP_ERRBUF_SIZE] = "";
  const std::unique_ptr<pcap_t, pcap_closer> file(pcap_open_offline(path.c_str(), error));
  if (!file) throw invalid_capture(path + ": before packet 1: " + error);
  capture_reader reader(options, names, on_request, on_skipped);
  pcap_pkthdr* header = nullptr;
  const u_char* data = nullptr;
  int status = 0;
  while ((status = pcap_next_ex(file.get(), &header, &data)) == 1) {
    constexpr std::int64_t us_per_s = 1000000;
    reader.packet(pcap_datalink(file.get()), header->ts.tv_sec * us_per_s + header->ts.tv_usec,
                  {reinterpret_cast<const char*>(data), header->caplen});
  }
  if (status == PCAP_ERROR)
    throw invalid_capture(path + ": packet " + std::to_string(reader.counts.packets + 1) + ": " +
                          pcap_geterr(file.get()));
  reader.end();
  return reader.counts;
}

}  // namespace marblewharf::pcap
