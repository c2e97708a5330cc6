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

struct malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::uint32_t big_endian(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (const char c : bytes.substr(at, size)) value = value << 8 | static_cast<std::uint8_t>(c);
  return value;
}

void require(std::string_view bytes, std::size_t size, const char* what) {
  if (bytes.size() < size) throw malformed(what);
}

struct segment {
  std::string source, destination;  // with ports
  std::uint16_t to_port = 0;
  std::uint32_t number = 0;
  unsigned flags = 0;
  std::string_view bytes;
  bool cut = false;  // the capture kept only its beginning
};

std::string ip4_text(std::string_view b) {
  std::string text;
  for (std::size_t i = 0; i < 4; ++i) {
    if (i > 0) text.push_back('.');
    text += std::to_string(static_cast<std::uint8_t>(b[i]));
  }
  return text;
}

std::string ip6_text(std::string_view b) {
  std::string text = "[";
  char group[8];
  for (std::size_t i = 0; i < 16; i += 2) {
    std::snprintf(group, sizeof group, "%s%x", i ? ":" : "", big_endian(b, i, 2));
    text += group;
  }
  return text + "]";
}

// The IP packet in a frame of that link type; empty where it carries something else.
std::string_view ip_of(int link_type, std::string_view frame) {
  switch (link_type) {
    case DLT_RAW:
    case DLT_IPV4:
    case DLT_IPV6: return frame;
    case DLT_NULL:
    case DLT_LOOP: require(frame, 4, "a cut loopback header"); return frame.substr(4);
    case DLT_LINUX_SLL: {
      require(frame, 16, "a cut cooked header");
      const std::uint32_t type = big_endian(frame, 14, 2);
      return type == ethertype_ip4 || type == ethertype_ip6 ? frame.substr(16) : std::string_view();
    }
    case DLT_EN10MB: {
      std::size_t at = 12;
      require(frame, at + 2, "a cut Ethernet header");
      if (big_endian(frame, at, 2) == ethertype_vlan) at += 4;
      require(frame, at + 2, "a cut VLAN header");
      const std::uint32_t type = big_endian(frame, at, 2);
      return type == ethertype_ip4 || type == ethertype_ip6 ? frame.substr(at + 2) : std::string_view();
    }
    default: return {};
  }
}

// The TCP segment in an IP packet; none where it carries something else.
std::optional<segment> segment_of(std::string_view ip) {
  if (ip.empty()) return std::nullopt;
  segment s;
  std::size_t whole = 0;  // as the headers say
  std::size_t header = 0;
  const unsigned version = static_cast<std::uint8_t>(ip[0]) >> 4;
  if (version == 4) {
    require(ip, 20, "a cut IPv4 header");
    header = std::size_t{4} * (static_cast<std::uint8_t>(ip[0]) & 0x0fu);
    whole = big_endian(ip, 2, 2);
    if (header < 20 || whole < header) throw malformed("IPv4 lengths that contradict each other");
    if (static_cast<std::uint8_t>(ip[9]) != tcp) return std::nullopt;
    if ((big_endian(ip, 6, 2) & 0x3fff) != 0) return std::nullopt;  // a fragment
    s.source = ip4_text(ip.substr(12));
    s.destination = ip4_text(ip.substr(16));
  } else if (version == 6) {
    require(ip, 40, "a cut IPv6 header");
    header = 40;
    whole = header + big_endian(ip, 4, 2);
    if (static_cast<std::uint8_t>(ip[6]) != tcp) return std::nullopt;
    s.source = ip6_text(ip.substr(8));
    s.destination = ip6_text(ip.substr(24));
  } else {
    throw malformed("neither IPv4 nor IPv6");
  }
  s.cut = ip.size() < whole;
  ip = ip.substr(0, whole);  // a frame may be padded
  require(ip, header + 20, "a cut TCP header");
  const std::string_view t = ip.substr(header);
  const std::size_t offset = std::size_t{4} * (static_cast<std::uint8_t>(t[12]) >> 4);
  if (offset < 20 || header + offset > whole) throw malformed("a TCP header longer than its packet");
  s.to_port = static_cast<std::uint16_t>(big_endian(t, 2, 2));
  s.source.append(1, ':').append(std::to_string(big_endian(t, 0, 2)));
  s.destination.append(1, ':').append(std::to_string(s.to_port));
  s.number = big_endian(t, 4, 4);
  s.flags = static_cast<std::uint8_t>(t[13]);
  s.bytes = t.substr(std::min(offset, t.size()));
  return s;
}

// What one caller sends on one connection.
struct flow {
  explicit flow(const limits& bounds) : order(bounds.capture_waiting) {}
  reassembly order;
  std::string bytes;  // of a message not yet whole
  bool over = false;  // nothing more can be read on it
  std::uint64_t last_packet = 0;
};

class capture_reader {
 public:
  capture_reader(const read_options& options, vocabulary& names,
                 const std::function<void(const captured&)>& found,
                 const std::function<void(const std::string&)>& trouble)
      : options_(options), names_(names), found_(found), trouble_(trouble) {}

  void packet(int link_type, std::int64_t unix_us, std::string_view frame) {
    ++counts.packets;
    unix_us_ = unix_us;
    try {
      const auto s = segment_of(ip_of(link_type, frame));
      if (s && (s->to_port == options_.thrift_port || s->to_port == options_.uwsgi_port)) {
        take(*s);
      } else {
        ++counts.other;
      }
    } catch (const malformed& e) {
      ++counts.malformed;
      tell(e.what());
    }
  }

