// Stand-ins for the platform, written for the cases of this folder: balancers (Thrift), the runtime, the
// catalog, and the start and end of the program under test as a process. They follow the operators' pages
// (PROTOCOL, DEPLOY, DAYS). Everything is on 127.0.0.1 with ports that the kernel chooses, and in one
// temporary folder.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

// The case could not run: exit status 2.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr int held = 0;    // exit status: the rule held
constexpr int broken = 1;  // exit status: the rule was broken
constexpr int no_run = 2;  // exit status: the case could not run

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- Record ----------------------------------------------------------------------------------------------

// Writes record.txt: what was sent, answered and run, each with the milliseconds since the start of the case.
class record {
 public:
  static void open(const std::string& path) {
    file() = std::fopen(path.c_str(), "w");
    if (file() == nullptr) throw cannot_run("cannot write " + path);
    start() = steady::now();
  }
  static void line(const char* format, ...) __attribute__((format(printf, 1, 2))) {
    const std::lock_guard lock(guard());
    if (file() == nullptr) return;
    const double ms = std::chrono::duration<double, std::milli>(steady::now() - start()).count();
    std::fprintf(file(), "%9.1f  ", ms);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file(), format, arguments);
    va_end(arguments);
    std::fputc('\n', file());
    std::fflush(file());
  }

 private:
  static std::FILE*& file() {
    static std::FILE* opened = nullptr;
    return opened;
  }
  static steady::time_point& start() {
    static steady::time_point at;
    return at;
  }
  static std::mutex& guard() {
    static std::mutex mutex;
    return mutex;
  }
};

// ---- Sockets ---------------------------------------------------------------------------------------------

// The loopback address of this process, other than 127.0.0.1. Clients connect from 127.0.0.1, so that their
// source ports cannot take a port that is reserved here for a process that binds it later, and scripts that
// run at the same time use different addresses.
inline std::string own_host() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + pid / 65536 % 254) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(2 + pid % 253);
}
inline sockaddr_in address_of(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::inet_pton(AF_INET, own_host().c_str(), &address.sin_addr) != 1) throw cannot_run("inet_pton");
  return address;
}
inline std::string host_port(int port) {
  return own_host() + ":" + std::to_string(port);
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) throw cannot_run("getsockname");
  return ntohs(address.sin_port);
}

// A listening socket on a port that the kernel chooses.
inline int listen_anywhere() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(0);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 64) != 0)
    throw cannot_run("cannot listen on " + own_host());
  return fd;
}

