// A client of the operators' console.
#pragma once

#include "harness.hpp"

namespace harness {

// One call: the whole answer, up to the close.
inline std::string call(int port, const std::string& line) {
  connection c = connection::to(port);
  c.send(line);
  return c.rest();
}

// Until the console's address takes connections.
inline void wait_console(int port) {
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = address_of(port);
    const bool up = ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
    ::close(fd);
    if (up) return;
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(10ms);
  }
}

}  // namespace harness
