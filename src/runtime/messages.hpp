// The messages between this process and the runtime, and their lines of JSON. Free of I/O.
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

// A line that is no message; what() says why.
struct bad_line : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Notices from the runtime. Those with a serial are sent again after a reconnect, in the order of their
// serials.

// The first notice on a connection, in answer to sync_command.
struct ready_notice {
  bool starting = false;  // false: it was running already when this process connected
  duration uptime{};
};
// A run has ended.
struct end_notice {
  std::uint64_t serial = 0;
  std::string label;
  run_end how{};
  duration elapsed{};
  std::string result;
};
// The answer to gauges_command; all commands before that one have been carried out.
struct gauges_notice {
  std::string cookie;  // the command's
  std::vector<double> gauges;
};
// A command was rejected.
struct nack_notice {
  std::string command;  // its name on the wire
  std::string label;    // of the run it was about; empty: none
};
// A text for the log.
struct info_notice {
  std::uint64_t serial = 0;
  std::string text;
};
using any_notice = std::variant<ready_notice, end_notice, gauges_notice, nack_notice, info_notice>;

// Reads a line without its newline; none for a kind of message that is not known here. Throws bad_line.
std::optional<any_notice> decode(std::string_view line);

// Commands to the runtime, which knows runs by label. The texts that they refer to outlive the call of
// encode().

// The first command on a connection: asks for the notices behind this serial.
struct sync_command {
  std::uint64_t last_serial = 0;
};
struct start_command {
  std::string_view label;
  std::string_view service;
  std::string_view body;
};
// Pauses a run or ends it for good, as the runtime's settings say.
struct stop_command {
  std::string_view label;
};
// Goes on with a run that was paused.
struct continue_command {
  std::string_view label;
};
struct gauges_command {
  std::string cookie;
};
using any_command = std::variant<sync_command, start_command, stop_command, continue_command, gauges_command>;

// The command's line with its newline.
std::string encode(const any_command& command);

// The name on the wire of a start_command, by which a nack_notice refers to it.
inline constexpr std::string_view start_command_name = "start";

}  // namespace marblewharf::runtime