// Ports that are free now, all different, for processes that bind them later.
inline std::vector<int> free_ports(std::size_t count) {
  std::vector<int> listeners, ports;
  for (std::size_t i = 0; i < count; ++i) {
    listeners.push_back(listen_anywhere());
    ports.push_back(port_of(listeners.back()));
  }
  for (const int fd : listeners) ::close(fd);
  return ports;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Appends what can be read within that time to `in`. False: the stream has ended.
inline bool receive(int fd, std::string& in, int timeout_ms) {
  pollfd polled{fd, POLLIN, 0};
  if (::poll(&polled, 1, timeout_ms) <= 0) return true;
  char chunk[8192];
  const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
  if (n <= 0) return false;
  in.append(chunk, static_cast<std::size_t>(n));
  return true;
}

// ---- The program under test ------------------------------------------------------------------------------

// The temporary folder that run.sh made and removes.
class scratch {
 public:
  scratch() {
    const char* folder = std::getenv("REVIEW_TMP");
    if (folder == nullptr) throw cannot_run("REVIEW_TMP is not set: use run.sh");
    path_ = folder;
  }
  std::string folder(const std::string& name) const {
    std::filesystem::create_directories(path_ + "/" + name);
    return path_ + "/" + name;
  }
  std::string write(const std::string& name, const std::string& text) const {
    const std::string path = path_ + "/" + name;
    std::ofstream(path) << text;
    return path;
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A process of the program, started with the deploy file's `run` line by /bin/sh -c from the repository's
// root.
class node {
 public:
  // `environment`: the variables of DEPLOY beside the inherited ones. `arguments`: behind the `run` line.
  node(std::string name, const std::vector<std::pair<std::string, std::string>>& environment,
       const std::string& log, const std::string& arguments = {})
      : name_(std::move(name)) {
    const char* run = std::getenv("REVIEW_RUN");
    const char* root = std::getenv("REVIEW_ROOT");
    if (run == nullptr || root == nullptr)
      throw cannot_run("REVIEW_RUN or REVIEW_ROOT is not set: use run.sh");
    const std::string command = std::string(run) + (arguments.empty() ? "" : " " + arguments);
    record::line("start of %s: %s", name_.c_str(), run);
    pid_ = ::fork();
    if (pid_ < 0) throw cannot_run("fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(root) != 0) ::_exit(127);
      for (const auto& [key, value] : environment) ::setenv(key.c_str(), value.c_str(), 1);
      const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~node() {
    if (pid_ > 0) kill_now();
  }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  pid_t pid() const { return pid_; }
  void signal(int number, const char* what) {
    record::line("%s: %s", name_.c_str(), what);
    ::kill(pid_, number);
  }
  // SIGKILL, and waits for the end.
  void kill_now() {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
  }
  // Whether the process ends by itself within that time.
  bool ends_within(int ms) {
    for (const auto until = steady::now() + std::chrono::milliseconds(ms); steady::now() < until;
         sleep_ms(5)) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) != pid_) continue;
      pid_ = -1;
      if (WIFEXITED(status))
        record::line("%s ended with status %d", name_.c_str(), WEXITSTATUS(status));
      else
        record::line("%s ended by signal %d", name_.c_str(), WTERMSIG(status));
      return true;
    }
    return false;
  }
  void require_alive() {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return;
    pid_ = -1;
    throw cannot_run(name_ + " has ended");
  }

 private:
  std::string name_;
  pid_t pid_ = -1;
};

// ---- Thrift ----------------------------------------------------------------------------------------------

inline std::string be32(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
          static_cast<char>(value)};
}
inline std::uint32_t to_u32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char byte : bytes.substr(0, 4)) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}
inline std::string thrift_text(std::string_view value) {
  return be32(static_cast<std::uint32_t>(value.size())) + std::string(value);
}
inline std::string thrift_head(int type, const std::string& method, int seqid) {
  return std::string("\x80\x01\x00", 3) + static_cast<char>(type) + thrift_text(method) +
         be32(static_cast<std::uint32_t>(seqid));
}
inline std::string framed(const std::string& payload) {
  return thrift_text(payload);
}

using fields = std::vector<std::pair<std::string, std::string>>;

// A try of a request, as a balancer writes it.
struct request {
  std::string txn, verb, body;
  fields header;
  std::int64_t door_ms = 0;  // the field `door`
};

struct message {
  std::string
      kind;  // served, refused, failed, exception, closing, health; empty: none came, or the stream ended
  int seqid = 0;
  std::string body;                             // of served
  std::map<std::string, std::string> header{};  // of refused and failed
  bool good = false;                            // of health
};

// One connection of a balancer to the price node.
class balancer {
 public:
  explicit balancer(int port) : fd_(connect_to(port)) {
    if (fd_ < 0) throw cannot_run("the price node refuses connections");
  }
  ~balancer() { close(); }
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;

  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // Resets the connection.
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  // Writes the request and returns its sequence number.
  int execute(const request& sent) {
    const int seqid = ++seqid_;
    std::string payload = thrift_head(1, "execute", seqid) + std::string("\x0d\x00\x01\x0b\x0b", 5) +
                          be32(static_cast<std::uint32_t>(sent.header.size()));
    for (const auto& [name, value] : sent.header) payload += thrift_text(name) + thrift_text(value);
    payload += std::string("\x0b\x00\x02", 3) + thrift_text(sent.body) + '\0';
    if (!send_all(fd_, framed(payload))) throw cannot_run("a request cannot be written");
    return seqid;
  }
  void check() {
    send_all(fd_, framed(thrift_head(1, "check", ++seqid_) + std::string("\x02\x00\x01\x00\x00", 5)));
  }
  // Whether bytes wait to be read.
  bool readable(int timeout_ms) const {
    pollfd polled{fd_, POLLIN, 0};
    return !in_.empty() || ::poll(&polled, 1, timeout_ms) > 0;
  }
  // The next message within that time.
  message next(int timeout_ms) {
    const auto until = steady::now() + std::chrono::milliseconds(timeout_ms);
    while (true) {
      if (in_.size() >= 4 && in_.size() >= 4 + to_u32(in_)) return decode();
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
      if (left <= 0 || !receive(fd_, in_, static_cast<int>(left))) return {};
    }
  }