  void end() {
    while (!flows_.empty()) close(flows_.begin());
  }

  read_counts counts;

 private:
  using flow_map = std::unordered_map<std::string, flow>;

  void tell(const std::string& what) { trouble_("packet " + std::to_string(counts.packets) + ": " + what); }

  void take(const segment& s) {
    const std::string key = s.source + ">" + s.destination;
    auto at = flows_.find(key);
    if ((s.flags & syn_flag) != 0 && (s.flags & ack_flag) == 0) {  // a connection anew, maybe on an old pair
      if (at != flows_.end()) close(at);
      at = open(key);
      at->second.order.begin(s.number + 1);
    } else if (at == flows_.end()) {
      if (s.bytes.empty()) return;
      at = open(key);
    }
    flow& f = at->second;
    f.last_packet = counts.packets;
    if (s.cut && !f.over) {
      f.over = true;
      ++counts.gaps;
      tell("only a part of it was captured");
    }
    if (!f.over) {
      f.order.add(s.number, s.bytes, [&](std::string_view bytes) {
        f.bytes += bytes;
        decode(f, s);
      });
      if (f.order.broken()) {
        f.over = true;
        ++counts.gaps;
        tell("bytes before it are missing");
      }
    }
    // What still fills a hole may come after a FIN, but not after a reset.
    if ((s.flags & rst_flag) != 0 || ((s.flags & fin_flag) != 0 && !f.order.waiting())) close(at);
  }

  flow_map::iterator open(const std::string& key) {
    if (flows_.size() >= options_.bounds.capture_flows) {
      auto oldest = flows_.begin();
      for (auto i = flows_.begin(); i != flows_.end(); ++i) {
        if (i->second.last_packet < oldest->second.last_packet) oldest = i;
      }
      close(oldest);
    }
    return flows_.emplace(key, options_.bounds).first;
  }

  void close(flow_map::iterator at) {
    const flow& f = at->second;
    counts.repeated += f.order.repeated();
    counts.reordered += f.order.reordered();
    if (!f.over && f.order.waiting()) ++counts.gaps;
    flows_.erase(at);
  }

  void decode(flow& f, const segment& s) {
    while (!f.over) {
      std::size_t taken = 0;
      try {
        taken = s.to_port == options_.thrift_port ? decode_thrift(f, s) : decode_uwsgi(f, s);
      } catch (const std::runtime_error& e) {
        ++counts.undecodable;
        tell(e.what());
        f.over = true;
      }
      if (taken == 0) return;
      f.bytes.erase(0, taken);
    }
  }

  std::size_t decode_thrift(const flow& f, const segment& s) {
    const auto frame = thrift::next_frame(f.bytes, options_.bounds);
    if (!frame) return 0;
    const thrift::message m = thrift::decode(frame->payload, options_.bounds);
    if (const auto* e = std::get_if<thrift::execute>(&m.content)) {
      try {
        constexpr std::int64_t us_each_ms = 1000;
        hand_over(protocol::thrift, s, thrift::to_request(*e, names_, unix_us_ / us_each_ms),
                  f.bytes.substr(0, frame->size));
      } catch (const thrift::bad_field& field) {
        ++counts.undecodable;
        tell(std::string("field ") + field.what() + " is missing or wrong");
      }
    } else if (const auto* u = std::get_if<thrift::undecodable>(&m.content)) {
      ++counts.undecodable;
      tell(u->text);
    }
    return frame->size;
  }

  std::size_t decode_uwsgi(flow& f, const segment& s) {
    const auto p = uwsgi::next_packet(f.bytes, options_.bounds);
    if (!p) return 0;
    hand_over(protocol::uwsgi, s, uwsgi::to_request(*p, options_.mapping, names_), std::string(p->whole));
    f.over = true;  // a connection carries one request
    return p->whole.size();
  }

  void hand_over(protocol from, const segment& s, request what, std::string bytes) {
    found_({from, unix_us_, counts.packets, s.source, s.destination, std::move(what), std::move(bytes)});
  }

  const read_options& options_;
  vocabulary& names_;
  const std::function<void(const captured&)>& found_;
  const std::function<void(const std::string&)>& trouble_;
  flow_map flows_;
  std::int64_t unix_us_ = 0;
};

struct closer {
  void operator()(pcap_t* p) const { pcap_close(p); }
};

}  // namespace

read_counts read_capture(const std::string& path, const read_options& options, vocabulary& names,
                         const std::function<void(const captured&)>& found,
                         const std::function<void(const std::string&)>& trouble) {
  char error[PCAP_ERRBUF_SIZE] = "";
  const std::unique_ptr<pcap_t, closer> file(pcap_open_offline(path.c_str(), error));
  if (!file) throw bad_capture(path + ": before packet 1: " + error);
  capture_reader reader(options, names, found, trouble);
  pcap_pkthdr* header = nullptr;
  const u_char* data = nullptr;
  int got = 0;
  while ((got = pcap_next_ex(file.get(), &header, &data)) == 1) {
    constexpr std::int64_t us_each_s = 1000000;
    reader.packet(pcap_datalink(file.get()), header->ts.tv_sec * us_each_s + header->ts.tv_usec,
                  {reinterpret_cast<const char*>(data), header->caplen});
  }
  if (got == PCAP_ERROR)
    throw bad_capture(path + ": packet " + std::to_string(reader.counts.packets + 1) + ": " +
                      pcap_geterr(file.get()));
  reader.end();
  return reader.counts;
}

}  // namespace marblewharf::pcap
