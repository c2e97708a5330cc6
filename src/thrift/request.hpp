// What the fields of an execute say, as a request of the core.
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/vocabulary.hpp"
#include "thrift/codec.hpp"

namespace marblewharf::thrift {

// Names the first field that is missing or wrong.
struct bad_field : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Which field tells the key of a request, by class.
struct key_rules {
  std::string field;  // empty: none does
  std::size_t longest = 0;
  std::vector<std::chrono::nanoseconds> windows;  // 0 = the class is not keyed
  bool required = false;                          // a keyed request without it is wrong; else it has no key
};

// As the configuration has them; of no class where nothing keeps results.
key_rules key_rules_of(const config& settings);

// `now_ms`: when it was read, in Unix milliseconds. Throws bad_field.
request to_request(const execute& what, vocabulary& names, std::int64_t now_ms, const key_rules& keys = {});

}  // namespace marblewharf::thrift
