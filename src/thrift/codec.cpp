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
constexpr std::size_t length_prefix_size = 4;
constexpr unsigned max_skip_depth = 16;  // bounds the recursion, and so the stack, while a value is skipped

struct truncated : std::runtime_error {
  truncated() : std::runtime_error("cut short") {}
};
struct malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The header of a struct field, by which a reader recognizes the fields that it supports.
struct field_header {
  std::int16_t id = 0;
  type kind{};
  bool operator==(const field_header&) const = default;
};

// Reads values of the protocol's types. Throws `truncated` at the end of the payload, and `malformed` for a
// type that is unknown or nested too deeply. The texts of both are sent to the client.
class reader {
 public:
  explicit reader(std::string_view payload) : bytes_(payload) {}

  std::string_view take(std::size_t count) {
    const std::optional<std::string_view> taken = bytes_.take(count);
    if (!taken) throw truncated();
    return *taken;
  }
  std::uint8_t u8() { return integer<std::uint8_t>(); }
  std::int16_t i16() { return static_cast<std::int16_t>(integer<std::uint16_t>()); }
  std::uint32_t u32() { return integer<std::uint32_t>(); }
  std::int32_t i32() { return static_cast<std::int32_t>(u32()); }
  type kind() { return static_cast<type>(u8()); }
  std::string_view string() { return take(u32()); }
  bool at_end() const { return bytes_.at_end(); }

  // Skips a value of the given type.
  void skip(type skipped_type, unsigned depth = 0) {
    if (depth > max_skip_depth) throw malformed("nested too deeply");
    switch (skipped_type) {
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
        for (std::uint32_t remaining = u32(); remaining > 0; --remaining) {
          skip(key, depth + 1);
          skip(item, depth + 1);
        }
        return;
      }
      case type::set:
      case type::list: {
        const type item = kind();
        for (std::uint32_t remaining = u32(); remaining > 0; --remaining) skip(item, depth + 1);
        return;
      }
      case type::stop: break;
    }
    throw malformed("unknown type " + std::to_string(static_cast<unsigned>(skipped_type)));
  }

  // Reads the header of the next field; nullopt at the end of the struct.
  std::optional<field_header> next_field() {
    const type field_type = kind();
    if (field_type == type::stop) return std::nullopt;
    return field_header{i16(), field_type};
  }

 private:
  template <typename Integer>
  Integer integer() {
    return bytes::from_big_endian<Integer>(take(sizeof(Integer)));
  }

  bytes::byte_reader bytes_;
};

message_header read_header(reader& in) {
  message_header header;
  message_type received_type{};
  try {
    const std::uint32_t version_and_type = in.u32();
    if ((version_and_type & version_mask) != version_1)
      throw bad_frame("message is not in the strict binary protocol");
    received_type = static_cast<message_type>(version_and_type & 0xff);
    header.method = in.string();
    header.seqid = in.i32();
  } catch (const truncated&) {
    throw bad_frame("incomplete message header");
  }
  if (received_type != message_type::call && received_type != message_type::oneway)
    throw bad_frame("message has the unexpected type " +
                    std::to_string(static_cast<unsigned>(received_type)));
  header.answerable = received_type == message_type::call;
  return header;
}

field_map read_fields(reader& in, const limits& bounds) {
  const type key = in.kind();
  const type item = in.kind();
  const std::uint32_t count = in.u32();
  if (count > bounds.max_fields)
    throw malformed("more than " + std::to_string(bounds.max_fields) + " fields");
  if (count > 0 && (key != type::string || item != type::string)) throw malformed("fields that are no text");
  field_map fields;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string_view name = in.string();
    if (!fields.emplace(name, in.string()).second) throw malformed("a field given twice");
  }
  return fields;
}

execute read_execute(reader& in, const limits& bounds) {
  execute message;
  bool have_fields = false;
  bool have_body = false;
  while (const auto field = in.next_field()) {
    if (*field == field_header{1, type::map}) {
      message.fields = read_fields(in, bounds);
      have_fields = true;
    } else if (*field == field_header{2, type::string}) {
      const std::string_view body = in.string();
      if (body.size() > bounds.max_body_bytes)
        throw malformed("a body of " + std::to_string(body.size()) + " bytes");
      message.body = body;
      have_body = true;
    } else {
      in.skip(field->kind);
    }
  }
  if (!have_fields || !have_body) throw malformed("no fields or no body");
  return message;
}

interrupt read_interrupt(reader& in) {
  std::optional<interrupt> message;
  while (const auto field = in.next_field()) {
    if (*field == field_header{1, type::i32}) {
      message = interrupt{in.i32()};
    } else {
      in.skip(field->kind);
    }
  }
  if (!message) throw malformed("no sequence number");
  return *message;
}

