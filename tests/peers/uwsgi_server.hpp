// A fake uwsgi server for the node's upstream calls: one thread, any number of connections. A function of the
// test decides for each request the delay and the kind of the response, faults included.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "../net/harness.hpp"

namespace peers {

using namespace std::chrono_literals;

// A request as the server received it.
struct uwsgi_request {
  std::map<std::string, std::string> vars;
  std::string body;
};

// The kinds of responses and faults.
enum class manner {
  whole,    // a complete 200 response
  busy,     // 503 with Retry-After: 1
  error,    // 500
  refuse,   // 409
  reset,    // closes the connection without a response
  half,     // sends half of the response, then closes the connection
  cut,      // sends half of the body without Content-Length, then resets the connection
  hang,     // sends the first byte, then nothing
  garbage,  // sends bytes that are not HTTP
  huge,     // sends a large body without Content-Length
};

// The response to one request.
struct reaction {
  std::chrono::microseconds after{};  // the delay
  manner how = manner::whole;
  std::string body = "ok";
};

class uwsgi_server {
 public:
  // Decides the response to a request; called on the server's thread under a lock.
  using script = std::function<reaction(const uwsgi_request&)>;

  explicit uwsgi_server(script s) : script_(std::move(s)) {
    CHECK(::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK) == 0);
    thread_ = std::thread([this] { serve(); });
  }
  ~uwsgi_server() {
    stopping_ = true;
    thread_.join();
    for (auto& [fd, c] : open_) ::close(fd);
  }
  int port() const { return listener_.port; }
  std::string address() const { return harness::own_host() + ":" + std::to_string(listener_.port); }

  // The following members may be used from any thread. most_open: the highest number of open connections so
  // far; hung_up: connections that the node closed before the whole response was sent.
  std::atomic<int> requests = 0, most_open = 0, hung_up = 0;
  void change(script s) {
    const std::lock_guard lock(guard_);
    script_ = std::move(s);
  }

 private:
  using clock = std::chrono::steady_clock;
  struct connection_state {
    std::string in;
    std::optional<reaction> answer;
    clock::time_point due{};
    bool answered = false;
  };

  // Reads the 16-bit little-endian number at `offset`.
  static std::size_t le16(const std::string& bytes, std::size_t offset) {
    return static_cast<std::uint8_t>(bytes[offset]) |
           static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[offset + 1])) << 8;
  }
  // Decodes the request; returns nothing until it has arrived completely.
  static std::optional<uwsgi_request> parse_request(const std::string& in) {
    if (in.size() < 4 || in.size() < 4 + le16(in, 1)) return std::nullopt;
    uwsgi_request r;
    const std::size_t end = 4 + le16(in, 1);
    for (std::size_t at = 4; at < end;) {
      const std::string name = in.substr(at + 2, le16(in, at));
      at += 2 + name.size();
      const std::string value = in.substr(at + 2, le16(in, at));
      at += 2 + value.size();
      r.vars[name] = value;
    }
    const auto length = r.vars.find("CONTENT_LENGTH");
    const std::size_t body =
        length == r.vars.end() || length->second.empty() ? 0 : std::stoul(length->second);
    if (in.size() < end + body) return std::nullopt;
    r.body = in.substr(end, body);
    return r;
  }

  void serve() {
    while (!stopping_) {
      std::vector<pollfd> polled = {{listener_.fd(), POLLIN, 0}};
      int wait_ms = 20;
      for (const auto& [fd, state] : open_) {
        polled.push_back({fd, POLLIN, 0});
        if (state.answer && !state.answered)
          wait_ms = std::clamp<int>(static_cast<int>((state.due - clock::now()) / 1ms), 0, wait_ms);
      }
      ::poll(polled.data(), polled.size(), wait_ms);
      if (polled[0].revents != 0) {
        for (int fd; (fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
          open_[fd];
        most_open = std::max<int>(most_open, static_cast<int>(open_.size()));
      }
      for (std::size_t i = 1; i < polled.size(); ++i) {
        if (polled[i].revents != 0) read(polled[i].fd);
      }
      std::vector<int> due;
      for (const auto& [fd, state] : open_) {
        if (state.answer && !state.answered && state.due <= clock::now()) due.push_back(fd);
      }
      for (const int fd : due) answer(fd);
    }
  }
  void read(int fd) {
    connection_state& state = open_[fd];
    char chunk[8192];
    const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      if (state.answer && !state.answered) ++hung_up;
      ::close(fd);
      open_.erase(fd);
      return;
    }
    state.in.append(chunk, static_cast<std::size_t>(n));
    if (state.answer) return;
    if (const auto r = parse_request(state.in)) {
      ++requests;
      const std::lock_guard lock(guard_);
      state.answer = script_(*r);
      state.due = clock::now() + state.answer->after;
    }
  }
  void answer(int fd) {
    connection_state& state = open_[fd];
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(state.answer->body.size()) + "\r\n\r\n" +
        state.answer->body;
    state.answered = true;
    bool close = true;
    switch (state.answer->how) {
      case manner::whole: put(fd, response); break;
      case manner::cut:
        put(fd, "HTTP/1.1 200 OK\r\n\r\n" + state.answer->body.substr(0, state.answer->body.size() / 2));
        reset_at_close(fd);
        break;
      case manner::busy: put(fd, "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::error: put(fd, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::refuse: put(fd, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::reset: break;
      case manner::half: put(fd, response.substr(0, response.size() / 2)); break;
      case manner::hang:
        put(fd, response.substr(0, 1));
        state.answered = false;
        state.due = clock::now() + 1h;
        close = false;
        break;
      case manner::garbage: put(fd, "\x01\x02 no response at all\r\n\r\n"); break;
      case manner::huge: put(fd, "HTTP/1.1 200 OK\r\n\r\n" + std::string(60000, 'x')); break;
    }
    if (!close) return;
    ::close(fd);
    open_.erase(fd);
  }
  static void reset_at_close(int fd) {
    const linger at_once{1, 0};
    CHECK(::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) == 0);
  }
  static void put(int fd, const std::string& bytes) {
    [[maybe_unused]] const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  harness::listener listener_;
  std::mutex guard_;
  script script_;
  std::map<int, connection_state> open_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace peers
