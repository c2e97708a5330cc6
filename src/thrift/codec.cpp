#include "thrift/codec.hpp"

#include <utility>

#include "bytes/byte_reader.hpp"

namespace marblewharf::thrift {
namespace {

enum class message_type : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };
enum class type : std::uint8_t {
  stop = 0,
  boolean = 2,
  byte = 3,
  real = 4,
  i16 = 6,
  i32 = 8,
  i64 = 10,
  string = 11,
  structure = 12,
  map = 13,
  set = 14,
  list = 15,
};

constexpr std::uint32_t version_1 = 0x80010000;
constexpr std::uint32_t version_mask = 0xffff0000;
constexpr std::size_t length_size = 4;
constexpr unsigned deepest = 16;  // of what is skipped: guards the stack

struct cut_short : std::runtime_error {
  cut_short() : std::runtime_error("cut short") {}
};
struct wrong : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A field of a struct, by which its reader tells whether it is one it knows.
struct field_head {
  std::int16_t id = 0;
  type kind{};
  bool operator==(const field_head&) const = default;
};

// Reads the protocol's types; throws cut_short, or wrong for a type that is unknown or nested too deeply.
class reader {
 public:
  explicit reader(std::string_view payload) : bytes_(payload) {}

  std::string_view take(std::size_t count) {
    const std::optional<std::string_view> taken = bytes_.take(count);
    if (!taken) throw cut_short();
    return *taken;
  }
  std::uint8_t u8() { return integer<std::uint8_t>(); }
  std::int16_t i16() { return static_cast<std::int16_t>(integer<std::uint16_t>()); }
  std::uint32_t u32() { return integer<std::uint32_t>(); }
  std::int32_t i32() { return static_cast<std::int32_t>(u32()); }
  type kind() { return static_cast<type>(u8()); }
  std::string_view string() { return take(u32()); }
  bool at_end() const { return bytes_.at_end(); }

  // Reads past a value of this type.
  void skip(type skipped, unsigned depth = 0) {
    if (depth > deepest) throw wrong("nested too deeply");
    switch (skipped) {
      case type::boolean:
      case type::byte: take(1); return;
      case type::i16: take(2); return;
      case type::i32: take(4); return;
      case type::real:
      case type::i64: take(8); return;
      case type::string: string(); return;
      case type::structure:
        while (const auto field = next_field()) skip(field->kind, depth + 1);
        return;
      case type::map: {
        const type key = kind();
        const type item = kind();
        for (std::uint32_t left = u32(); left > 0; --left) {
          skip(key, depth + 1);
          skip(item, depth + 1);
        }
        return;
      }
      case type::set:
      case type::list: {
        const type item = kind();
        for (std::uint32_t left = u32(); left > 0; --left) skip(item, depth + 1);
        return;
      }
      case type::stop: break;
    }
    throw wrong("unknown type " + std::to_string(static_cast<unsigned>(skipped)));
  }

  // The head of the next field; none at the end of the struct.
  std::optional<field_head> next_field() {
    const type found = kind();
    if (found == type::stop) return std::nullopt;
    return field_head{i16(), found};
  }

 private:
  template <typename Integer>
  Integer integer() {
    return bytes::from_big_endian<Integer>(take(sizeof(Integer)));
  }

  bytes::byte_reader bytes_;
};

field_map read_fields(reader& in, const limits& bounds) {
  const type key = in.kind();
  const type item = in.kind();
  const std::uint32_t count = in.u32();
  if (count > bounds.fields) throw wrong("more than " + std::to_string(bounds.fields) + " fields");
  if (count > 0 && (key != type::string || item != type::string)) throw wrong("fields that are no text");
  field_map fields;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string_view name = in.string();
    if (!fields.emplace(name, in.string()).second) throw wrong("a field given twice");
  }
  return fields;
}

execute read_execute(reader& in, const limits& bounds) {
  execute e;
  bool have_fields = false;
  bool have_body = false;
  while (const auto field = in.next_field()) {
    if (*field == field_head{1, type::map}) {
      e.fields = read_fields(in, bounds);
      have_fields = true;
    } else if (*field == field_head{2, type::string}) {
      const std::string_view body = in.string();
      if (body.size() > bounds.body) throw wrong("a body of " + std::to_string(body.size()) + " bytes");
      e.body = body;
      have_body = true;
    } else {
      in.skip(field->kind);
    }
  }
  if (!have_fields || !have_body) throw wrong("no fields or no body");
  return e;
}

interrupt read_interrupt(reader& in) {
  std::optional<interrupt> found;
  while (const auto field = in.next_field()) {
    if (*field == field_head{1, type::i32}) {
      found = interrupt{in.i32()};
    } else {
      in.skip(field->kind);
    }
  }
  if (!found) throw wrong("no sequence number");
  return *found;
}

check read_check(reader& in) {
  check c;
  while (const auto field = in.next_field()) {
    if (*field == field_head{1, type::boolean}) {
      c.probe = in.u8() != 0;
    } else {
      in.skip(field->kind);
    }
  }
  return c;
}

