// Encodes and decodes the uwsgi protocol. A request is a binary header, vars with little-endian lengths and a
// body of CONTENT_LENGTH bytes; a response has the format of HTTP/1. Performs no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/limits.hpp"

namespace marblewharf::uwsgi {

// what() describes the fault; `status` is the HTTP status to send to the client.
struct bad_packet : std::runtime_error {
  bad_packet(unsigned http_status, const std::string& description)
      : std::runtime_error(description), status(http_status) {}
  unsigned status;
};

struct packet {
  std::vector<std::pair<std::string, std::string>> vars;
  std::string_view body;
  std::string_view bytes;  // header, vars and body, as received

  // The value of a var; nullopt if the packet does not have it.
  std::optional<std::string_view> find(std::string_view name) const;
};

// Returns the packet at the start of `bytes`, or nullopt while it is incomplete. Throws bad_packet. The views
// in the packet refer to `bytes`.
std::optional<packet> next_packet(std::string_view bytes, const limits& bounds);

// Encodes a request packet.
std::string encode_packet(const std::vector<std::pair<std::string, std::string>>& vars,
                          std::string_view body);

// Encodes a complete response whose body is one line with the status code and reason phrase.
std::string encode_response(unsigned status, const std::string& more_headers = {});

// what() says why the response is invalid.
struct bad_response : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct response_head {
  unsigned status = 0;
  std::size_t size = 0;                       // size of the head in bytes
  std::optional<std::size_t> content_length;  // length of the body; empty: the body ends with the connection
  std::optional<std::chrono::seconds> retry_after;  // empty if absent or not a number of seconds
};

// Decodes the head of a response; nullopt while it is incomplete. Throws bad_response.
std::optional<response_head> decode_response_head(std::string_view bytes, const limits& bounds);

}  // namespace marblewharf::uwsgi
