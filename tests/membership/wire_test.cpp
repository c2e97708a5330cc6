// The datagrams of membership (ctest -L membership).
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
  const message m = sample();
  const decoded d = decode("kurse", encode("kurse", m));
  CHECK(d.fault == wire_fault::none && d.content && same(*d.content, m));
}

void other_cluster_or_version() {
  CHECK(decode("renten", encode("kurse", sample())).fault == wire_fault::other_cluster);
  // A later version with another shape: recognised by its version, whatever follows it.
  msgpack::sbuffer later;
  msgpack::packer<msgpack::sbuffer> p(later);
  p.pack_array(3);
  p.pack(std::string("kurse"));
  p.pack(wire_version + 1);
  p.pack(std::string("whatever comes"));
  CHECK(decode("kurse", std::string_view(later.data(), later.size())).fault == wire_fault::version);
}

// Every cut and every changed byte: a whole message or a fault, never a crash (the sanitizers watch).
void damaged() {
  const std::string whole = encode("kurse", sample());
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const decoded d = decode("kurse", whole.substr(0, cut));
    CHECK(d.fault != wire_fault::none && !d.content);
  }
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
      const decoded d = decode("kurse", changed);
      CHECK((d.fault == wire_fault::none) == d.content.has_value());
    }
  }
  CHECK(decode("kurse", whole + "x").fault == wire_fault::undecodable);
  CHECK(decode("kurse", "").fault == wire_fault::undecodable);
}

void gossip_is_cut_to_fit() {
  message m = sample();
  for (int i = 0; i < 200; ++i)
    m.gossip.push_back(member_update{"127.0.0.1:" + std::to_string(8000 + i), "zone-" + std::to_string(i),
                                     "r", 1, member_status::alive});
  const std::string bytes = encode("kurse", m);
  CHECK(bytes.size() <= max_datagram_bytes);
  const decoded d = decode("kurse", bytes);
  CHECK(d.content && d.content->gossip.size() > 2 && d.content->gossip.size() < m.gossip.size());
  CHECK(d.content->gossip.front() == m.gossip.front());  // the first, the least sent, kept
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "round_trip")
    round_trip();
  else if (name == "foreign")
    other_cluster_or_version();
  else if (name == "damaged")
    damaged();
  else if (name == "cut_to_fit")
    gossip_is_cut_to_fit();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
