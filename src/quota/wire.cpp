#include "quota/wire.hpp"

#include <cmath>
#include <msgpack.hpp>

namespace marblewharf::quota {

namespace {

struct wire_entry {
  double held = 0, demand = 0, leased = 0;
  MSGPACK_DEFINE(held, demand, leased)
};

struct wire_message {
  std::string cluster_name;
  std::uint32_t version = 0;
  std::uint8_t kind = 0;
  std::string sender;
  std::uint64_t term = 0, sequence = 0, session = 0, config_digest = 0;
  std::vector<wire_entry> entries;
  bool sender_is_leader = false;
  std::string reply_to;
  MSGPACK_DEFINE(cluster_name, version, kind, sender, term, sequence, session, config_digest, entries,
                 sender_is_leader, reply_to)
};

// Positions of the elements that are read before the structure of the message has been checked, and the total
// number of elements.
constexpr std::uint32_t cluster_name_element = 0;
constexpr std::uint32_t version_element = 1;
constexpr std::uint32_t kind_element = 2;
constexpr std::uint32_t header_elements = 3;
constexpr std::uint32_t all_elements = 11;

constexpr std::size_t max_datagram_bytes = 1400;

// Limits the memory that the decoder allocates for one datagram.
const msgpack::unpack_limit unpack_limits(/*array*/ 256, /*map*/ 0, /*str*/ max_datagram_bytes, /*bin*/ 0,
                                          /*ext*/ 0, /*depth*/ 4);

bool is_known_kind(std::uint8_t value) {
  switch (static_cast<message_kind>(value)) {
    case message_kind::vote_request:
    case message_kind::vote_granted:
    case message_kind::vote_refused:
    case message_kind::quota_request:
    case message_kind::quota_grant:
    case message_kind::renew_hint: return true;
  }
  return false;
}

bool is_quota_message(const msgpack::object& root) {
  if (root.type != msgpack::type::ARRAY || root.via.array.size < header_elements) return false;
  const msgpack::object& kind = root.via.array.ptr[kind_element];
  return kind.type == msgpack::type::POSITIVE_INTEGER &&
         kind.via.u64 >= static_cast<std::uint8_t>(message_kind::vote_request);
}

// A share that is not finite or negative would reduce the allocator's sum of commitments, so that other nodes
// could be granted too much.
bool is_valid(const wire_entry& entry) {
  return std::isfinite(entry.held) && std::isfinite(entry.demand) && entry.held >= 0 && entry.demand >= 0 &&
         entry.leased >= 0 && entry.leased <= entry.held;
}

std::optional<message> from_wire(const wire_message& wire) {
  if (!is_known_kind(wire.kind) || wire.entries.size() > max_quotas_per_message) return std::nullopt;
  message content;
  content.kind = static_cast<message_kind>(wire.kind);
  content.sender = wire.sender;
  content.term = wire.term;
  content.sequence = wire.sequence;
  content.session = wire.session;
  content.config_digest = wire.config_digest;
  content.sender_is_leader = wire.sender_is_leader;
  content.reply_to = wire.reply_to;
  for (const wire_entry& entry : wire.entries) {
    if (!is_valid(entry)) return std::nullopt;
    content.entries.push_back({entry.held, entry.demand, entry.leased});
  }
  return content;
}

wire_message to_wire(const std::string& cluster_name, const message& content) {
  wire_message wire;
  wire.cluster_name = cluster_name;
  wire.version = wire_version;
  wire.kind = static_cast<std::uint8_t>(content.kind);
  wire.sender = content.sender;
  wire.term = content.term;
  wire.sequence = content.sequence;
  wire.session = content.session;
  wire.config_digest = content.config_digest;
  wire.sender_is_leader = content.sender_is_leader;
  wire.reply_to = content.reply_to;
  for (const quota_entry& entry : content.entries)
    wire.entries.push_back({entry.held, entry.demand, entry.leased});
  return wire;
}

decoded failed(wire_fault fault) {
  return {std::nullopt, fault};
}

// Throws msgpack's exception if an element has an unexpected type.
decoded decode_root(const std::string& cluster_name, const msgpack::object& root, bool has_trailing_bytes) {
  if (!is_quota_message(root)) return failed(wire_fault::other_kind);
  const msgpack::object* const elements = root.via.array.ptr;
  if (elements[cluster_name_element].as<std::string>() != cluster_name)
    return failed(wire_fault::other_cluster);
  if (elements[version_element].as<std::uint32_t>() != wire_version) return failed(wire_fault::version);
  if (has_trailing_bytes || root.via.array.size != all_elements) return failed(wire_fault::undecodable);
  std::optional<message> content = from_wire(root.as<wire_message>());
  if (!content) return failed(wire_fault::undecodable);
  return {std::move(content), wire_fault::none};
}

}  // namespace

std::string encode(const std::string& cluster_name, const message& content) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, to_wire(cluster_name, content));
  return {buffer.data(), buffer.size()};
}

decoded decode(const std::string& cluster_name, std::string_view datagram) {
  try {
    std::size_t parsed_bytes = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(datagram.data(), datagram.size(), parsed_bytes, nullptr, nullptr, unpack_limits);
    return decode_root(cluster_name, handle.get(), parsed_bytes != datagram.size());
  } catch (const std::exception&) {
    return failed(wire_fault::other_kind);  // membership counts datagrams that neither protocol can decode
  }
}

}  // namespace marblewharf::quota
