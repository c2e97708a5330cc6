// What the fields of an execute say, as a request of the core.
#pragma once

#include <cstdint>
#include <stdexcept>

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/vocabulary.hpp"
#include "thrift/codec.hpp"

namespace marblewharf::thrift {

// Names the first field that is missing or wrong.
struct bad_field : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `now_ms`: when it was read, in Unix milliseconds. `keys`: where the results of keyed requests are kept; null: they
// are not. Throws bad_field.
request to_request(const execute& what, vocabulary& names, std::int64_t now_ms, const keyed_config* keys = nullptr);

}  // namespace marblewharf::thrift
