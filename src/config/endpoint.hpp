// Network addresses as configuration files write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace marblewharf {

// A TCP or UDP address, not resolved yet.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const endpoint&) const = default;
};

// Reads "host:port"; the last colon parts them. None where the text is anything else.
std::optional<endpoint> parse_endpoint(const std::string& text);

}  // namespace marblewharf
