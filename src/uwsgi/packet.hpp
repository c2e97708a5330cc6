// The uwsgi protocol: a binary header, little-endian vars and a body of CONTENT_LENGTH bytes one way, an
// HTTP-shaped response the other. Bytes to typed values and back; no sockets here.
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

// The text says what is wrong; the status is what the sender is told.
struct bad_packet : std::runtime_error {
  bad_packet(unsigned code, const std::string& why) : std::runtime_error(why), status(code) {}
  unsigned status;
};

struct packet {
  std::vector<std::pair<std::string, std::string>> vars;
  std::string_view body;
  std::string_view whole;  // header, vars and body, as they came

  // The value of a var; none where it was not sent.
  std::optional<std::string_view> find(std::string_view name) const;
};

// The packet at the front of what has come in; none while it is not whole. Throws bad_packet.
std::optional<packet> next_packet(std::string_view bytes, const limits& bounds);

std::string encode_packet(const std::vector<std::pair<std::string, std::string>>& vars,
                          std::string_view body);

// A whole response with no body but a line that names its status.
std::string encode_response(unsigned status, const std::string& more_headers = {});

struct bad_response : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct response_head {
  unsigned status = 0;
  std::size_t size = 0;                // of the head
  std::optional<std::size_t> content;  // length of the body; none: up to the end of the connection
  std::optional<std::chrono::seconds> retry_after;  // where it says a number of them
};

// The head of a response; none while it is not whole. Throws bad_response.
std::optional<response_head> read_head(std::string_view bytes, const limits& bounds);

}  // namespace marblewharf::uwsgi
