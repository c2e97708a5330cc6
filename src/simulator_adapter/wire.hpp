// Decoding and encoding of the simulator's wire protocol. The simulator sends batches of records with events;
// the reply to each batch is a sequence of records with actions.
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

// Thrown for input that violates the protocol. The text names the record, its byte offset and its instance.
struct bad_frame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A new instance of a server process starts. Its settings are lines of path=value.
struct instance_opened {
  std::uint64_t seed{};
  std::string environment;
};
// An instance ends without a shutdown notice.
struct instance_crashed {};
// A record with an unknown event code.
struct unknown_record {
  unsigned code{};
};
struct record {
  instance_id instance{};
  std::variant<event, instance_opened, instance_crashed, unknown_record> content;
};

inline constexpr std::size_t batch_header_size = 12;  // bytes

struct batch_header {
  std::uint32_t size{};  // size of the batch that follows the header, in bytes
  time_point now{};
};

// Both functions throw bad_frame if the input is truncated or invalid.
batch_header decode_header(std::string_view bytes);
std::vector<record> decode_batch(std::string_view body);

// Appends an action to the reply.
void encode(std::string& reply, instance_id instance, const action& encoded);
// Appends a report that the settings of the instance are invalid.
void encode_fault(std::string& reply, instance_id instance, std::string_view text);
// The header that is sent before the reply. It contains the size of the reply.
std::string reply_header(std::size_t body_size);

// Parses the settings, which are lines of path=value. Throws std::invalid_argument with the key if a value is
// invalid.
settings parse_settings(std::string_view environment);

}  // namespace admission_policy::wire
