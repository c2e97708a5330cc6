// Converts the fields of an execute message to a core request.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "config/key_rules.hpp"
#include "core/request.hpp"
#include "core/request_name_index.hpp"
#include "thrift/codec.hpp"

namespace marblewharf::thrift {

// what() is the name of the first field that is missing or invalid.
struct bad_field : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `now_ms`: the time at which the message was read, in Unix milliseconds. Throws bad_field.
request to_request(const execute& message, request_name_index& names, std::int64_t now_ms,
                   const key_rules& keys = {});

}  // namespace marblewharf::thrift