 private:
  message decode() {
    const std::uint32_t size = to_u32(in_);
    const std::string payload = in_.substr(4, size);
    in_.erase(0, 4 + size);
    const std::uint32_t name_size = to_u32(std::string_view(payload).substr(4));
    const std::string method = payload.substr(8, name_size);
    message m;
    m.seqid = static_cast<int>(to_u32(std::string_view(payload).substr(8 + name_size)));
    std::size_t at = 12 + name_size;
    const int type = payload[3];
    if (type == 4) {
      m.kind = method;
      return m;
    }
    if (type == 3) {
      m.kind = "exception";
      return m;
    }
    const int id = payload[at + 2];  // field header: type, id (2 bytes)
    at += 3;
    m.kind = method == "check" ? "health" : id == 0 ? "served" : id == 1 ? "refused" : "failed";
    while (at < payload.size() && payload[at] != 0) {
      const int kind = payload[at];
      const int field_id = payload[at + 2];
      at += 3;
      if (kind == 11) {
        const std::uint32_t length = to_u32(std::string_view(payload).substr(at));
        if (field_id == 1) m.body = payload.substr(at + 4, length);
        at += 4 + length;
      } else if (kind == 2) {
        m.good = payload[at++] != 0;
      } else if (kind == 13) {
        const std::uint32_t count = to_u32(std::string_view(payload).substr(at + 2));
        at += 6;
        for (std::uint32_t i = 0; i < count; ++i) {
          std::string text[2];
          for (std::string& each : text) {
            const std::uint32_t length = to_u32(std::string_view(payload).substr(at));
            each = payload.substr(at + 4, length);
            at += 4 + length;
          }
          m.header[text[0]] = text[1];
        }
      } else {
        throw cannot_run("an answer with a field that the page does not name");
      }
    }
    return m;
  }

  int fd_;
  int seqid_ = 0;
  std::string in_;
};

// Waits until a health check on a connection of its own is answered as good, as the bench does before
// requests.
inline void wait_until_healthy(int port, node& process, int timeout_ms = 10000) {
  for (const auto until = steady::now() + std::chrono::milliseconds(timeout_ms); steady::now() < until;
       sleep_ms(20)) {
    process.require_alive();
    const int fd = connect_to(port);
    if (fd < 0) continue;
    ::close(fd);
    balancer checker(port);
    checker.check();
    const message answer = checker.next(500);
    if (answer.kind == "health" && answer.good) return;
  }
  throw cannot_run("no health check was answered as good");
}

// One call at the operators' console; empty: no answer.
inline std::string console(int port, const std::string& call) {
  const int fd = connect_to(port);
  if (fd < 0) return {};
  std::string in;
  send_all(fd, call + "\n");
  for (const auto until = steady::now() + std::chrono::seconds(1); steady::now() < until;)
    if (!receive(fd, in, 200)) break;
  ::close(fd);
  return in.substr(0, in.find('\n'));
}

// ---- The runtime -----------------------------------------------------------------------------------------

