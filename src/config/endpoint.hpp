// Network addresses in the form used by configuration files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace marblewharf {

// An unresolved TCP or UDP address.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const endpoint&) const = default;
};

// The endpoint as "host:port".
std::string name_of(const endpoint& address);

// Parses "host:port", split at the last colon. Returns no value for any other text.
std::optional<endpoint> parse_endpoint(const std::string& text);

}  // namespace marblewharf
