// A client or server connection for tests that kill the process on the other side.
#pragma once

#include "../net/harness.hpp"

namespace peers {

// A connection whose peer may end at any moment: an error closes the connection and does not fail the test.
class frail {
 public:
  explicit frail(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = harness::address_of(port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) close();
  }
  frail(frail&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  frail(const frail&) = delete;
  ~frail() { close(); }
  // Accepts a connection of this listening socket.
  static frail accepted(int listening_fd) {
    return frail(::accept4(listening_fd, nullptr, nullptr, SOCK_CLOEXEC), 0);
  }

  int fd() const { return fd_; }
  bool good() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void send(std::string_view bytes) {
    if (good() && ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
      close();
  }
  // Appends the bytes that arrive to `in`. Returns false if the connection has ended or nothing arrives in
  // time.
  bool more(std::string& in, int timeout_ms = harness::patience_ms) {
    pollfd p{fd_, POLLIN, 0};
    char chunk[4096];
    const ssize_t n = good() && ::poll(&p, 1, timeout_ms) > 0 ? ::recv(fd_, chunk, sizeof chunk, 0) : -1;
    if (n <= 0) return false;
    in.append(chunk, static_cast<std::size_t>(n));
    return true;
  }

 private:
  frail(int fd, int) : fd_(fd) {}
  int fd_;
};

}  // namespace peers
