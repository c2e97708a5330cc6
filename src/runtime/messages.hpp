// The runtime's JSON lines: typed values to lines and back. No sockets here.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/request.hpp"

namespace marblewharf::runtime {

struct bad_line : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Notices of the runtime.
struct ready {
  bool starting = false;  // else it was running already when it came up: warm
  duration up{};          // since its start
};
struct end {
  std::uint64_t serial = 0;
  std::string call;
  run_end how{};
  duration elapsed{};
  std::string result;
};
struct load {
  std::string cookie;
  std::vector<double> stats;
};
struct nack {
  std::string command;
  std::string call;
};
struct info {
  std::uint64_t serial = 0;
  std::string text;
};
using notice = std::variant<ready, end, load, nack, info>;

// A line without its newline; none for a message that is not known here. Throws bad_line.
std::optional<notice> decode(std::string_view line);

// Commands, with their newline.
std::string encode_sync(std::uint64_t serial);
std::string encode_start(std::string_view call, std::string_view service, std::string_view body);
std::string encode_stop(std::string_view call);
std::string encode_cont(std::string_view call);
std::string encode_gauges(std::string_view cookie);

std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);  // throws bad_line

}  // namespace marblewharf::runtime
