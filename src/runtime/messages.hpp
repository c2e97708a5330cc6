// The messages between this process and the runtime, encoded as one line of JSON each. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/request.hpp"
#include "outcome/effect.hpp"

namespace marblewharf::runtime {

// The line is not a valid message; what() says why.
struct bad_line : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Notices are messages from the runtime. After a reconnect the runtime repeats the notices that have a serial
// number, in the order of their serial numbers.

// The first notice on a connection, in answer to sync_command.
struct ready_notice {
  bool starting = false;  // false: the runtime was already running when this process connected
  duration uptime{};
};
// A run has ended, or has not begun and will not begin.
struct end_notice {
  std::uint64_t serial = 0;
  std::string label;
  outcome::event reported{};
  duration elapsed{};
  std::string result;
};
// The answer to a gauges_command. The runtime has executed all commands sent before that command.
struct gauges_notice {
  std::string cookie;  // copied from the gauges_command
  std::vector<double> gauges;
};
// A command was rejected.
struct nack_notice {
  std::string command;  // name of the rejected command on the wire
  std::string label;    // of the run that the command refers to; empty: none
};
// A text that this process writes to its log.
struct info_notice {
  std::uint64_t serial = 0;
  std::string text;
};
using any_notice = std::variant<ready_notice, end_notice, gauges_notice, nack_notice, info_notice>;

// Decodes a line, passed without its newline. Returns nullopt for an unknown kind of message. Throws
// bad_line.
std::optional<any_notice> decode(std::string_view line);

// Commands are messages to the runtime, which identifies runs by label. The strings that a command refers to
// outlive the call of encode().

// The first command on a connection: requests all notices with a serial number above `last_serial`.
struct sync_command {
  std::uint64_t last_serial = 0;
};
struct start_command {
  std::string_view label;
  std::string_view service;
  std::string_view body;
};
// Pauses or aborts a run; the runtime's settings determine which.
struct stop_command {
  std::string_view label;
};
// Resumes a paused run.
struct continue_command {
  std::string_view label;
};
// Requests the gauges. The answer repeats the cookie.
struct gauges_command {
  std::string cookie;
};
using any_command = std::variant<sync_command, start_command, stop_command, continue_command, gauges_command>;

// Encodes a command as a line, including its newline.
std::string encode(const any_command& command);

// The name of start_command on the wire, which nack_notice::command refers to.
inline constexpr std::string_view start_command_name = "start";

}  // namespace marblewharf::runtime