inline std::string to_base64(std::string_view bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

// The value of a member of one line of JSON that the program wrote.
inline std::string member(const std::string& line, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  std::size_t at = line.find(key);
  if (at == std::string::npos) return {};
  at += key.size();
  if (line[at] == '"') return line.substr(at + 1, line.find('"', at + 1) - at - 1);
  return line.substr(at, line.find_first_of(",}", at) - at);
}

// The runtime of PROTOCOL. It owns the cores; it may have several addresses, each with a link and notices of
// its own. A run takes `work_ms` of a core's time; the cores can be told to stand still.
class runtime {
 public:
  struct finished_run {
    std::string txn, verb, body;
    std::int64_t started_ms = 0, ended_ms = 0;  // Unix time
    std::string how;
  };

  explicit runtime(int addresses = 1) {
    for (int i = 0; i < addresses; ++i) {
      auto added = std::make_unique<endpoint>();
      added->name = addresses == 1 ? "runtime" : "runtime address " + std::to_string(i + 1);
      added->listener = listen_anywhere();
      added->port = port_of(added->listener);
      endpoints_.push_back(std::move(added));
    }
    thread_ = std::thread([this] { serve(); });
  }
  ~runtime() {
    stopping_ = true;
    thread_.join();
    for (const auto& each : endpoints_) {
      ::close(each->listener);
      if (each->link >= 0) ::close(each->link);
    }
  }

  int port(int address = 0) const { return endpoints_[static_cast<std::size_t>(address)]->port; }

  // How "stop" acts: "pause" as at fondspreise-muenchen, or "drop".
  std::string halt = "pause";

  // The platform tells: a request was written to the price node; a request is over (answered, or its caller
  // gone).
  void written(const request& sent, double work_ms) {
    const std::lock_guard lock(guard_);
    known_[sent.txn] = {sent.verb, sent.body, work_ms, false};
  }
  void over(const std::string& txn) {
    const std::lock_guard lock(guard_);
    known_[txn].over = true;
  }
  // The cores stand still: no run goes on and "stop" does nothing; reading and the gauges go on.
  void stand_still(bool still) {
    const std::lock_guard lock(guard_);
    still_ = still;
    record::line("runtime: the cores %s", still ? "stand still" : "move again");
  }
  // The link breaks right behind the start of that request, which is carried out; no later command on it is.
  // The runtime accepts the next link after `outage_ms`.
  void break_link_behind_start(const std::string& txn, int outage_ms) {
    const std::lock_guard lock(guard_);
    break_behind_ = txn;
    outage_ms_ = outage_ms;
  }

  bool running(const std::string& txn) {
    const std::lock_guard lock(guard_);
    return runs_.contains(txn);
  }
  // All runs that took effect, ended or not.
  std::vector<finished_run> runs() {
    const std::lock_guard lock(guard_);
    return history_;
  }

 private:
  struct known_request {
    std::string verb, body;
    double work_ms = 0;
    bool over = false;
  };
  struct run {
    double left_ms = 0;
    bool paused = false;
    std::size_t address = 0;
    std::size_t entry = 0;  // in history_
    steady::time_point began;
  };
  // An address of the runtime with its link and its notices.
  struct endpoint {
    std::string name;
    int listener = -1, port = 0, link = -1;
    std::string in;
    bool synced = false;
    std::uint64_t serial = 0;
    std::vector<std::string> notices;  // by serial, from 1
    steady::time_point accept_from{};
  };

  void serve() {
    auto last = steady::now();
    while (!stopping_) {
      std::vector<pollfd> polled;
      {
        const std::lock_guard lock(guard_);
        for (const auto& each : endpoints_) {
          polled.push_back({steady::now() >= each->accept_from ? each->listener : -1, POLLIN, 0});
          polled.push_back({each->link, POLLIN, 0});
        }
      }
      ::poll(polled.data(), polled.size(), 1);
      const std::lock_guard lock(guard_);
      for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        endpoint& d = *endpoints_[i];
        if (polled[2 * i].revents != 0) accept(d);
        if (d.link >= 0 && d.link == polled[2 * i + 1].fd && polled[2 * i + 1].revents != 0) read(i);
      }
      const auto now = steady::now();
      advance(std::chrono::duration<double, std::milli>(now - last).count());
      last = now;
    }
  }
  // A new link replaces the one before it.
  static void accept(endpoint& d) {
    const int fd = ::accept4(d.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    if (d.link >= 0) ::close(d.link);
    d.link = fd;
    d.in.clear();
    d.synced = false;
  }
  void read(std::size_t address) {
    endpoint& d = *endpoints_[address];
    if (!receive(d.link, d.in, 0)) {
      ::close(std::exchange(d.link, -1));
      d.in.clear();
      d.synced = false;
      return;
    }
    for (std::size_t end; d.link >= 0 && (end = d.in.find('\n')) != std::string::npos;) {
      const std::string line = d.in.substr(0, end);
      d.in.erase(0, end + 1);
      command(address, line);
    }
  }
  static void say(endpoint& d, const std::string& line) {
    if (d.link >= 0) send_all(d.link, line + "\n");
  }
  void command(std::size_t address, const std::string& line) {
    endpoint& d = *endpoints_[address];
    const std::string name = member(line, "msg");
    const std::string txn = member(line, "call");
    if (name != "gauges") {
      record::line("%s <- %s %s", d.name.c_str(), name.c_str(), name == "sync" ? line.c_str() : txn.c_str());
    }
    if (name == "sync") {
      const std::uint64_t read_before = std::stoull(member(line, "serial"));
      say(d, "{\"msg\":\"ready\",\"how\":\"running\",\"duration\":" + std::to_string(up_ms()) + "}");
      d.synced = true;
      for (std::uint64_t n = read_before; n < d.notices.size(); ++n) say(d, d.notices[n]);
    } else if (name == "start") {
      start(address, txn, line);
    } else if (name == "stop") {
      stop(txn);
    } else if (name == "cont") {
      if (const auto found = runs_.find(txn); found != runs_.end()) found->second.paused = false;
    } else if (name == "gauges") {
      const double busy = std::min(1.0, static_cast<double>(runs_.size()) / 6);
      say(d, "{\"msg\":\"load\",\"cookie\":\"" + member(line, "cookie") + "\",\"stats\":[" +
                 std::to_string(busy) + "," + std::to_string(runs_.size()) + ",0.1,4]}");
    } else {
      ::close(std::exchange(d.link, -1));  // not a command
    }
  }
  void start(std::size_t address, const std::string& txn, const std::string& line) {
    endpoint& d = *endpoints_[address];
    const auto request = known_.find(txn);
    const bool genuine = request != known_.end() && request->second.verb == member(line, "service") &&
                         to_base64(request->second.body) == member(line, "blob");
    if (!genuine) {
      record::line("%s -> nack start %s", d.name.c_str(), txn.c_str());
      say(d, "{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + txn + "\"}");
      return;
    }
    if (runs_.contains(txn)) {
      record::line("runtime: %s runs already, nothing happens", txn.c_str());
      return;
    }
    if (request->second.over) {
      notice(address, txn, "late", 0, {});
      return;
    }
    record::line("runtime: RUN of %s (%s) begins", txn.c_str(), request->second.body.c_str());
    history_.push_back({txn, request->second.verb, request->second.body, unix_ms(), 0, "running"});
    runs_[txn] = {request->second.work_ms, false, address, history_.size() - 1, steady::now()};
    if (txn != break_behind_) return;
    break_behind_.clear();
    ::close(std::exchange(d.link, -1));
    d.in.clear();
    d.synced = false;
    d.accept_from = steady::now() + std::chrono::milliseconds(outage_ms_);
    record::line("%s: the link breaks; the next one is accepted in %d ms", d.name.c_str(), outage_ms_);
  }
  // A stop does nothing while the cores stand still (WIRE, Interrupt).
  void stop(const std::string& txn) {
    const auto found = runs_.find(txn);
    if (found == runs_.end()) return;
    if (still_) {
      record::line("runtime: the stop of %s does nothing, the cores stand still", txn.c_str());
      return;
    }
    const bool was_paused = found->second.paused;
    const std::size_t address = found->second.address;
    found->second.paused = true;
    const bool ends = halt == "drop" || known_[txn].over;
    if (ends) {
      history_[found->second.entry].how = "broken_off";
      history_[found->second.entry].ended_ms = unix_ms();
      runs_.erase(found);
    }
    if (!was_paused || ends) notice(address, txn, "broken_off", 0, {});
  }
  void advance(double elapsed_ms) {
    if (still_) return;
    std::vector<std::string> done;
    for (auto& [txn, current] : runs_) {
      if (current.paused) continue;
      current.left_ms -= elapsed_ms;
      if (current.left_ms <= 0) done.push_back(txn);
    }
    for (const std::string& txn : done) {
      const run ended = runs_[txn];
      runs_.erase(txn);
      finished_run& entry = history_[ended.entry];
      entry.how = "fine";
      entry.ended_ms = unix_ms();
      const double took = std::chrono::duration<double, std::milli>(steady::now() - ended.began).count();
      record::line("runtime: RUN of %s (%s) completed, its effect is applied", txn.c_str(),
                   entry.body.c_str());
      notice(ended.address, txn, "fine", took, "done " + entry.body + " by " + txn);
    }
  }
  void notice(std::size_t address, const std::string& txn, const std::string& how, double took_ms,
              const std::string& result) {
    endpoint& d = *endpoints_[address];
    std::string line = "{\"msg\":\"end\",\"serial\":" + std::to_string(++d.serial) + ",\"call\":\"" + txn +
                       "\",\"how\":\"" + how + "\",\"duration\":" + std::to_string(took_ms);
    if (how == "fine") line += ",\"blob\":\"" + to_base64(result) + "\"";
    d.notices.push_back(line + "}");
    record::line("%s -> end %s %s", d.name.c_str(), txn.c_str(), how.c_str());
    if (d.synced) say(d, d.notices.back());
  }
  std::int64_t up_ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - up_since_).count();
  }

  const steady::time_point up_since_ = steady::now() - std::chrono::seconds(60);
  std::mutex guard_;
  std::vector<std::unique_ptr<endpoint>> endpoints_;
  std::map<std::string, known_request> known_;
  std::map<std::string, run> runs_;
  std::vector<finished_run> history_;
  bool still_ = false;
  std::string break_behind_;  // the request behind whose start the link breaks
  int outage_ms_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// A UDP address that takes the reports to the catalog; nothing answers them.
