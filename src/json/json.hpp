// A small JSON parser for the configuration and the runtime's messages. Numbers are kept as text, so that the
// caller chooses their type and range.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::json {

// The text is not valid JSON; what() gives the byte offset and the fault.
struct bad_json : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class kind { null, boolean, number, string, array, object };

struct member;

struct value {
  kind type = kind::null;
  std::string text;  // of a string: decoded; of a number, boolean or null: as written
  std::vector<value> items;
  std::vector<member> members;

  // The value of the member with that name; null if this value is not an object or has no such member.
  const value* find(std::string_view name) const;
};

// A member of an object: its name and value.
struct member {
  std::string name;
  value content;
};

// Parses a complete document. Throws bad_json.
value parse(std::string_view text);

// Encodes a text as a JSON string literal, including the quotes.
std::string quote(std::string_view text);

}  // namespace marblewharf::json
