// A small JSON reader for the configuration and the runtime's lines. Numbers keep their text, so that whoever
// reads one decides on its range.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::json {

struct bad_json : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class kind { null, boolean, number, string, array, object };

struct member;

struct value {
  kind what = kind::null;
  std::string text;  // of a string, decoded; of a number or boolean, as written
  std::vector<value> items;
  std::vector<member> members;

  // The member of that name; null where this is no object or has none.
  const value* find(std::string_view name) const;
};

// A name in an object, and what stands behind it.
struct member {
  std::string name;
  value content;
};

// Reads one whole document. Throws bad_json with the byte at fault.
value parse(std::string_view text);

// A string literal, with quotes.
std::string quote(std::string_view text);

}  // namespace marblewharf::json
