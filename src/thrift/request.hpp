// Converts the fields of an execute message to a core request.
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/request_name_index.hpp"
#include "thrift/codec.hpp"

namespace marblewharf::thrift {

// what() is the name of the first field that is missing or invalid.
struct bad_field : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Which requests have an idempotency key, and in which field.
struct key_rules {
  std::string field;                              // name of the key's field; empty: no request has a key
  std::size_t max_key_size = 0;                   // length limit of a key in bytes
  std::vector<std::chrono::nanoseconds> windows;  // retention period, by request class; 0: class is not keyed
  bool required = false;  // whether a request of a keyed class is invalid without a key
};

// The key rules of the configuration; without a field if no results are kept.
key_rules key_rules_of(const config& settings);

// `now_ms`: the time at which the message was read, in Unix milliseconds. Throws bad_field.
request to_request(const execute& message, request_name_index& names, std::int64_t now_ms,
                   const key_rules& keys = {});

}  // namespace marblewharf::thrift