class catalog {
 public:
  catalog() : fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = address_of(0);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      throw cannot_run("cannot bind the catalog");
  }
  ~catalog() { ::close(fd_); }
  int port() const { return port_of(fd_); }

 private:
  int fd_;
};

// ---- Settings --------------------------------------------------------------------------------------------

struct class_of_requests {
  std::string name, effect;
  int objective_ms = 0, deadline_ms = 0, window_ms = 5000;
  double credit = 1;
};

inline std::string ns(std::int64_t ms) {
  return std::to_string(ms) + "000000";
}

inline std::string classes_json(const std::vector<class_of_requests>& classes) {
  std::string out;
  for (const class_of_requests& each : classes)
    out += std::string(out.empty() ? "" : ",") + "{\"Name\":\"" + each.name + "\",\"Effect\":\"" +
           each.effect + "\",\"Objective\":" + ns(each.objective_ms) +
           ",\"Deadline\":" + ns(each.deadline_ms) + ",\"LateValue\":0.0,\"Window\":" + ns(each.window_ms) +
           ",\"Credit\":" + std::to_string(each.credit) + "}";
  return out;
}
inline std::string tenants_json(const std::vector<std::pair<std::string, double>>& quotas) {
  std::string out;
  for (const auto& [name, quota] : quotas)
    out += std::string(out.empty() ? "" : ",") + "{\"Name\":\"" + name +
           "\",\"QuotaPerS\":" + std::to_string(quota) + "}";
  return out;
}

