// The one place where the configuration is read, checked and given defaults.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

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
  bool operator==(const endpoint&) const = default;
};

// One thing that a uwsgi request tells through a var of the operator's choice.
struct var_mapping {
  std::string var;  // empty: not sent
  // What its values mean, by name; empty: the value is the name.
  std::map<std::string, std::string, std::less<>> values;
};

// The second front, from the operator's file.
struct uwsgi_config {
  endpoint listen;
  std::vector<endpoint> servers;
  var_mapping request_class;
  var_mapping tenant;
  var_mapping cost;                  // in milliseconds on one core
  std::vector<double> default_cost;  // by class, where the var is absent; 0 = not stated
  double held_kb = 0;                // booked for each request while it is held
};

struct config {
  std::string name;
  endpoint listen;
  endpoint runtime;
  endpoint directory;
  std::uint64_t seed = 0;
  limits bounds;
  wrenrill::settings settings;
  std::optional<uwsgi_config> uwsgi;  // none: that front is off
};

// Reads the text of a configuration file.
config read_config(const std::string& text);

// Turns the second front on: part of the connections are its own from then on.
void turn_on_uwsgi(config& c, uwsgi_config mapping);

// Reads the text of an operator's uwsgi file; names of classes and tenants are those of the settings.
uwsgi_config read_uwsgi(const std::string& text, const wrenrill::settings& settings);

// The text of a file; `what` names it in the message of the failure.
std::string read_file(const char* path, const char* what);

// Reads the file that PROXY_CONFIG names.
config load_config();

}  // namespace marblewharf
