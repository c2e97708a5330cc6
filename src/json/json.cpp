#include "json/json.hpp"

#include <cstdint>
#include <cstdio>

namespace marblewharf::json {
namespace {

constexpr unsigned deepest = 32;  // guards the stack against input that only opens brackets

class parser {
 public:
  explicit parser(std::string_view text) : text_(text) {}

  value document() {
    value v = read(0);
    skip_space();
    if (at_ != text_.size()) fail("something after the end");
    return v;
  }

 private:
  [[noreturn]] void fail(const char* why) const {
    throw bad_json("at byte " + std::to_string(at_) + ": " + why);
  }
  void skip_space() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  bool accept(char c) {
    skip_space();
    if (peek() != c || at_ >= text_.size()) return false;
    ++at_;
    return true;
  }
  void expect(char c, const char* why) {
    if (!accept(c)) fail(why);
  }

  value read(unsigned depth) {
    if (depth > deepest) fail("nested too deeply");
    skip_space();
    value v;
    switch (peek()) {
      case '{': read_object(v, depth); break;
      case '[': read_array(v, depth); break;
      case '"':
        v.what = kind::string;
        v.text = read_string();
        break;
      case 't': read_word(v, kind::boolean, "true"); break;
      case 'f': read_word(v, kind::boolean, "false"); break;
      case 'n': read_word(v, kind::null, "null"); break;
      default: read_number(v);
    }
    return v;
  }

  void read_object(value& v, unsigned depth) {
    v.what = kind::object;
    ++at_;
    if (accept('}')) return;
    do {
      skip_space();
      if (peek() != '"') fail("a member name is missing");
      std::string name = read_string();
      expect(':', "a colon is missing");
      v.members.push_back({std::move(name), read(depth + 1)});
    } while (accept(','));
    expect('}', "an object does not end");
  }

  void read_array(value& v, unsigned depth) {
    v.what = kind::array;
    ++at_;
    if (accept(']')) return;
    do {
      v.items.push_back(read(depth + 1));
    } while (accept(','));
    expect(']', "an array does not end");
  }

  void read_word(value& v, kind what, std::string_view word) {
    if (text_.substr(at_, word.size()) != word) fail("an unknown word");
    v.what = what;
    v.text = word;
    at_ += word.size();
  }

  std::size_t digits() {
    const std::size_t from = at_;
    while (peek() >= '0' && peek() <= '9') ++at_;
    return at_ - from;
  }

  void read_number(value& v) {
    const std::size_t from = at_;
    if (peek() == '-') ++at_;
    const bool zero = peek() == '0';
    const std::size_t whole = digits();
    if (whole == 0 || (zero && whole > 1)) fail("no value");
    if (peek() == '.') {
      ++at_;
      if (digits() == 0) fail("no digit after the point");
    }
    if (peek() == 'e' || peek() == 'E') {
      ++at_;
      if (peek() == '+' || peek() == '-') ++at_;
      if (digits() == 0) fail("no digit in the exponent");
    }
    v.what = kind::number;
    v.text = text_.substr(from, at_ - from);
  }

  std::uint32_t hex4() {
    std::uint32_t code = 0;
    for (int i = 0; i < 4; ++i, ++at_) {
      const char c = peek();
      const int digit = c >= '0' && c <= '9'   ? c - '0'
                        : c >= 'a' && c <= 'f' ? c - 'a' + 10
                        : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                               : -1;
      if (digit < 0) fail("a bad \\u escape");
      code = code * 16 + static_cast<std::uint32_t>(digit);
    }
    return code;
  }

  void put_code(std::string& out, std::uint32_t code) {
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
    ++at_;
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
        if (code >= 0xd800 && code < 0xdc00 && text_.substr(at_, 2) == "\\u") {
          at_ += 2;
          const std::uint32_t low = hex4();
          if (low < 0xdc00 || low > 0xdfff) fail("half a surrogate pair");
          code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        } else if (code >= 0xd800 && code <= 0xdfff) {
          fail("half a surrogate pair");
        }
        put_code(out, code);
        return;
      }
      default: fail("an unknown escape");
    }
  }

  std::string read_string() {
    std::string out;
    ++at_;
    while (true) {
      if (at_ >= text_.size()) fail("a string does not end");
      const char c = text_[at_];
      if (static_cast<unsigned char>(c) < 0x20) fail("a control character in a string");
      ++at_;
      if (c == '"') return out;
      if (c == '\\') {
        read_escape(out);
      } else {
        out.push_back(c);
      }
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
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
