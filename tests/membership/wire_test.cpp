// Encoding and decoding of membership messages (ctest -L membership). Datagrams arrive from an untrusted
// network: a damaged datagram, or one of another cluster or version, must be rejected with the right fault.
#include "membership/wire.hpp"

#include <cstdio>
#include <msgpack.hpp>
#include <string>

#include "../check.hpp"

using namespace marblewharf::membership;

namespace {

message sample() {
  return message{message_kind::ping_req,
                 member_update{"127.0.0.1:7001", "z1", "r0", 17, member_status::alive},
                 42,
                 "127.0.0.1:7005",
                 {member_update{"127.0.0.1:7002", "z0", "r0", 3, member_status::suspect, "127.0.0.1:7004"},
                  member_update{"127.0.0.1:7003", "z2", "r1", 9, member_status::dead}},
                 {zone_vote{"127.0.0.1:7001", "z2", 3, true, 812}}};
}

bool same(const message& a, const message& b) {
  return a.kind == b.kind && a.sender == b.sender && a.sequence == b.sequence && a.target == b.target &&
         a.gossip == b.gossip && a.votes == b.votes;
}

void round_trip() {
  const message original = sample();
  const decoded result = decode("kurse", encode("kurse", original));
  CHECK(result.fault == wire_fault::none && result.content && same(*result.content, original));
}

void other_cluster_or_version() {
  CHECK(decode("renten", encode("kurse", sample())).fault == wire_fault::other_cluster);
  // A message of a later version must be reported as such even if its structure differs after the version.
  msgpack::sbuffer later_version;
  msgpack::packer<msgpack::sbuffer> packer(later_version);
  packer.pack_array(3);
  packer.pack(std::string("kurse"));
  packer.pack(wire_version + 1);
  packer.pack(std::string("whatever comes"));
  CHECK(decode("kurse", std::string_view(later_version.data(), later_version.size())).fault ==
        wire_fault::version);
}

// A datagram truncated at any byte must be rejected. A datagram with any flipped bit must yield either a
// complete message or a fault, and never an invalid memory access (which the sanitizers report).
void damaged_datagrams() {
  const std::string datagram = encode("kurse", sample());
  for (std::size_t length = 0; length < datagram.size(); ++length) {
    const decoded result = decode("kurse", datagram.substr(0, length));
    CHECK(result.fault != wire_fault::none && !result.content);
  }
  for (std::size_t offset = 0; offset < datagram.size(); ++offset) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string damaged = datagram;
      damaged[offset] = static_cast<char>(damaged[offset] ^ (1 << bit));
      const decoded result = decode("kurse", damaged);
      CHECK((result.fault == wire_fault::none) == result.content.has_value());
    }
  }
  CHECK(decode("kurse", datagram + "x").fault == wire_fault::undecodable);
  CHECK(decode("kurse", "").fault == wire_fault::undecodable);
}

void gossip_is_truncated_to_datagram_size() {
  message original = sample();
  for (int i = 0; i < 200; ++i)
    original.gossip.push_back(member_update{"127.0.0.1:" + std::to_string(8000 + i),
                                            "zone-" + std::to_string(i), "r", 1, member_status::alive});
  const std::string bytes = encode("kurse", original);
  CHECK(bytes.size() <= max_datagram_bytes);
  const decoded result = decode("kurse", bytes);
  CHECK(result.content && result.content->gossip.size() > 2 &&
        result.content->gossip.size() < original.gossip.size());
  // The first entry, which has been sent least often, is kept.
  CHECK(result.content->gossip.front() == original.gossip.front());
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "round_trip")
    round_trip();
  else if (name == "other_cluster_or_version")
    other_cluster_or_version();
  else if (name == "damaged_datagrams")
    damaged_datagrams();
  else if (name == "truncated_gossip")
    gossip_is_truncated_to_datagram_size();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
