#include "json/json.hpp"

#include <cstdint>
#include <cstdio>

namespace marblewharf::json {
namespace {

constexpr unsigned max_depth = 32;  // bounds the recursion, and so the stack, for deeply nested input

class parser {
 public:
  explicit parser(std::string_view text) : text_(text) {}

  value document() {
    value root = read(0);
    skip_space();
    if (position_ != text_.size()) fail("unexpected data after the document");
    return root;
  }

 private:
  [[noreturn]] void fail(const char* fault) const {
    throw bad_json("at byte " + std::to_string(position_) + ": " + fault);
  }
  void skip_space() {
    while (position_ < text_.size() &&
           std::string_view(" \t\r\n").find(text_[position_]) != std::string_view::npos)
      ++position_;
  }
  char peek() const { return position_ < text_.size() ? text_[position_] : '\0'; }
  bool accept(char c) {
    skip_space();
    if (peek() != c || position_ >= text_.size()) return false;
    ++position_;
    return true;
  }
  void expect(char c, const char* fault) {
    if (!accept(c)) fail(fault);
  }

  value read(unsigned depth) {
    if (depth > max_depth) fail("nested too deeply");
    skip_space();
    value parsed;
    switch (peek()) {
      case '{': read_object(parsed, depth); break;
      case '[': read_array(parsed, depth); break;
      case '"':
        parsed.type = kind::string;
        parsed.text = read_string();
        break;
      case 't': read_literal(parsed, kind::boolean, "true"); break;
      case 'f': read_literal(parsed, kind::boolean, "false"); break;
      case 'n': read_literal(parsed, kind::null, "null"); break;
      default: read_number(parsed);
    }
    return parsed;
  }

  void read_object(value& parsed, unsigned depth) {
    parsed.type = kind::object;
    ++position_;
    if (accept('}')) return;
    do {
      skip_space();
      if (peek() != '"') fail("expected a member name");
      std::string name = read_string();
      expect(':', "expected a colon");
      parsed.members.push_back({std::move(name), read(depth + 1)});
    } while (accept(','));
    expect('}', "unterminated object");
  }

  void read_array(value& parsed, unsigned depth) {
    parsed.type = kind::array;
    ++position_;
    if (accept(']')) return;
    do {
      parsed.items.push_back(read(depth + 1));
    } while (accept(','));
    expect(']', "unterminated array");
  }

  void read_literal(value& parsed, kind literal_kind, std::string_view literal) {
    if (text_.substr(position_, literal.size()) != literal) fail("unknown literal");
    parsed.type = literal_kind;
    parsed.text = literal;
    position_ += literal.size();
  }

  std::size_t digits() {
    const std::size_t start = position_;
    while (peek() >= '0' && peek() <= '9') ++position_;
    return position_ - start;
  }

  void read_number(value& parsed) {
    const std::size_t start = position_;
    if (peek() == '-') ++position_;
    const bool leading_zero = peek() == '0';
    const std::size_t integer_digits = digits();
    if (integer_digits == 0 || (leading_zero && integer_digits > 1)) fail("expected a value");
    if (peek() == '.') {
      ++position_;
      if (digits() == 0) fail("expected a digit after the decimal point");
    }
    if (peek() == 'e' || peek() == 'E') {
      ++position_;
      if (peek() == '+' || peek() == '-') ++position_;
      if (digits() == 0) fail("expected a digit in the exponent");
    }
    parsed.type = kind::number;
    parsed.text = text_.substr(start, position_ - start);
  }

  std::uint32_t hex4() {
    std::uint32_t code = 0;
    for (int i = 0; i < 4; ++i, ++position_) {
      const char c = peek();
      const int digit = c >= '0' && c <= '9'   ? c - '0'
                        : c >= 'a' && c <= 'f' ? c - 'a' + 10
                        : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                               : -1;
      if (digit < 0) fail("invalid \\u escape");
      code = code * 16 + static_cast<std::uint32_t>(digit);
    }
    return code;
  }

  void append_utf8(std::string& out, std::uint32_t code) {
    const auto put = [&out](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
    if (code < 0x80) {
      put(code);
    } else if (code < 0x800) {
      put(0xc0 | (code >> 6));
      put(0x80 | (code & 0x3f));
    } else if (code < 0x10000) {
      put(0xe0 | (code >> 12));
      put(0x80 | ((code >> 6) & 0x3f));
      put(0x80 | (code & 0x3f));
    } else {
      put(0xf0 | (code >> 18));
      put(0x80 | ((code >> 12) & 0x3f));
      put(0x80 | ((code >> 6) & 0x3f));
      put(0x80 | (code & 0x3f));
    }
  }

  void read_escape(std::string& out) {
    const char c = peek();
    ++position_;
    switch (c) {
      case '"':
      case '\\':
      case '/': out.push_back(c); return;
      case 'b': out.push_back('\b'); return;
      case 'f': out.push_back('\f'); return;
      case 'n': out.push_back('\n'); return;
      case 'r': out.push_back('\r'); return;
      case 't': out.push_back('\t'); return;
      case 'u': {
        std::uint32_t code = hex4();
        if (code >= 0xd800 && code < 0xdc00 && text_.substr(position_, 2) == "\\u") {
          position_ += 2;
          const std::uint32_t low = hex4();
          if (low < 0xdc00 || low > 0xdfff) fail("unpaired surrogate");
          code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        } else if (code >= 0xd800 && code <= 0xdfff) {
          fail("unpaired surrogate");
        }
        append_utf8(out, code);
        return;
      }
      default: fail("unknown escape sequence");
    }
  }

  std::string read_string() {
    std::string out;
    ++position_;
    while (true) {
      if (position_ >= text_.size()) fail("unterminated string");
      const char c = text_[position_];
      if (static_cast<unsigned char>(c) < 0x20) fail("control character in a string");
      ++position_;
      if (c == '"') return out;
      if (c == '\\') {
        read_escape(out);
      } else {
        out.push_back(c);
      }
    }
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace

const value* value::find(std::string_view name) const {
  for (const auto& [key, member] : members) {
    if (key == name) return &member;
  }
  return nullptr;
}

value parse(std::string_view text) {
  return parser(text).document();
}

std::string quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(c));
      out += escaped;
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
  return out;
}

}  // namespace marblewharf::json
