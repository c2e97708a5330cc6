// A connection whose other side may be killed.
#pragma once

#include "../net/harness.hpp"

namespace peers {

// A peer that may go at any moment: whatever fails just ends the talk.
class frail {
 public:
  explicit frail(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in a = harness::address_of(port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) close();
  }
  frail(frail&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  frail(const frail&) = delete;
  ~frail() { close(); }
  static frail accepted(int listening) {
    return frail(::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC), 0);
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
  // False: it ended, or nothing came.
  bool more(std::string& in, int ms = harness::patience_ms) {
    pollfd p{fd_, POLLIN, 0};
    char chunk[4096];
    const ssize_t n = good() && ::poll(&p, 1, ms) > 0 ? ::recv(fd_, chunk, sizeof chunk, 0) : -1;
    if (n <= 0) return false;
    in.append(chunk, static_cast<std::size_t>(n));
    return true;
  }

 private:
  frail(int fd, int) : fd_(fd) {}
  int fd_;
};

}  // namespace peers
