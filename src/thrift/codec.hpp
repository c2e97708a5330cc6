// Encodes and decodes the platform's messages in Thrift's strict binary protocol with framed transport.
// Performs no I/O.
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

// The frame cannot be decoded at all, so the position of the next frame in the stream is uncertain.
struct bad_frame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using field_map = std::map<std::string, std::string, std::less<>>;

// Thrift's codes for the types of a TApplicationException.
enum class app_error : std::int32_t { unknown_method = 1, invalid_message = 2, internal = 6, protocol = 7 };

// A request.
struct execute {
  field_map fields;
  std::string body;
};
// Cancels the request that was sent with this sequence number.
struct interrupt {
  std::int32_t seqid = 0;
};
// A health check.
struct check {
  bool probe = false;
};
// A message whose header could be decoded but whose arguments could not, or that names an unknown method. Its
// sender gets an exception as the reply.
struct undecodable {
  app_error error{};
  std::string text;
  bool answerable = true;  // false for a oneway message, which never gets a reply
};
// The head of a message. `method` is valid as long as the payload.
struct message_header {
  std::string_view method;
  std::int32_t seqid = 0;
  bool answerable = true;  // false for a oneway message, which never gets a reply
};
struct message {
  std::int32_t seqid = 0;
  std::variant<execute, interrupt, check, undecodable> content;
};

struct frame {
  std::string_view payload;
  std::size_t size = 0;  // size of the payload with its length prefix, in bytes
};

// Returns the first frame in `bytes`, or nullopt while it is incomplete. Throws bad_frame if the length
// prefix is 0 or exceeds the limit.
std::optional<frame> next_frame(std::string_view bytes, const limits& bounds);

// Decodes only the header of a payload. Allocates no memory for a valid one. Returns nullopt if the header is
// invalid.
std::optional<message_header> find_header(std::string_view payload);

// Decodes the payload of a frame. Throws bad_frame if the message header is invalid.
message decode(std::string_view payload, const limits& bounds);

// Each function returns a complete frame.
std::string encode_served(std::int32_t seqid, std::string_view body);
std::string encode_health(std::int32_t seqid, bool healthy);
std::string encode_overloaded(std::int32_t seqid, const field_map& fields);
std::string encode_internal(std::int32_t seqid, const field_map& fields);
std::string encode_exception(std::int32_t seqid, std::string_view method, app_error error,
                             std::string_view text);
std::string encode_closing();

}  // namespace marblewharf::thrift
