// The one place where the configuration is read, checked and given defaults.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "config/limits.hpp"
#include "wrenrill/policy.hpp"

namespace marblewharf {

// The text names the key at fault.
struct bad_config : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct endpoint {
  std::string host;
  std::uint16_t port = 0;
};

struct config {
  std::string name;
  endpoint listen;
  endpoint runtime;
  endpoint directory;
  std::uint64_t seed = 0;
  limits bounds;
  wrenrill::settings settings;
};

// Reads the text of a configuration file.
config read_config(const std::string& text);

// Reads the file that PROXY_CONFIG names.
config load_config();

}  // namespace marblewharf
