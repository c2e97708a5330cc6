// What the fields of an execute say, as a request of the core.
#pragma once

#include <cstdint>
#include <stdexcept>

#include "core/request.hpp"
#include "core/vocabulary.hpp"
#include "thrift/codec.hpp"

namespace marblewharf::thrift {

// Names the first field that is missing or wrong.
struct bad_field : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `now_ms`: when it was read, in Unix milliseconds. Throws bad_field.
request to_request(const execute& what, vocabulary& names, std::int64_t now_ms);

}  // namespace marblewharf::thrift
