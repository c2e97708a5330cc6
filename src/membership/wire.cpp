#include "membership/wire.hpp"

#include <msgpack.hpp>
#include <vector>

namespace marblewharf::membership {

namespace {

// The wire's own shapes: the state machine's structs stay free of the codec.
struct wire_claim {
  std::string address, zone, region;
  std::uint64_t incarnation = 0;
  std::uint8_t state = 0;
  std::string by;
  MSGPACK_DEFINE(address, zone, region, incarnation, state, by)
};

struct wire_ballot {
  std::string voter, zone;
  std::uint64_t epoch = 0;
  bool out = false;
  std::uint64_t round = 0;
  MSGPACK_DEFINE(voter, zone, epoch, out, round)
};

struct wire_message {
  std::string fleet;
  std::uint32_t version = 0;
  std::uint8_t what = 0;
  wire_claim sender;
  std::uint64_t sequence = 0;
  std::string target;
  std::vector<wire_claim> gossip;
  std::vector<wire_ballot> ballots;
  MSGPACK_DEFINE(fleet, version, what, sender, sequence, target, gossip, ballots)
};

wire_claim to_wire(const claim& c) {
  return {c.address, c.zone, c.region, c.incarnation, static_cast<std::uint8_t>(c.state), c.by};
}

std::optional<claim> from_wire(const wire_claim& w) {
  if (w.state > static_cast<std::uint8_t>(health::dead)) return std::nullopt;
  return claim{w.address, w.zone, w.region, w.incarnation, static_cast<health>(w.state), w.by};
}

std::string pack(const wire_message& w) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, w);
  return {buffer.data(), buffer.size()};
}

// Bounds on what one datagram may ask the decoder to build: a crafted one cannot make it allocate much.
const msgpack::unpack_limit bounds(/*array*/ 256, /*map*/ 0, /*str*/ datagram_most, /*bin*/ 0, /*ext*/ 0,
                                   /*depth*/ 4);

}  // namespace

std::string encode(const std::string& fleet, const message& m) {
  wire_message w{
      fleet, wire_version, static_cast<std::uint8_t>(m.what), to_wire(m.sender), m.sequence, m.target, {},
      {}};
  for (const claim& c : m.gossip) w.gossip.push_back(to_wire(c));
  for (const ballot& b : m.ballots) w.ballots.push_back({b.voter, b.zone, b.epoch, b.out, b.round});
  std::string bytes = pack(w);
  while (bytes.size() > datagram_most && (!w.gossip.empty() || !w.ballots.empty())) {
    // The last of each are those that come again anyway: ballots passed on, claims of the table in turn.
    if (w.ballots.size() >= w.gossip.size()) {
      w.ballots.pop_back();
    } else {
      w.gossip.pop_back();
    }
    bytes = pack(w);
  }
  return bytes;
}

decoded decode(const std::string& fleet, std::string_view datagram) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(datagram.data(), datagram.size(), offset, nullptr, nullptr, bounds);
    if (offset != datagram.size()) return {std::nullopt, wire_fault::undecodable};  // bytes after the message
    const msgpack::object& o = handle.get();
    // Fleet and version first: a message of another fleet or version need not have this one's shape.
    if (o.type != msgpack::type::ARRAY || o.via.array.size < 2)
      return {std::nullopt, wire_fault::undecodable};
    if (o.via.array.ptr[0].as<std::string>() != fleet) return {std::nullopt, wire_fault::foreign};
    if (o.via.array.ptr[1].as<std::uint32_t>() != wire_version) return {std::nullopt, wire_fault::version};
    const auto w = o.as<wire_message>();
    if (o.via.array.size != 8 || w.what > static_cast<std::uint8_t>(kind::nack))
      return {std::nullopt, wire_fault::undecodable};
    const std::optional<claim> sender = from_wire(w.sender);
    if (!sender) return {std::nullopt, wire_fault::undecodable};
    message m{static_cast<kind>(w.what), *sender, w.sequence, w.target, {}, {}};
    for (const wire_ballot& b : w.ballots) m.ballots.push_back({b.voter, b.zone, b.epoch, b.out, b.round});
    for (const wire_claim& g : w.gossip) {
      const std::optional<claim> c = from_wire(g);
      if (!c) return {std::nullopt, wire_fault::undecodable};
      m.gossip.push_back(*c);
    }
    return {std::move(m), wire_fault::none};
  } catch (const std::exception&) {  // msgpack's unpack_error, type_error, size errors: not a message of ours
    return {std::nullopt, wire_fault::undecodable};
  }
}

}  // namespace marblewharf::membership
