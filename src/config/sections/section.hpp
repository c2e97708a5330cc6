// One section of the operator's file: its values by key, checked and converted.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

struct cfg_t;      // libconfuse's parsed section ...
struct cfg_opt_t;  // ... and option

namespace marblewharf::sections {

// The line on which each option got its value.
using option_lines = std::map<const cfg_opt_t*, int>;

// Every read throws operator_file_error, naming the key, where the value is not what was asked for. Bounds
// are inclusive. A section is a view: the parsed file outlives it.
class section {
 public:
  // `name`: as messages call it, with the title where the section has one.
  section(cfg_t* parsed, const option_lines& lines, const std::string& path, std::string name);

  bool has(const char* key) const;
  // The value as it stands; empty: neither set nor given a default.
  std::string text(const char* key) const;
  // The same, which may not be empty.
  std::string required_text(const char* key) const;
  std::vector<std::string> texts(const char* key) const;
  std::chrono::nanoseconds duration(const char* key, std::chrono::nanoseconds least,
                                    std::chrono::nanoseconds most) const;
  std::uint64_t bytes(const char* key, std::uint64_t least, std::uint64_t most) const;
  std::uint64_t count(const char* key, std::uint64_t least, std::uint64_t most) const;
  unsigned small_count(const char* key, unsigned least, unsigned most) const;
  double number(const char* key, double least, double most) const;
  bool flag(const char* key) const;
  // Reads "host:port"; `value` stands under `key`, or is one of a list there.
  endpoint address(const char* key, const std::string& value) const;
  std::vector<endpoint> addresses(const char* key) const;

  // `key`: null where the section as a whole is at fault. `found`: the value at fault, where there is one.
  [[noreturn]] void fail(const char* key, const std::string& problem, const std::string& found = {}) const;

 private:
  std::uint64_t within(const char* key, std::optional<std::uint64_t> value, const char* problem,
                       std::uint64_t least, std::uint64_t most) const;

  cfg_t* parsed_;
  const option_lines& lines_;
  const std::string& path_;
  std::string name_;
};

}  // namespace marblewharf::sections
