// The operator's file as libconfuse parses it: which sections and keys may stand in it, and those that do.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/sections/section.hpp"

namespace marblewharf::sections {

// A kind of section: its keys with their defaults. Values are texts; their readers check units and bounds.
struct schema {
  const char* name;
  cfg_opt_t* options;   // ends with CFG_END(); lives as long as the program
  bool titled = false;  // may stand several times, each time with a title of its own
};

class parsed_file {
 public:
  // Throws operator_file_error where the file cannot be read, is no such file, or has a key or a section that
  // no schema names.
  parsed_file(std::string path, const std::vector<schema>& schemas);

  // Whether a section of this kind stands in the file.
  bool has(const char* kind) const;
  // The section of a kind without titles; has(kind) holds.
  section only(const char* kind) const;
  // Calls back with each section of a kind with titles, in the order of the file.
  void each(const char* kind,
            const std::function<void(const section& one, const std::string& title)>& visit) const;
  // Throws for a section of this kind that is wanted and absent, or there and unwanted.
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
