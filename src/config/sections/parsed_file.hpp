// The operator's file, parsed by libconfuse: the schemas of its sections, and the sections in the file.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/sections/section.hpp"

namespace marblewharf::sections {

// The schema of a section: its keys with their defaults. All values are texts; the reader of the section
// checks units and bounds.
struct schema {
  const char* name;
  cfg_opt_t* options;   // ends with CFG_END(); lives as long as the program
  bool titled = false;  // may occur several times, each time with a unique title
};

class parsed_file {
 public:
  // Throws operator_file_error if the file cannot be read, has a syntax error, or has a section or key that
  // is in no schema.
  parsed_file(std::string path, const std::vector<schema>& schemas);

  // Whether the file has a section of this kind.
  bool has(const char* kind) const;
  // The section of a kind without titles. Requires has(kind).
  section get_section(const char* kind) const;
  // Calls `visit` with each section of a kind with titles, in the order of the file.
  void for_each(
      const char* kind,
      const std::function<void(const section& titled_section, const std::string& title)>& visit) const;
  // Throws operator_file_error for a section of this kind that is required but missing, or present but not
  // allowed.
  [[noreturn]] void fail(const char* kind, const std::string& problem) const;

 private:
  struct free_parsed {
    void operator()(cfg_t* parsed) const;
  };

  const std::string path_;
  option_lines lines_;
  std::unique_ptr<cfg_t, free_parsed> parsed_;
};

}  // namespace marblewharf::sections
