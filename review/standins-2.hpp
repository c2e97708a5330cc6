// Stand-ins of the second review: a price node started with the command of the deploy file, a runtime with
// many runs, and a client of the Thrift wire. Builds on the project's own test harness.
//
// Exit codes of a case's program: 0 the rule held, 10 the rule was broken, anything else: could not run.
#pragma once

#include <atomic>
#include <cstdarg>
#include <functional>
#include <map>
#include <optional>

#include "../tests/net/harness.hpp"
#include "../tests/peers/base64.hpp"

namespace review {

using namespace std::chrono_literals;
using harness::clock;

constexpr int rule_held = 0;
constexpr int rule_broken = 10;

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Whether the run is made with the disruption; TROUBLE=0 leaves it out.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// record.txt: one line for each event, with the milliseconds since the start of the case.
class record {
 public:
  explicit record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) { CHECK(out_ != nullptr); }
  ~record() { std::fclose(out_); }
  record(const record&) = delete;
  record& operator=(const record&) = delete;
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(guard_);
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun_).count();
    std::fprintf(out_, "%7lld ms  ", static_cast<long long>(since));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out_, format, arguments);
    va_end(arguments);
    std::fputc('\n', out_);
    std::fflush(out_);
  }

 private:
  std::mutex guard_;
  std::FILE* out_;
  const clock::time_point begun_ = clock::now();
};

