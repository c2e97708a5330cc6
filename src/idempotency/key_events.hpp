// What a process publishes about a key that it runs, as records of the log that the processes of a node
// share: encoding and decoding. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "idempotency/key_table.hpp"

namespace marblewharf::idempotency {

// The values are part of the log's format.
enum class key_event_type : std::uint8_t {
  intent = 1,           // the process is about to run the key
  result = 2,           // the run ended
  release = 3,          // proven not to have run
  outcome_unknown = 4,  // the end of the run may never be reported
};

struct key_event {
  key_event_type type{};
  key_id key;
  bool succeeded = false;     // in a result: whether the run succeeded
  std::string_view result{};  // in a result
};

std::string encode(const key_event& event);
// Returns nothing if the bytes are no event. The view in the event points into `body`.
std::optional<key_event> decode_key_event(std::string_view body);

}  // namespace marblewharf::idempotency
