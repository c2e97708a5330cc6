// The platform's messages in Thrift's strict binary protocol with framed transport: bytes to typed values and
// back. No sockets here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "config/limits.hpp"

namespace marblewharf::thrift {

// The frame cannot be read at all: its sender and we no longer agree on where messages begin.
struct bad_frame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using field_map = std::map<std::string, std::string, std::less<>>;

// The numbers that Thrift gives to the errors of its application exceptions.
enum class app_error : std::int32_t { unknown_method = 1, invalid_message = 2, internal = 6, protocol = 7 };

struct execute {
  field_map fields;
  std::string body;
};
struct interrupt {
  std::int32_t seqid = 0;
};
struct check {
  bool probe = false;
};
// Its head could be read and the rest could not, or no such method exists: only its sender is told.
struct undecodable {
  app_error why{};
  std::string text;
  bool answerable = true;  // false for a oneway message, which never gets a reply
};
struct message {
  std::int32_t seqid = 0;
  std::variant<execute, interrupt, check, undecodable> content;
};

struct frame {
  std::string_view payload;
  std::size_t size = 0;  // with its length
};

// The first frame of what has come in; none while it is not whole. Throws bad_frame for a length that no
// message has.
std::optional<frame> next_frame(std::string_view bytes, const limits& bounds);

// Throws bad_frame where not even the head can be read.
message decode(std::string_view payload, const limits& bounds);

// Whole frames.
std::string encode_served(std::int32_t seqid, std::string_view body);
std::string encode_health(std::int32_t seqid, bool good);
std::string encode_overloaded(std::int32_t seqid, const field_map& fields);
std::string encode_internal(std::int32_t seqid, const field_map& fields);
std::string encode_exception(std::int32_t seqid, std::string_view method, app_error why,
                             std::string_view text);
std::string encode_closing();

}  // namespace marblewharf::thrift
