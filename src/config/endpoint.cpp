#include "config/endpoint.hpp"

#include <charconv>
#include <limits>

namespace marblewharf {

std::string name_of(const endpoint& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::optional<endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const char* parsed_to = std::from_chars(text.data() + colon + 1, end, port).ptr;
  if (parsed_to != end || port > std::numeric_limits<std::uint16_t>::max()) return std::nullopt;
  return endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

}  // namespace marblewharf
