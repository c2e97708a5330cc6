// Base64 with padding (RFC 4648). The runtime's JSON messages carry binary data in this encoding.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace marblewharf::runtime {

// The text is not valid base64; what() says why.
struct bad_base64 : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string to_base64(std::string_view bytes);
std::string from_base64(std::string_view text);  // throws bad_base64

}  // namespace marblewharf::runtime
