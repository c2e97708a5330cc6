// The actions of a policy as lines of neutral numbers, with a digest of all of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy::testing {

// Keeps the digest of every line but only the first lines themselves, so that an expectation stays small. The
// text depends on the order of the variant's alternatives and of their fields, never on their names.
class transcript {
 public:
  // Adds one line: nanoseconds since the start, the action's index in the variant, its fields.
  void add(duration since_start, const action& what);

  std::uint64_t actions() const { return actions_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<std::string>& first_lines() const { return first_lines_; }

 private:
  std::uint64_t actions_ = 0;
  std::uint64_t digest_ = 0xcbf29ce484222325;  // offset basis of 64-bit FNV-1a
  std::vector<std::string> first_lines_;
};

}  // namespace admission_policy::testing
