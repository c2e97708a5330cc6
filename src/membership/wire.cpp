#include "membership/wire.hpp"

#include <msgpack.hpp>
#include <vector>

namespace marblewharf::membership {

namespace {

// The wire format of the message structs; the structs of the protocol do not depend on the codec.
struct wire_update {
  std::string address, zone, region;
  std::uint64_t incarnation = 0;
  std::uint8_t status = 0;
  std::string suspected_by;
  MSGPACK_DEFINE(address, zone, region, incarnation, status, suspected_by)
};

struct wire_vote {
  std::string voter, zone;
  std::uint64_t epoch = 0;
  bool out = false;
  std::uint64_t round = 0;
  MSGPACK_DEFINE(voter, zone, epoch, out, round)
};

struct wire_message {
  std::string cluster_name;
  std::uint32_t version = 0;
  std::uint8_t kind = 0;
  wire_update sender;
  std::uint64_t sequence = 0;
  std::string target;
  std::vector<wire_update> gossip;
  std::vector<wire_vote> votes;
  MSGPACK_DEFINE(cluster_name, version, kind, sender, sequence, target, gossip, votes)
};

// Positions of the elements that are read before the structure of the message has been checked, and the total
// number of elements.
constexpr std::uint32_t cluster_name_element = 0;
constexpr std::uint32_t version_element = 1;
constexpr std::uint32_t header_elements = 2;
constexpr std::uint32_t all_elements = 8;

// Limits the memory that the decoder allocates for one datagram.
const msgpack::unpack_limit unpack_limits(/*array*/ 256, /*map*/ 0, /*str*/ max_datagram_bytes, /*bin*/ 0,
                                          /*ext*/ 0, /*depth*/ 4);

wire_update to_wire(const member_update& update) {
  return {update.address,
          update.zone,
          update.region,
          update.incarnation,
          static_cast<std::uint8_t>(update.status),
          update.suspected_by};
}

wire_vote to_wire(const zone_vote& vote) {
  return {vote.voter, vote.zone, vote.epoch, vote.out, vote.round};
}

wire_message to_wire(const std::string& cluster_name, const message& content) {
  wire_message wire;
  wire.cluster_name = cluster_name;
  wire.version = wire_version;
  wire.kind = static_cast<std::uint8_t>(content.kind);
  wire.sender = to_wire(content.sender);
  wire.sequence = content.sequence;
  wire.target = content.target;
  for (const member_update& update : content.gossip) wire.gossip.push_back(to_wire(update));
  for (const zone_vote& vote : content.votes) wire.votes.push_back(to_wire(vote));
  return wire;
}

std::optional<member_update> from_wire(const wire_update& wire) {
  if (wire.status > static_cast<std::uint8_t>(member_status::dead)) return std::nullopt;
  const auto status = static_cast<member_status>(wire.status);
  return member_update{wire.address, wire.zone, wire.region, wire.incarnation, status, wire.suspected_by};
}

std::optional<message> from_wire(const wire_message& wire) {
  if (wire.kind > static_cast<std::uint8_t>(message_kind::nack)) return std::nullopt;
  const std::optional<member_update> sender = from_wire(wire.sender);
  if (!sender) return std::nullopt;
  message content{static_cast<message_kind>(wire.kind), *sender, wire.sequence, wire.target, {}, {}};
  for (const wire_vote& vote : wire.votes)
    content.votes.push_back({vote.voter, vote.zone, vote.epoch, vote.out, vote.round});
  for (const wire_update& wire_gossip : wire.gossip) {
    const std::optional<member_update> update = from_wire(wire_gossip);
    if (!update) return std::nullopt;
    content.gossip.push_back(*update);
  }
  return content;
}

std::string pack(const wire_message& wire) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

decoded failed(wire_fault fault) {
  return {std::nullopt, fault};
}

// Checks the cluster name and the version first, because a message of another cluster or version may have a
// different structure. Throws msgpack's exception if an element has an unexpected type.
decoded decode_root(const std::string& cluster_name, const msgpack::object& root) {
  if (root.type != msgpack::type::ARRAY || root.via.array.size < header_elements)
    return failed(wire_fault::undecodable);
  const msgpack::object* const elements = root.via.array.ptr;
  if (elements[cluster_name_element].as<std::string>() != cluster_name)
    return failed(wire_fault::other_cluster);
  if (elements[version_element].as<std::uint32_t>() != wire_version) return failed(wire_fault::version);
  const auto wire = root.as<wire_message>();
  if (root.via.array.size != all_elements) return failed(wire_fault::undecodable);
  std::optional<message> content = from_wire(wire);
  if (!content) return failed(wire_fault::undecodable);
  return {std::move(content), wire_fault::none};
}

}  // namespace

std::string encode(const std::string& cluster_name, const message& content) {
  wire_message wire = to_wire(cluster_name, content);
  std::string bytes = pack(wire);
  while (bytes.size() > max_datagram_bytes && (!wire.gossip.empty() || !wire.votes.empty())) {
    // The entries at the end of both lists are sent again by later messages: they are retransmitted votes and
    // round-robin entries of the member table.
    if (wire.votes.size() >= wire.gossip.size()) {
      wire.votes.pop_back();
    } else {
      wire.gossip.pop_back();
    }
    bytes = pack(wire);
  }
  return bytes;
}

decoded decode(const std::string& cluster_name, std::string_view datagram) {
  try {
    std::size_t parsed_bytes = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(datagram.data(), datagram.size(), parsed_bytes, nullptr, nullptr, unpack_limits);
    const bool has_trailing_bytes = parsed_bytes != datagram.size();
    if (has_trailing_bytes) return failed(wire_fault::undecodable);
    return decode_root(cluster_name, handle.get());
  } catch (const std::exception&) {  // from msgpack: malformed data, unexpected types or exceeded limits
    return failed(wire_fault::undecodable);
  }
}

}  // namespace marblewharf::membership