class writer {
 public:
  writer(message_type t, std::string_view method, std::int32_t seqid) {
    out_.assign(length_size, '\0');
    u32(version_1 | static_cast<std::uint32_t>(t));
    string(method);
    i32(seqid);
  }

  void u8(std::uint8_t v) { out_.push_back(static_cast<char>(v)); }
  void u32(std::uint32_t v) {
    for (int shift = 24; shift >= 0; shift -= 8) u8(static_cast<std::uint8_t>(v >> shift));
  }
  void i32(std::int32_t v) { u32(static_cast<std::uint32_t>(v)); }
  void string(std::string_view v) {
    u32(static_cast<std::uint32_t>(v.size()));
    out_ += v;
  }
  void field(std::uint8_t id, type t) {
    u8(static_cast<std::uint8_t>(t));
    u8(0);
    u8(id);
  }
  void stop() { u8(static_cast<std::uint8_t>(type::stop)); }
  void fields(std::uint8_t id, const field_map& values) {
    field(id, type::map);
    u8(static_cast<std::uint8_t>(type::string));
    u8(static_cast<std::uint8_t>(type::string));
    u32(static_cast<std::uint32_t>(values.size()));
    for (const auto& [name, value] : values) {
      string(name);
      string(value);
    }
  }
  void answer(std::string_view body, bool good) {
    field(0, type::structure);
    field(1, type::string);
    string(body);
    fields(2, {});
    field(3, type::boolean);
    u8(good ? 1 : 0);
    stop();
    stop();
  }

  std::string frame() && {
    const auto size = static_cast<std::uint32_t>(out_.size() - length_size);
    for (std::size_t i = 0; i < length_size; ++i)
      out_[i] = static_cast<char>(static_cast<std::uint8_t>(size >> (24 - 8 * i)));
    return std::move(out_);
  }

 private:
  std::string out_;
};

std::string encode_thrown(std::int32_t seqid, std::uint8_t id, const field_map& fields) {
  writer out(message_type::reply, "execute", seqid);
  out.field(id, type::structure);
  out.fields(1, fields);
  out.stop();
  out.stop();
  return std::move(out).frame();
}

}  // namespace

std::optional<frame> next_frame(std::string_view bytes, const limits& bounds) {
  if (bytes.size() < length_size) return std::nullopt;
  const auto size = bytes::from_big_endian<std::uint32_t>(bytes.substr(0, length_size));
  if (size == 0 || size > bounds.frame) throw bad_frame("a frame of " + std::to_string(size) + " bytes");
  if (bytes.size() - length_size < size) return std::nullopt;
  return frame{bytes.substr(length_size, size), length_size + size};
}

message decode(std::string_view payload, const limits& bounds) {
  reader in(payload);
  message m;
  std::string_view method;
  message_type t{};
  try {
    const std::uint32_t head = in.u32();
    if ((head & version_mask) != version_1) throw bad_frame("not the strict binary protocol");
    t = static_cast<message_type>(head & 0xff);
    method = in.string();
    m.seqid = in.i32();
  } catch (const cut_short&) {
    throw bad_frame("a message without a whole head");
  }
  if (t != message_type::call && t != message_type::oneway)
    throw bad_frame("a message of type " + std::to_string(static_cast<unsigned>(t)));
  const bool answerable = t == message_type::call;
  try {
    if (method == "execute" && answerable) {
      m.content = read_execute(in, bounds);
    } else if (method == "interrupt") {
      m.content = read_interrupt(in);
    } else if (method == "check" && answerable) {
      m.content = read_check(in);
    } else {
      m.content = undecodable{app_error::unknown_method, "unknown method", answerable};
      return m;
    }
    if (!in.at_end()) throw wrong("something after the arguments");
  } catch (const cut_short& e) {
    m.content = undecodable{app_error::protocol, e.what(), answerable};
  } catch (const wrong& e) {
    m.content = undecodable{app_error::protocol, e.what(), answerable};
  }
  return m;
}

std::string encode_served(std::int32_t seqid, std::string_view body) {
  writer out(message_type::reply, "execute", seqid);
  out.answer(body, true);
  return std::move(out).frame();
}

std::string encode_health(std::int32_t seqid, bool good) {
  writer out(message_type::reply, "check", seqid);
  out.answer({}, good);
  return std::move(out).frame();
}

std::string encode_overloaded(std::int32_t seqid, const field_map& fields) {
  return encode_thrown(seqid, 1, fields);
}

std::string encode_internal(std::int32_t seqid, const field_map& fields) {
  return encode_thrown(seqid, 2, fields);
}

std::string encode_exception(std::int32_t seqid, std::string_view method, app_error why,
                             std::string_view text) {
  writer out(message_type::exception, method, seqid);
  out.field(1, type::string);
  out.string(text);
  out.field(2, type::i32);
  out.i32(static_cast<std::int32_t>(why));
  out.stop();
  return std::move(out).frame();
}

std::string encode_closing() {
  writer out(message_type::oneway, "closing", 0);
  out.stop();
  return std::move(out).frame();
}

}  // namespace marblewharf::thrift