// The value of a key of deploy/balancer.toml that is a string, for example the command of `run`.
inline std::string deploy_command(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string text;
  while (std::getline(file, text)) {
    if (text.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t begin = text.find('"') + 1;
    return text.substr(begin, text.find('"', begin) - begin);
  }
  CHECK(!"deploy/balancer.toml has the command");
  return {};
}

// A process of the price node, started by `/bin/sh -c` with the `run` command of the deploy file from the
// repository's root. The folder has its configuration, its log and its $TMPDIR. Killed by the destructor.
class process {
 public:
  process(std::string folder, const std::string& config, const std::string& operators = {})
      : folder_(std::move(folder)) {
    std::filesystem::create_directories(folder_ + "/tmp");
    write("config.json", config);
    std::string command = deploy_command("run");
    if (!operators.empty()) {
      write("operators.conf", operators);
      command += " --settings " + folder_ + "/operators.conf";
    }
    std::string config_variable = "PROXY_CONFIG=" + folder_ + "/config.json";
    std::string tmpdir_variable = "TMPDIR=" + folder_ + "/tmp";
    const std::string log_path = folder_ + "/log";
    std::vector<char*> environment = {config_variable.data(), tmpdir_variable.data()};
    for (char** variable = environ; *variable != nullptr; ++variable) environment.push_back(*variable);
    environment.push_back(nullptr);
    std::string shell = "/bin/sh", option = "-c";
    char* arguments[] = {shell.data(), option.data(), command.data(), nullptr};
    pid_ = ::fork();
    CHECK(pid_ >= 0);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execve("/bin/sh", arguments, environment.data());
      ::_exit(127);
    }
  }
  ~process() { end(SIGKILL); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void write(const std::string& name, const std::string& text) const {
    std::ofstream(folder_ + "/" + name + ".new") << text;
    CHECK(std::rename((folder_ + "/" + name + ".new").c_str(), (folder_ + "/" + name).c_str()) == 0);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Sends the signal and waits for the end of the process.
  void end(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Whether the process still runs.
  bool runs() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
    pid_ = -1;
    return false;
  }
  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(folder_ + "/log").rdbuf();
    return text.str();
  }

 private:
  std::string folder_;
  pid_t pid_ = -1;
};

// A folder under /tmp that is removed at the end.
class temporary_folder {
 public:
  temporary_folder() {
    char name[] = "/tmp/marblewharf-review-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    path = name;
  }
  ~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

// The runtime of one process of a node, on a thread of its own. Stops drop the run. Each run takes `run_ms`;
// its result is the body. While `hangs`, no run makes progress, but commands are read and gauges are
// answered.
class runtime {
 public:
  explicit runtime(record& out, int run_ms = 50) : out_(out), run_ms_(run_ms) {
    thread_ = std::thread([this] { serve(); });
  }
  ~runtime() {
    stopping_ = true;
    thread_.join();
  }
  int port() const { return door_.port; }
  int linked() const { return links_; }
  // How many runs of a body have begun.
  int runs_of(const std::string& body) {
    const std::lock_guard lock(guard_);
    return begun_[body];
  }
  int runs() {
    const std::lock_guard lock(guard_);
    int all = 0;
    for (const auto& [body, count] : begun_) all += count;
    return all;
  }

  std::atomic<bool> hangs = false;

 private:
  struct run {
    std::string blob;
    clock::duration left{};
    clock::time_point begun;
  };

  void serve() {
    clock::time_point last = clock::now();
    while (!stopping_) {
      pollfd polled[] = {{door_.fd(), POLLIN, 0}, {link_, POLLIN, 0}};
      ::poll(polled, 2, 2);
      if ((polled[0].revents & POLLIN) != 0) {
        if (link_ >= 0) ::close(link_);
        link_ = ::accept4(door_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
        in_.clear();
        synced_ = false;
        ++links_;
      } else if (link_ >= 0 && polled[1].revents != 0) {
        read();
      }
      const clock::time_point now = clock::now();
      if (!hangs) advance(now - last);
      last = now;
    }
    if (link_ >= 0) ::close(link_);
  }
  void read() {
    char chunk[16384];
    const ssize_t n = ::recv(link_, chunk, sizeof chunk, 0);
    if (n <= 0) {
      ::close(std::exchange(link_, -1));
      return;
    }
    in_.append(chunk, static_cast<std::size_t>(n));
    for (std::size_t end; (end = in_.find('\n')) != std::string::npos;) {
      const std::string line = in_.substr(0, end);
      in_.erase(0, end + 1);
      execute(line);
    }
  }
  void send(const std::string& line) const {
    const std::string bytes = line + "\n";
    std::size_t sent = 0;
    while (link_ >= 0 && sent < bytes.size()) {
      const ssize_t n = ::send(link_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return;
      sent += static_cast<std::size_t>(n);
    }
  }
  void execute(const std::string& line) {
    const std::string command = harness::member(line, "msg"), label = harness::member(line, "call");
    if (command == "sync") {
      send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":600000}");
      for (std::size_t serial = std::stoul(harness::member(line, "serial")); serial < notices_.size();
           ++serial)
        send(notices_[serial]);
      synced_ = true;
    } else if (command == "gauges") {
      send("{\"msg\":\"load\",\"cookie\":\"" + harness::member(line, "cookie") +
           "\",\"stats\":[0.3,1,0.1,3]}");
    } else if (command == "start") {
      if (runs_.contains(label)) return;
      const std::string blob = harness::member(line, "blob");
      const std::string body = peers::unbase64(blob);
      runs_[label] = {blob, std::chrono::milliseconds(run_ms_), clock::now()};
      out_.line("runtime: start of %s, body %.40s", label.c_str(), body.c_str());
      const std::lock_guard lock(guard_);
      ++begun_[body];
    } else if (command == "stop") {
      if (hangs || runs_.erase(label) == 0) return;
      out_.line("runtime: %s broken off by a stop", label.c_str());
      end(label, "broken_off", "");
    }
  }
  void advance(clock::duration elapsed) {
    for (auto each = runs_.begin(); each != runs_.end();) {
      if ((each->second.left -= elapsed) > 0ns) {
        ++each;
        continue;
      }
      out_.line("runtime: %s has ended well", each->first.c_str());
      end(each->first, "fine", ",\"blob\":\"" + each->second.blob + "\"");
      each = runs_.erase(each);
    }
  }
  void end(const std::string& label, const std::string& how, const std::string& blob) {
    notices_.push_back("{\"msg\":\"end\",\"serial\":" + std::to_string(notices_.size() + 1) + ",\"call\":\"" +
                       label + "\",\"how\":\"" + how + "\",\"duration\":1.0" + blob + "}");
    if (synced_) send(notices_.back());
  }

  record& out_;
  const int run_ms_;
  harness::listener door_;
  int link_ = -1;
  std::atomic<int> links_ = 0;
  std::string in_;
  bool synced_ = false;
  std::map<std::string, run> runs_;  // by label
  std::vector<std::string> notices_;
  std::mutex guard_;
  std::map<std::string, int> begun_;  // by body
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Takes the reports to the catalog and gives no answer.
class catalog {
 public:
  catalog() : fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = harness::address_of(0);
    CHECK(::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    socklen_t size = sizeof address;
    CHECK(::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port = ntohs(address.sin_port);
  }
  ~catalog() { ::close(fd_); }
  int port = 0;

 private:
  int fd_;
};

inline std::string address(int port) {
  return harness::own_host() + ":" + std::to_string(port);
}

// Asks the node's operators' address; empty where nothing answers.
inline std::string console(int port, const std::string& line) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = harness::address_of(port);
  std::string answer;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0) {
    const std::string bytes = line + "\n";
    (void)::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    char chunk[4096];
    pollfd polled{fd, POLLIN, 0};
    while (::poll(&polled, 1, 2000) > 0) {
      const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) break;
      answer.append(chunk, static_cast<std::size_t>(n));
    }
  }
  ::close(fd);
  return answer;
}

// Waits until the process says that it takes clients.
inline void wait_ready(int console_port) {
  const auto until = clock::now() + 10s;
  while (console(console_port, "ready").rfind("200 yes", 0) != 0) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(20ms);
  }
}

// Sends one request on a connection of its own and waits for its final answer until `patience`. Returns
// "served", "refused", "failed", "exception", "closed" (the connection ended) or "" (no answer in that time).
inline std::string ask(int port, const std::string& frame, std::chrono::milliseconds patience,
                       std::string* result = nullptr) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = harness::address_of(port);
  std::string heard = "not accepted";
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 &&
      ::send(fd, frame.data(), frame.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(frame.size())) {
    const auto until = clock::now() + patience;
    std::string in;
    heard.clear();
    while (heard.empty()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
      pollfd polled{fd, POLLIN, 0};
      if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0) break;
      char chunk[8192];
      const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) {
        heard = "closed";
        break;
      }
      in.append(chunk, static_cast<std::size_t>(n));
      harness::reply taken;
      while (heard.empty() && harness::take_reply(in, taken))
        if (taken.kind != "closing") heard = taken.kind;
      if (heard == "served" && result != nullptr) *result = harness::result(taken);
    }
  }
  ::close(fd);
  return heard;
}

}  // namespace review