// What a case may change in the settings; the rest is as on the page WIRE.
struct site {
  std::vector<class_of_requests> classes;
  std::vector<std::pair<std::string, double>> tenants;
  std::string halt, say, zones;
  bool passes_deadline = false, tells_gone = true;
  int drain_grace_ms = 0, slack_ms = 0, fall_ms = 0, run_factor = 8, cores = 6;
};

inline site muenchen() {
  return {.classes = {{"kurs-abfrage", "safe", 2900, 7300},
                      {"kurs-liste", "safe", 2900, 8800},
                      {"kurs-meldung", "unsafe", 1500, 3500, 5000, 3}},
          .tenants = {{"isar-invest", 42},
                      {"alpen-kapital", 40},
                      {"donau-fonds", 40},
                      {"frankenanlage", 34},
                      {"lech-vermoegen", 23},
                      {"chiemgau-kapital", 11}},
          .halt = "pause",
          .say = "silent",
          .zones = "\"muenchen-nord\",\"augsburg\"",
          .passes_deadline = false,
          .tells_gone = true,
          .drain_grace_ms = 2500,
          .slack_ms = 80,
          .fall_ms = 1500,
          .run_factor = 8};
}
struct addresses {
  int listen = 0, runtime = 0, catalog = 0, console = 0;
};

