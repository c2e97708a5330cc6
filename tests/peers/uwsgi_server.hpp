// A fake uwsgi server behind the node: one thread, any number of connections. A function of the test says for
// each request when, and how well or badly, it is answered.
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

struct uwsgi_request {
  std::map<std::string, std::string> vars;
  std::string body;
};

enum class manner {
  whole,    // the response, at once
  busy,     // 503 with Retry-After: 1
  error,    // 500
  refuse,   // 409
  reset,    // closes without a byte
  half,     // half of the response, then closes
  hang,     // the first byte, then nothing
  garbage,  // no HTTP
  huge,     // a body without end
};

struct reaction {
  std::chrono::microseconds after{};
  manner how = manner::whole;
  std::string body = "ok";
};

class uwsgi_server {
 public:
  using script = std::function<reaction(const uwsgi_request&)>;

  explicit uwsgi_server(script s) : script_(std::move(s)) {
    CHECK(::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK) == 0);
    thread_ = std::thread([this] { serve(); });
  }
  ~uwsgi_server() {
    over_ = true;
    thread_.join();
    for (auto& [fd, c] : open_) ::close(fd);
  }
  int port() const { return listener_.port; }
  std::string address() const { return harness::own_host() + ":" + std::to_string(listener_.port); }

  // From any thread.
  std::atomic<int> requests = 0, most_open = 0, hung_up = 0;  // hung_up: by the node, before the answer
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

  static std::size_t le16(const std::string& s, std::size_t at) {
    return static_cast<std::uint8_t>(s[at]) | static_cast<std::size_t>(static_cast<std::uint8_t>(s[at + 1]))
                                                  << 8;
  }
  static std::optional<uwsgi_request> whole(const std::string& in) {
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
    while (!over_) {
      std::vector<pollfd> all = {{listener_.fd(), POLLIN, 0}};
      int wait = 20;
      for (const auto& [fd, t] : open_) {
        all.push_back({fd, POLLIN, 0});
        if (t.answer && !t.answered)
          wait = std::clamp<int>(static_cast<int>((t.due - clock::now()) / 1ms), 0, wait);
      }
      ::poll(all.data(), all.size(), wait);
      if (all[0].revents != 0) {
        for (int fd; (fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
          open_[fd];
        most_open = std::max<int>(most_open, static_cast<int>(open_.size()));
      }
      for (std::size_t i = 1; i < all.size(); ++i) {
        if (all[i].revents != 0) read(all[i].fd);
      }
      std::vector<int> due;
      for (const auto& [fd, t] : open_) {
        if (t.answer && !t.answered && t.due <= clock::now()) due.push_back(fd);
      }
      for (const int fd : due) answer(fd);
    }
  }
  void read(int fd) {
    connection_state& t = open_[fd];
    char chunk[8192];
    const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      if (t.answer && !t.answered) ++hung_up;
      ::close(fd);
      open_.erase(fd);
      return;
    }
    t.in.append(chunk, static_cast<std::size_t>(n));
    if (t.answer) return;
    if (const auto r = whole(t.in)) {
      ++requests;
      const std::lock_guard lock(guard_);
      t.answer = script_(*r);
      t.due = clock::now() + t.answer->after;
    }
  }
  void answer(int fd) {
    connection_state& t = open_[fd];
    const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(t.answer->body.size()) +
                             "\r\n\r\n" + t.answer->body;
    t.answered = true;
    bool close = true;
    switch (t.answer->how) {
      case manner::whole: put(fd, good); break;
      case manner::busy: put(fd, "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::error: put(fd, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::refuse: put(fd, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"); break;
      case manner::reset: break;
      case manner::half: put(fd, good.substr(0, good.size() / 2)); break;
      case manner::hang:
        put(fd, good.substr(0, 1));
        t.answered = false;
        t.due = clock::now() + 1h;
        close = false;
        break;
      case manner::garbage: put(fd, "\x01\x02 no response at all\r\n\r\n"); break;
      case manner::huge: put(fd, "HTTP/1.1 200 OK\r\n\r\n" + std::string(60000, 'x')); break;
    }
    if (!close) return;
    ::close(fd);
    open_.erase(fd);
  }
  static void put(int fd, const std::string& bytes) {
    [[maybe_unused]] const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  harness::listener listener_;
  std::mutex guard_;
  script script_;
  std::map<int, connection_state> open_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

}  // namespace peers
