// The simulator's wire: frames in, frames out. No decisions here.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy::wire {

using instance_id = std::uint16_t;

// Input that breaks the protocol; the text says what, where and for which instance.
struct bad_frame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An instance starts, with its settings as lines of path=value.
struct opened {
  std::uint64_t seed{};
  std::string environment;
};
// An instance ends without notice.
struct crashed {};
// A record whose code this program does not know.
struct unknown {
  unsigned code{};
};
struct record {
  instance_id instance{};
  std::variant<event, opened, crashed, unknown> content;
};

inline constexpr std::size_t batch_header_size = 12;  // bytes

struct batch_header {
  std::uint32_t size{};  // bytes of the batch behind it
  time_point now{};
};

// Both throw bad_frame.
batch_header decode_header(std::string_view bytes);
std::vector<record> decode_batch(std::string_view body);

// Append to the reply; its header, which is sent before it, tells its size.
void encode(std::string& reply, instance_id instance, const action& what);
void encode_fault(std::string& reply, instance_id instance, std::string_view text);
std::string reply_header(std::size_t body_size);

// Reads the path=value lines of the settings. Throws std::invalid_argument naming the key that cannot be
// used.
settings parse_settings(std::string_view environment);

}  // namespace admission_policy::wire
