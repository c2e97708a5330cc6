#include "uwsgi/packet.hpp"

#include <algorithm>
#include <charconv>

#include "bytes/byte_reader.hpp"

namespace marblewharf::uwsgi {
namespace {

constexpr std::size_t header_size = 4;
constexpr std::size_t length_size = 2;
constexpr unsigned bad_request = 400;
constexpr unsigned content_too_large = 413;

std::size_t read_length(std::string_view encoded) {
  return bytes::from_little_endian<std::uint16_t>(encoded.substr(0, length_size));
}

void append_length(std::string& out, std::size_t value) {
  out.push_back(static_cast<char>(value & 0xff));
  out.push_back(static_cast<char>(value >> 8 & 0xff));
}

std::string_view take_text(std::string_view& block) {
  if (block.size() < length_size) throw bad_packet(bad_request, "var is truncated");
  const std::size_t size = read_length(block);
  block.remove_prefix(length_size);
  if (size > block.size()) throw bad_packet(bad_request, "var is longer than the rest of the block of vars");
  const std::string_view text = block.substr(0, size);
  block.remove_prefix(size);
  return text;
}

std::optional<std::size_t> to_count(std::string_view digits) {
  std::size_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto [parse_end, error] = std::from_chars(digits.data(), end, value);
  if (digits.empty() || error != std::errc{} || parse_end != end) return std::nullopt;
  return value;
}

const char* reason_phrase(unsigned status) {
  switch (status) {
    case 400: return "Bad Request";
    case 409: return "Conflict";
    case 422: return "Unprocessable Content";
    case 413: return "Content Too Large";
    case 500: return "Internal Server Error";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Unknown";
  }
}

// Compares a header name, ignoring case, with a name in lower case.
bool is_header(std::string_view name, std::string_view lower_case) {
  return name.size() == lower_case.size() &&
         std::equal(name.begin(), name.end(), lower_case.begin(), [](char x, char y) {
           return (x >= 'A' && x <= 'Z' ? static_cast<char>(x - 'A' + 'a') : x) == y;
         });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::optional<std::string_view> packet::find(std::string_view name) const {
  for (const auto& [key, value] : vars) {
    if (key == name) return value;
  }
  return std::nullopt;
}

std::optional<packet> next_packet(std::string_view bytes, const limits& bounds) {
  if (bytes.size() < header_size) return std::nullopt;
  if (bytes[0] != 0)
    throw bad_packet(bad_request,
                     "unsupported modifier1 " + std::to_string(static_cast<std::uint8_t>(bytes[0])));
  const std::size_t size = read_length(bytes.substr(1));
  if (size > bounds.max_uwsgi_vars_bytes)
    throw bad_packet(content_too_large, "block of vars is too long: " + std::to_string(size) + " bytes");
  if (bytes.size() < header_size + size) return std::nullopt;
  packet decoded;
  std::string_view block = bytes.substr(header_size, size);
  while (!block.empty()) {
    const std::string_view name = take_text(block);
    decoded.vars.emplace_back(name, take_text(block));
  }
  std::size_t content_length = 0;
  if (const auto digits = decoded.find("CONTENT_LENGTH"); digits && !digits->empty()) {
    const auto count = to_count(*digits);
    if (!count) throw bad_packet(bad_request, "CONTENT_LENGTH is not an unsigned integer");
    content_length = *count;
  }
  if (content_length > bounds.max_body_bytes)
    throw bad_packet(content_too_large, "body is too long: " + std::to_string(content_length) + " bytes");
  if (bytes.size() < header_size + size + content_length) return std::nullopt;
  decoded.bytes = bytes.substr(0, header_size + size + content_length);
  decoded.body = decoded.bytes.substr(header_size + size);
  return decoded;
}

std::string encode_packet(const std::vector<std::pair<std::string, std::string>>& vars,
                          std::string_view body) {
  std::string block;
  for (const auto& [name, value] : vars) {
    append_length(block, name.size());
    block += name;
    append_length(block, value.size());
    block += value;
  }
  std::string out(1, '\0');
  append_length(out, block.size());
  out.push_back('\0');
  return out.append(block).append(body);
}

std::string encode_response(unsigned status, const std::string& more_headers) {
  const std::string line = std::to_string(status) + " " + reason_phrase(status);
  const std::string body = line + "\n";
  return "HTTP/1.1 " + line +
         "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         more_headers + "\r\n" + body;
}

std::optional<response_head> decode_response_head(std::string_view bytes, const limits& bounds) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (bytes.size() > bounds.max_response_head_bytes) throw bad_response("response head is too long");
    return std::nullopt;
  }
  if (end > bounds.max_response_head_bytes)
    throw bad_response("response head is too long: " + std::to_string(end) + " bytes");
  response_head head;
  head.size = end + 4;
  std::string_view lines = bytes.substr(0, end + 2);
  const std::string_view status_line = lines.substr(0, lines.find("\r\n"));
  const std::size_t space = status_line.find(' ');
  const std::size_t status =
      space == std::string_view::npos ? 0 : to_count(status_line.substr(space + 1, 3)).value_or(0);
  if (!status_line.starts_with("HTTP/1.") || status < 100 || status > 599)
    throw bad_response("invalid status line");
  head.status = static_cast<unsigned>(status);
  while (true) {
    lines.remove_prefix(std::min(lines.size(), lines.find("\r\n") + 2));
    if (lines.empty()) return head;
    const std::string_view line = lines.substr(0, lines.find("\r\n"));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    if (is_header(line.substr(0, colon), "retry-after")) {
      constexpr std::size_t max_retry_after_s = 86400;
      if (const auto seconds = to_count(trimmed(line.substr(colon + 1))))
        head.retry_after = std::chrono::seconds(std::min(*seconds, max_retry_after_s));
    }
    if (!is_header(line.substr(0, colon), "content-length")) continue;
    const std::optional<std::size_t> length = to_count(trimmed(line.substr(colon + 1)));
    if (!length) throw bad_response("Content-Length is not an unsigned integer");
    if (head.content_length && head.content_length != length)
      throw bad_response("several values of Content-Length");
    head.content_length = length;
  }
}

}  // namespace marblewharf::uwsgi
