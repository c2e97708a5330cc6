// A client of the operators' console.
#pragma once

#include "harness.hpp"

namespace harness {

// Sends one command and returns the whole answer, up to the close of the connection.
inline std::string call(int port, const std::string& command) {
  connection c = connection::to(port);
  c.send(command);
  return c.rest();
}

// Waits until the console accepts connections.
inline void wait_console(int port) {
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(port);
    const bool connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (connected) return;
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(10ms);
  }
}

inline std::string first_line(const std::string& answer) {
  return answer.substr(0, answer.find('\n'));
}

// Waits until the console reports that the node is ready for clients.
inline void wait_ready(int console_port) {
  wait_console(console_port);
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (first_line(call(console_port, "ready\n")) != "200 yes") CHECK(clock::now() < until);
}

}  // namespace harness