// The configuration that PROXY_CONFIG names (DEPLOY).
inline std::string configuration(const site& s, const addresses& at, int stop_ms = 3200) {
  std::string calls, without;
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    calls += i == 0 ? "false" : ",false";
    without += i == 0 ? "0.0" : ",0.0";
  }
  const auto flag = [](bool value) { return std::string(value ? "true" : "false"); };
  return "{\"name\":\"n1\",\"listen\":\"" + host_port(at.listen) + "\",\"runtime\":\"" +
         host_port(at.runtime) + "\",\"directory\":\"" + host_port(at.catalog) + "\"," +
         (at.console != 0 ? "\"console\":\"" + host_port(at.console) + "\"," : "") +
         "\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + std::to_string(stop_ms) +
         ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":{"
         "\"Bounds\":{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":60683,\"MaxRetryAfter\":1000000000,"
         "\"RetryAfter\":true},"
         "\"Callers\":{\"MarksRetry\":false},\"Classes\":[" +
         classes_json(s.classes) +
         "],\"Extra\":{\"Below\":\"silent\",\"CallsOver\":5000000000,\"ClassCalls\":[" + calls +
         "],\"Cold\":false,\"FairCalls\":0.0,\"Fresh\":0,"
         "\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"Halt\":\"" +
         s.halt +
         "\",\"Heeded\":1000000000,\"KbPerKey\":135.5,\"KeepaliveMax\":30000000000,\"Lingers\":200000000,"
         "\"ListFollows\":false,\"NCores\":" +
         std::to_string(s.cores) + ",\"PassesDeadline\":" + flag(s.passes_deadline) +
         ",\"RamKb\":23562.0,\"RealChecks\":false,\"RunFactor\":" + std::to_string(s.run_factor) +
         ".0,\"Say\":\"" + s.say + "\",\"TellsGone\":" + flag(s.tells_gone) +
         ",\"Upstreams\":3,\"WorthWithout\":[" + without +
         "]},\"Family\":\"server\",\"GroupSize\":1,\"OverShareWorth\":0.05,"
         "\"Safety\":{\"AnswerSlack\":" +
         ns(s.slack_ms) + ",\"Cold\":18000000000,\"DrainGrace\":" + ns(s.drain_grace_ms) +
         ",\"Fall\":" + ns(s.fall_ms) + ",\"OverloadFactor\":5.0,\"StartCapacity\":0.21},\"Tenants\":[" +
         tenants_json(s.tenants) + "],\"Tick\":2000000,\"WorthBy\":\"work\",\"Zone\":0,\"Zones\":[" +
         s.zones + "]}}";
}

// A try of a request with the fields of PROTOCOL. `key`: of a keyed class.
inline request try_of(int number, const std::string& verb, const std::string& tenant, const std::string& body,
                      const std::string& key = {}) {
  char txn[17];
  std::snprintf(txn, sizeof txn, "%016x", 0x9b1f0000u + static_cast<unsigned>(number));
  request made{txn, verb, body, {}, unix_ms()};
  made.header = {{"verb", verb},  {"txn", txn},          {"door", std::to_string(made.door_ms)},
                 {"lb", "1"},     {"team", tenant},      {"cpu", "150.00"},
                 {"ram", "40.0"}, {"standing", "0.6250"}};
  if (!key.empty()) made.header.emplace_back("unique", key);
  return made;
}

// ---- The frame of a case ---------------------------------------------------------------------------------

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// Runs the case with record.txt in the folder of the case; ends with status 2 if it cannot run.
inline int run_case(int argc, char** argv, const std::function<int()>& body) {
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(60);  // the kernel ends this process, and PR_SET_PDEATHSIG the nodes with it
  try {
    if (argc < 2) throw cannot_run("usage: case FOLDER");
    record::open(std::string(argv[1]) + "/record.txt");
    record::line("%s", trouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
    const int status = body();
    record::line("%s", status == held ? "the rule held" : "THE RULE WAS BROKEN");
    return status;
  } catch (const std::exception& error) {
    record::line("cannot run: %s", error.what());
    std::fprintf(stderr, "cannot run: %s\n", error.what());
    return no_run;
  }
}

}  // namespace review
