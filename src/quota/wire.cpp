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
  std::string fleet;
  std::uint32_t version = 0;
  std::uint8_t what = 0;
  std::string from;
  std::uint64_t term = 0, sequence = 0, session = 0, digest = 0;
  std::vector<wire_entry> entries;
  bool leading = false;
  std::string answer_to;
  MSGPACK_DEFINE(fleet, version, what, from, term, sequence, session, digest, entries, leading, answer_to)
};

constexpr std::uint32_t elements = 11;
constexpr std::size_t datagram_most = 1400;

// Bounds on what one datagram may ask the decoder to build: a crafted one cannot make it allocate much.
const msgpack::unpack_limit bounds(/*array*/ 256, /*map*/ 0, /*str*/ datagram_most, /*bin*/ 0, /*ext*/ 0,
                                   /*depth*/ 4);

bool known(std::uint8_t what) {
  switch (static_cast<kind>(what)) {
    case kind::ask:
    case kind::promise:
    case kind::refusal:
    case kind::request:
    case kind::grant:
    case kind::poke: return true;
  }
  return false;
}

}  // namespace

std::string encode(const std::string& fleet, const message& m) {
  wire_message w{fleet,     wire_version, static_cast<std::uint8_t>(m.what),
                 m.from,    m.term,       m.sequence,
                 m.session, m.digest,     {},
                 m.leading, m.answer_to};
  for (const entry& e : m.entries) w.entries.push_back({e.held, e.demand, e.leased});
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, w);
  return {buffer.data(), buffer.size()};
}

decoded decode(const std::string& fleet, std::string_view datagram) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(datagram.data(), datagram.size(), offset, nullptr, nullptr, bounds);
    const msgpack::object& o = handle.get();
    if (o.type != msgpack::type::ARRAY || o.via.array.size < 3 ||
        o.via.array.ptr[2].type != msgpack::type::POSITIVE_INTEGER ||
        o.via.array.ptr[2].via.u64 < static_cast<std::uint8_t>(kind::ask))
      return {std::nullopt, wire_fault::not_ours};
    if (o.via.array.ptr[0].as<std::string>() != fleet) return {std::nullopt, wire_fault::foreign};
    if (o.via.array.ptr[1].as<std::uint32_t>() != wire_version) return {std::nullopt, wire_fault::version};
    if (offset != datagram.size() || o.via.array.size != elements)
      return {std::nullopt, wire_fault::undecodable};
    const auto w = o.as<wire_message>();
    if (!known(w.what) || w.entries.size() > budgets_most) return {std::nullopt, wire_fault::undecodable};
    message m{static_cast<kind>(w.what),
              w.from,
              w.term,
              w.sequence,
              w.session,
              w.digest,
              {},
              w.leading,
              w.answer_to};
    for (const wire_entry& e : w.entries) {
      // Guards the books: no number that is none, and no share below zero that would make room for others.
      if (!std::isfinite(e.held) || !std::isfinite(e.demand) || e.held < 0 || e.demand < 0 ||
          !(e.leased >= 0) || e.leased > e.held)
        return {std::nullopt, wire_fault::undecodable};
      m.entries.push_back({e.held, e.demand, e.leased});
    }
    return {std::move(m), wire_fault::none};
  } catch (const std::exception&) {
    return {std::nullopt, wire_fault::not_ours};  // membership counts it, if it cannot read it either
  }
}

}  // namespace marblewharf::quota
