// Stand-ins for uwsgi: gateways that call the price node, and servers that it calls. One request a
// connection.
#pragma once

#include "standins.hpp"

namespace review {

inline std::string le16(std::size_t value) {
  return {static_cast<char>(value & 0xff), static_cast<char>(value >> 8)};
}
inline std::string uwsgi_packet(fields vars, const std::string& body) {
  vars.emplace_back("CONTENT_LENGTH", std::to_string(body.size()));
  std::string block;
  for (const auto& [name, value] : vars) block += le16(name.size()) + name + le16(value.size()) + value;
  return std::string(1, '\0') + le16(block.size()) + '\0' + block + body;
}

struct uwsgi_request {
  std::map<std::string, std::string> vars;
  std::string body;
  std::string var(const std::string& name) const {
    const auto found = vars.find(name);
    return found == vars.end() ? std::string() : found->second;
  }
};

inline std::optional<uwsgi_request> parse_uwsgi(const std::string& in) {
  const auto number = [&](std::size_t at) {
    return static_cast<std::size_t>(static_cast<std::uint8_t>(in[at])) |
           static_cast<std::size_t>(static_cast<std::uint8_t>(in[at + 1])) << 8;
  };
  if (in.size() < 4 || in.size() < 4 + number(1)) return std::nullopt;
  uwsgi_request r;
  const std::size_t end = 4 + number(1);
  for (std::size_t at = 4; at < end;) {
    const std::string name = in.substr(at + 2, number(at));
    at += 2 + name.size();
    const std::string value = in.substr(at + 2, number(at));
    at += 2 + value.size();
    r.vars[name] = value;
  }
  const std::string length = r.var("CONTENT_LENGTH");
  const std::size_t body = length.empty() ? 0 : std::stoul(length);
  if (in.size() < end + body) return std::nullopt;
  r.body = in.substr(end, body);
  return r;
}

inline std::string http_response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A server with one thread for each connection. `handler` returns the response's bytes; it may wait.
class uwsgi_server {
 public:
  using handler = std::function<std::string(const uwsgi_request&)>;
  explicit uwsgi_server(handler h)
      : handler_(std::move(h)), listener_(listen_anywhere()), port_(port_of(listener_)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~uwsgi_server() {
    stopping_ = true;
    thread_.join();
    for (std::thread& each : workers_) each.join();
    ::close(listener_);
  }
  int port() const { return port_; }

 private:
  void serve() {
    while (!stopping_) {
      pollfd polled{listener_, POLLIN, 0};
      if (::poll(&polled, 1, 10) <= 0) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) workers_.emplace_back([this, fd] { answer(fd); });
    }
  }
  void answer(int fd) {
    std::string in;
    std::optional<uwsgi_request> r;
    while (!stopping_ && !(r = parse_uwsgi(in)))
      if (!receive(fd, in, 20)) break;
    if (r) send_all(fd, handler_(*r));
    ::close(fd);
  }

  handler handler_;
  int listener_, port_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

// A gateway's call: sends the request and reads until the price node ends the connection.
class gateway_call {
 public:
  gateway_call(int port, const fields& vars, const std::string& body) : fd_(connect_to(port)) {
    if (fd_ < 0) throw cannot_run("the price node refuses uwsgi connections");
    if (!send_all(fd_, uwsgi_packet(vars, body))) throw cannot_run("a uwsgi request cannot be written");
  }
  ~gateway_call() {
    if (fd_ >= 0) ::close(fd_);
  }
  gateway_call(const gateway_call&) = delete;
  gateway_call& operator=(const gateway_call&) = delete;

  // The whole response; empty: none came within that time, or the connection ended without one.
  std::string response(int within_ms) {
    std::string in;
    for (const auto until = steady::now() + std::chrono::milliseconds(within_ms); steady::now() < until;)
      if (!receive(fd_, in, 20)) return in;
    return in;
  }

 private:
  int fd_;
};

inline int status_of(const std::string& response) {
  return response.size() < 12 ? 0 : std::atoi(response.substr(9, 3).c_str());
}

}  // namespace review
