// A transcript of a policy's actions as lines of numbers, with a digest of all lines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"

namespace admission_policy::testing {

// Stores the digest of all lines but only the first lines, so that recorded files stay small. The text
// depends on the order of the variant's alternatives and of their fields, but not on their names.
class transcript {
 public:
  // Adds one line: nanoseconds since the start, the index of the action in the variant, and its fields.
  void add(duration since_start, const action& recorded);

  std::uint64_t actions() const { return actions_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<std::string>& first_lines() const { return first_lines_; }

 private:
  std::uint64_t actions_ = 0;
  std::uint64_t digest_ = 0xcbf29ce484222325;  // offset basis of 64-bit FNV-1a
  std::vector<std::string> first_lines_;
};

}  // namespace admission_policy::testing
