#include "config/operator_file_error.hpp"

#include <utility>

namespace marblewharf {
namespace {

std::string describe(const operator_file_fault& fault) {
  std::string text = fault.file + ":";
  if (fault.line) text += std::to_string(*fault.line) + ":";
  text += " ";
  if (!fault.key.empty()) text += fault.key + " ";
  text += fault.problem;
  if (!fault.found.empty()) text += ": \"" + fault.found + "\"";
  if (fault.at_section_end) text += " (the section ends on this line)";
  return text;
}

}  // namespace

operator_file_error::operator_file_error(operator_file_fault fault)
    : invalid_config(describe(fault)), fault_(std::move(fault)) {}

}  // namespace marblewharf
