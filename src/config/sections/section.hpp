// One section of the operator's file. Reads the values of its keys with checks and conversion.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

struct cfg_t;      // parsed section of libconfuse
struct cfg_opt_t;  // option of libconfuse

namespace marblewharf::sections {

// The line on which each option is set.
using option_lines = std::map<const cfg_opt_t*, int>;

// Every function that reads a value throws operator_file_error, which names the key, if the value has the
// wrong type or is out of bounds. Bounds are inclusive. A section is a view: the parsed file must outlive it.
class section {
 public:
  // `name`: the section in error messages, with its title if it has one.
  section(cfg_t* parsed, const option_lines& lines, const std::string& path, std::string name);

  // Whether the list `key` has at least one element.
  bool has(const char* key) const;
  // The unparsed value. Empty if the key has neither a value nor a default.
  std::string text(const char* key) const;
  // The unparsed value, which must not be empty.
  std::string required_text(const char* key) const;
  std::vector<std::string> texts(const char* key) const;
  std::chrono::nanoseconds duration(const char* key, std::chrono::nanoseconds min,
                                    std::chrono::nanoseconds max) const;
  std::uint64_t bytes(const char* key, std::uint64_t min, std::uint64_t max) const;
  std::uint64_t count(const char* key, std::uint64_t min, std::uint64_t max) const;
  unsigned small_count(const char* key, unsigned min, unsigned max) const;
  double number(const char* key, double min, double max) const;
  bool flag(const char* key) const;
  // Parses "host:port". `value` is the value of `key`, or one element of its list.
  endpoint address(const char* key, const std::string& value) const;
  std::vector<endpoint> addresses(const char* key) const;

  // Throws operator_file_error. `key`: null if the fault is in the section as a whole. `problem`: continues
  // the sentence that begins with the key. `found`: the invalid value; empty: there is none.
  [[noreturn]] void fail(const char* key, const std::string& problem, const std::string& found = {}) const;

 private:
  std::uint64_t checked_range(const char* key, std::optional<std::uint64_t> value, const char* problem,
                              std::uint64_t min, std::uint64_t max) const;

  cfg_t* parsed_;
  const option_lines& lines_;
  const std::string& path_;
  std::string name_;
};

}  // namespace marblewharf::sections
