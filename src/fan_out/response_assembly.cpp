#include "fan_out/response_assembly.hpp"

#include <algorithm>
#include <chrono>

namespace marblewharf::fan_out {
namespace {

// No line of any part begins with it.
std::string boundary_for(const std::vector<part_result>& parts) {
  std::string boundary = "part";
  for (unsigned n = 0;; ++n) {
    const std::string tried = boundary + std::to_string(n);
    const bool stands = std::any_of(parts.begin(), parts.end(), [&](const part_result& p) {
      return p.bytes.find("--" + tried) != std::string::npos;
    });
    if (!stands) return tried;
  }
}

}  // namespace

const char* name_of(part_is how) {
  switch (how) {
    case part_is::missing: return "missing";
    case part_is::fresh: return "fresh";
    case part_is::stale: return "stale";
    case part_is::stand_in: return "stand-in";
  }
  return "missing";
}

std::string assemble_response(const upstream::request_plan& p, const std::vector<part_result>& parts) {
  const std::string boundary = boundary_for(parts);
  bool partial = false;
  std::string body;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const part_result& part = parts[i];
    partial = partial || part.how != part_is::fresh;
    body +=
        "--" + boundary + "\r\nPart: " + p.parts[i].name + "\r\nPart-State: " + name_of(part.how) + "\r\n";
    if (part.how == part_is::stale)
      body += "Age: " + std::to_string(std::chrono::ceil<std::chrono::seconds>(part.age).count()) + "\r\n";
    body += "Content-Length: " + std::to_string(part.bytes.size()) + "\r\n\r\n" + part.bytes + "\r\n";
  }
  body += "--" + boundary + "--\r\n";
  return "HTTP/1.1 200 OK\r\nContent-Type: multipart/mixed; boundary=" + boundary +
         "\r\nPartial: " + (partial ? "yes" : "no") + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace marblewharf::fan_out
