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

struct opened {
  std::uint64_t seed{};
  std::string environment;
};
struct crashed {};
struct unknown {
  unsigned code{};
};
struct record {
  instance_id instance{};
  std::variant<event, opened, crashed, unknown> content;
};

inline constexpr std::size_t batch_header_size = 12;

struct batch_header {
  std::uint32_t size{};
  time_point now{};
};
batch_header decode_header(std::string_view bytes);
std::vector<record> decode_batch(std::string_view body);

void encode(std::string& reply, instance_id instance, const action& what);
void encode_fault(std::string& reply, instance_id instance, std::string_view text);
std::string reply_header(std::size_t body_size);

// Reads the path=value lines of the settings. Throws std::invalid_argument naming the key that cannot be
// used.
settings parse_settings(std::string_view environment);

}  // namespace admission_policy::wire