check read_check(reader& in) {
  check message;
  while (const auto field = in.next_field()) {
    if (*field == field_header{1, type::boolean}) {
      message.probe = in.u8() != 0;
    } else {
      in.skip(field->kind);
    }
  }
  return message;
}

class writer {
 public:
  writer(message_type sent_type, std::string_view method, std::int32_t seqid) {
    out_.assign(length_prefix_size, '\0');
    u32(version_1 | static_cast<std::uint32_t>(sent_type));
    string(method);
    i32(seqid);
  }

  void u8(std::uint8_t value) { out_.push_back(static_cast<char>(value)); }
  void u32(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) u8(static_cast<std::uint8_t>(value >> shift));
  }
  void i32(std::int32_t value) { u32(static_cast<std::uint32_t>(value)); }
  void string(std::string_view text) {
    u32(static_cast<std::uint32_t>(text.size()));
    out_ += text;
  }
  void field(std::uint8_t id, type field_type) {
    u8(static_cast<std::uint8_t>(field_type));
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
  void answer(std::string_view body, bool healthy) {
    field(0, type::structure);
    field(1, type::string);
    string(body);
    fields(2, {});
    field(3, type::boolean);
    u8(healthy ? 1 : 0);
    stop();
    stop();
  }

  std::string frame() && {
    const auto size = static_cast<std::uint32_t>(out_.size() - length_prefix_size);
    for (std::size_t i = 0; i < length_prefix_size; ++i)
      out_[i] = static_cast<char>(static_cast<std::uint8_t>(size >> (24 - 8 * i)));
    return std::move(out_);
  }

 private:
  std::string out_;
};

std::string encode_declared_exception(std::int32_t seqid, std::uint8_t id, const field_map& fields) {
  writer out(message_type::reply, "execute", seqid);
  out.field(id, type::structure);
  out.fields(1, fields);
  out.stop();
  out.stop();
  return std::move(out).frame();
}

}  // namespace

std::optional<frame> next_frame(std::string_view bytes, const limits& bounds) {
  if (bytes.size() < length_prefix_size) return std::nullopt;
  const auto size = bytes::from_big_endian<std::uint32_t>(bytes.substr(0, length_prefix_size));
  if (size == 0 || size > bounds.max_frame_bytes)
    throw bad_frame("frame length " + std::to_string(size) + " is out of range");
  if (bytes.size() - length_prefix_size < size) return std::nullopt;
  return frame{bytes.substr(length_prefix_size, size), length_prefix_size + size};
}

std::optional<message_header> find_header(std::string_view payload) {
  reader in(payload);
  try {
    return read_header(in);
  } catch (const bad_frame&) {
    return std::nullopt;
  }
}

message decode(std::string_view payload, const limits& bounds) {
  reader in(payload);
  const message_header header = read_header(in);
  message decoded;
  decoded.seqid = header.seqid;
  const bool answerable = header.answerable;
  try {
    if (header.method == "execute" && answerable) {
      decoded.content = read_execute(in, bounds);
    } else if (header.method == "interrupt") {
      decoded.content = read_interrupt(in);
    } else if (header.method == "check" && answerable) {
      decoded.content = read_check(in);
    } else {
      decoded.content = undecodable{app_error::unknown_method, "unknown method", answerable};
      return decoded;
    }
    if (!in.at_end()) throw malformed("something after the arguments");
  } catch (const truncated& error) {
    decoded.content = undecodable{app_error::protocol, error.what(), answerable};
  } catch (const malformed& error) {
    decoded.content = undecodable{app_error::protocol, error.what(), answerable};
  }
  return decoded;
}

std::string encode_served(std::int32_t seqid, std::string_view body) {
  writer out(message_type::reply, "execute", seqid);
  out.answer(body, true);
  return std::move(out).frame();
}

std::string encode_health(std::int32_t seqid, bool healthy) {
  writer out(message_type::reply, "check", seqid);
  out.answer({}, healthy);
  return std::move(out).frame();
}

std::string encode_overloaded(std::int32_t seqid, const field_map& fields) {
  return encode_declared_exception(seqid, 1, fields);
}

std::string encode_internal(std::int32_t seqid, const field_map& fields) {
  return encode_declared_exception(seqid, 2, fields);
}

std::string encode_exception(std::int32_t seqid, std::string_view method, app_error error,
                             std::string_view text) {
  writer out(message_type::exception, method, seqid);
  out.field(1, type::string);
  out.string(text);
  out.field(2, type::i32);
  out.i32(static_cast<std::int32_t>(error));
  out.stop();
  return std::move(out).frame();
}

std::string encode_closing() {
  writer out(message_type::oneway, "closing", 0);
  out.stop();
  return std::move(out).frame();
}

}  // namespace marblewharf::thrift
