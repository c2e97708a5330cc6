// What is wrong with the operator's file, and where.
#pragma once

#include <optional>
#include <string>

#include "config/config.hpp"

namespace marblewharf {

// The place and the cause of a fault.
struct operator_file_fault {
  std::string file;
  std::optional<int> line;  // none: the file as a whole; 0: something that no line of it has
  std::string key;          // "section", "section.key" or "section \"title\".key"; empty: unknown
  std::string problem;      // reads on from the key
  std::string found;        // the value at fault; empty: none
  // The line is that of the section's end: of a key that is absent no other is known.
  bool at_section_end = false;
};

// Its text names file, line, key, problem and value in this order.
class operator_file_error : public bad_config {
 public:
  explicit operator_file_error(operator_file_fault fault);
  const operator_file_fault& fault() const { return fault_; }

 private:
  operator_file_fault fault_;
};

}  // namespace marblewharf
