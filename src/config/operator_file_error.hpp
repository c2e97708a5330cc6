// The error type for faults in the operator's file.
#pragma once

#include <optional>
#include <string>

#include "config/config.hpp"

namespace marblewharf {

// The location and the cause of a fault.
struct operator_file_fault {
  std::string file;
  std::optional<int> line;  // no value: the whole file; 0: an entry is missing in the file
  std::string key;          // "section", "section.key" or "section \"title\".key"; empty: unknown
  std::string problem;      // continues the sentence that begins with the key
  std::string found;        // the invalid value; empty: there is none
  // `line` is the last line of the section, because an absent key has no line of its own.
  bool at_section_end = false;
};

// The text contains file, line, key, problem and value, in this order.
class operator_file_error : public invalid_config {
 public:
  explicit operator_file_error(operator_file_fault fault);
  const operator_file_fault& fault() const { return fault_; }

 private:
  operator_file_fault fault_;
};

}  // namespace marblewharf
