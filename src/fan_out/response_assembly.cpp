#include "fan_out/response_assembly.hpp"

#include <algorithm>
#include <chrono>

namespace marblewharf::fan_out {
namespace {

// Returns a boundary that does not occur in any part.
std::string choose_boundary(const std::vector<sub_response>& parts) {
  for (unsigned number = 0;; ++number) {
    std::string boundary = "part" + std::to_string(number);
    const bool occurs = std::any_of(parts.begin(), parts.end(), [&](const sub_response& part) {
      return part.bytes.find("--" + boundary) != std::string::npos;
    });
    if (!occurs) return boundary;
  }
}

std::string encode_part(const std::string& name, const sub_response& part) {
  std::string encoded = "Part: " + name + "\r\nPart-State: " + name_of(part.state) + "\r\n";
  if (part.state == sub_response_state::stale) {
    const auto age = std::chrono::ceil<std::chrono::seconds>(part.age);
    encoded += "Age: " + std::to_string(age.count()) + "\r\n";
  }
  return encoded + "Content-Length: " + std::to_string(part.bytes.size()) + "\r\n\r\n" + part.bytes + "\r\n";
}

}  // namespace

const char* name_of(sub_response_state state) {
  switch (state) {
    case sub_response_state::missing: return "missing";
    case sub_response_state::fresh: return "fresh";
    case sub_response_state::stale: return "stale";
    case sub_response_state::fallback: return "stand-in";
  }
  return "missing";
}

std::string assemble_response(const upstream::request_plan& plan, const std::vector<sub_response>& parts) {
  const std::string boundary = choose_boundary(parts);
  std::string body;
  for (std::size_t i = 0; i < parts.size(); ++i)
    body += "--" + boundary + "\r\n" + encode_part(plan.parts[i].name, parts[i]);
  body += "--" + boundary + "--\r\n";
  const bool complete = std::all_of(parts.begin(), parts.end(), [](const sub_response& part) {
    return part.state == sub_response_state::fresh;
  });
  return "HTTP/1.1 200 OK\r\nContent-Type: multipart/mixed; boundary=" + boundary +
         "\r\nPartial: " + (complete ? "no" : "yes") + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace marblewharf::fan_out
