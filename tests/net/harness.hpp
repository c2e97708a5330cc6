// Starts the real program as a process and talks to it as balancers, gateways, the runtime and uwsgi servers
// would. Blocking sockets with generous limits: a test waits for what must happen, not for how fast.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "../check.hpp"

namespace harness {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr int patience_ms = 10000;
#ifdef __SANITIZE_ADDRESS__
constexpr bool sanitized = true;
#else
constexpr bool sanitized = false;
#endif

// An address of this process's own, so that tests side by side do not meet.
inline std::string own_host() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + pid / 65536 % 254) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(1 + pid % 254);
}

inline sockaddr_in address_of(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  CHECK(::inet_pton(AF_INET, own_host().c_str(), &a.sin_addr) == 1);
  return a;
}

class connection {
 public:
  explicit connection(int fd = -1) : fd_(fd) {}
  connection(connection&& o) noexcept : fd_(std::exchange(o.fd_, -1)), in_(std::move(o.in_)) {}
  connection& operator=(connection&& o) noexcept {
    close();
    fd_ = std::exchange(o.fd_, -1);
    in_ = std::move(o.in_);
    return *this;
  }
  ~connection() { close(); }

  static connection to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = address_of(port);
    CHECK(::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
    return connection(fd);
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      CHECK(n > 0);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // False where the other side has gone.
  bool try_send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // The system keeps little of what comes and is not read.
  void keep_little() {
    const int bytes = 4096;
    CHECK(::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
  }
  bool readable(int ms) const {
    pollfd p{fd_, POLLIN, 0};
    return !in_.empty() || ::poll(&p, 1, ms) > 0;
  }
  // False at the end of the stream.
  bool more() {
    pollfd p{fd_, POLLIN, 0};
    CHECK(::poll(&p, 1, patience_ms) > 0);
    char chunk[4096];
    const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    in_.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  std::string take(std::size_t size) {
    while (in_.size() < size) CHECK(more());
    const std::string taken = in_.substr(0, size);
    in_.erase(0, size);
    return taken;
  }
  std::string line() {
    std::string found;
    CHECK(next(found));
    return found;
  }
  // False at the end of the stream.
  bool next(std::string& line) {
    std::size_t end;
    while ((end = in_.find('\n')) == std::string::npos) {
      if (!more()) return false;
    }
    line = take(end + 1).substr(0, end);
    return true;
  }
  std::string rest() {
    while (more()) {
    }
    return std::exchange(in_, {});
  }
  // What still comes, and whether the other side ended the stream in order: false where the connection was
  // reset.
  bool ends_in_order(std::string& rest) {
    while (true) {
      pollfd p{fd_, POLLIN, 0};
      CHECK(::poll(&p, 1, patience_ms) > 0);
      char chunk[4096];
      const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
      if (n <= 0) {
        rest = std::exchange(in_, {});
        return n == 0;
      }
      in_.append(chunk, static_cast<std::size_t>(n));
    }
  }

 private:
  int fd_;
  std::string in_;
};

// Ports that were handed out for later: nothing else of this process may take one before its node binds it.
inline bool take_port(int port, bool keep) {
  static std::mutex guard;
  static std::set<int> kept;
  const std::lock_guard lock(guard);
  return keep ? kept.insert(port).second : !kept.contains(port);
}

class listener {
 public:
  // `keep`: the port is for another to bind later.
  explicit listener(bool keep = false) {
    do {
      close();
      fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in a = address_of(0);
      CHECK(::bind(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0 && ::listen(fd_, 64) == 0);
      socklen_t size = sizeof a;
      CHECK(::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size) == 0);
      port = ntohs(a.sin_port);
    } while (!take_port(port, keep));
  }
  ~listener() { close(); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  bool waiting(int ms) const {
    pollfd p{fd_, POLLIN, 0};
    return ::poll(&p, 1, ms) > 0;
  }
  connection accept() {
    CHECK(waiting(patience_ms));
    return connection(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  int fd() const { return fd_; }
  int port = 0;

 private:
  int fd_ = -1;
};

inline int free_port() {
  return listener(true).port;
}

// The member of that name in one line of JSON, as text: enough for the lines that the program writes.
inline std::string member(const std::string& line, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  std::size_t at = line.find(key);
  if (at == std::string::npos) return {};
  at += key.size();
  if (line[at] == '"') return line.substr(at + 1, line.find('"', at + 1) - at - 1);
  return line.substr(at, line.find_first_of(",}", at) - at);
}

// Stands in for the runtime: the test says what it does.
class runtime {
 public:
  // Accepts a link; answers its sync and the first question for gauges.
  void up(const std::string& how = "running", int up_ms = 60000) {
    link = door.accept();
    synced = member(link.line(), "serial");
    send("{\"msg\":\"ready\",\"how\":\"" + how + "\",\"duration\":" + std::to_string(up_ms) + "}");
    answer_gauges(link.line());
  }
  void send(const std::string& line) { link.send(line + "\n"); }
  // The next command but for questions for gauges, which are answered.
  std::string command() {
    while (true) {
      std::string line = link.line();
      if (!answer_gauges(line)) return line;
    }
  }
  std::string expect(const std::string& msg) {
    const std::string line = command();
    CHECK(member(line, "msg") == msg);
    return member(line, "call");
  }
  void end(const std::string& call, const std::string& how, const std::string& blob = "") {
    send("{\"msg\":\"end\",\"serial\":" + std::to_string(++serial) + ",\"call\":\"" + call + "\",\"how\":\"" +
         how + "\",\"duration\":12.5" + (blob.empty() ? "" : ",\"blob\":\"" + blob + "\"") + "}");
  }

  listener door;
  connection link;
  std::string synced;
  int serial = 0;
  std::string stats = "0.2,1,0.1,3";

  bool answer_gauges(const std::string& line) {
    if (member(line, "msg") != "gauges") return false;
    send("{\"msg\":\"load\",\"cookie\":\"" + member(line, "cookie") + "\",\"stats\":[" + stats + "]}");
    return true;
  }
};

// The program itself, or the one that $MARBLEWHARF_PROGRAM names: to see a test fail on an earlier build.
inline std::string program_under_test() {
  const char* other = std::getenv("MARBLEWHARF_PROGRAM");
  return other != nullptr ? other : MARBLEWHARF;
}

struct node_options {
  int cores = 4;
  int stop_ms = 3200;
  int aim_ms = 20000;  // far beyond a slow machine's delays, where a test is not about time
  int write_aim_ms = 20000;
  int quota = 100, other_quota = 100;          // requests a second of isar-invest and lech-vermoegen
  std::string operators{};                     // text of an operator's file
  std::string record{};                        // a capture file to write
  std::string edit_from{}, edit_to{};          // in the text of the configuration
  int directory_port = 0;                      // 0: as the node's own
  int listen_port = 0;                         // 0: one of its own; else beside a node that listens there
  std::string tmpdir{};                        // $TMPDIR of the process; empty: as the test's
  int console_port = 0;                        // 0: no console
  std::string program = program_under_test();  // a measurement may compare two
  int descriptors = 0;                         // the process's own limit on open files; 0: as the test's
  bool hold_config =
      false;  // the node waits in its read of the configuration: waits_for_config(), release_config()
};

class node {
 public:
  node(const runtime& r, const node_options& o = {})
      : port(o.listen_port != 0 ? o.listen_port : free_port()) {
    char dir[] = "/tmp/marblewharf-test-XXXXXX";
    CHECK(::mkdtemp(dir) != nullptr);
    dir_ = dir;
    if (o.hold_config) {
      CHECK(::mkfifo((dir_ + "/config.json").c_str(), 0600) == 0);
    } else {
      write_config(r, o);
    }
    if (!o.operators.empty()) std::ofstream(dir_ + "/operators.conf") << o.operators;
    // All that allocates comes before the fork: the test may have threads.
    const std::string log_path = dir_ + "/log";
    std::vector<std::string> words = {"marblewharf"};
    if (!o.operators.empty()) words.insert(words.end(), {"--settings", dir_ + "/operators.conf"});
    if (!o.record.empty()) words.insert(words.end(), {"--record", o.record});
    std::vector<char*> arguments;
    for (std::string& w : words) arguments.push_back(w.data());
    arguments.push_back(nullptr);
    std::string named = "PROXY_CONFIG=" + dir_ + "/config.json";
    std::string tmpdir = "TMPDIR=" + o.tmpdir;
    std::vector<char*> environment = {named.data()};
    if (!o.tmpdir.empty())
      environment.push_back(tmpdir.data());  // the first of a name is the one that counts
    for (char** e = environ; *e != nullptr; ++e) environment.push_back(*e);
    environment.push_back(nullptr);
    pid_ = ::fork();
    CHECK(pid_ >= 0);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves no node behind
      ::dup2(::open(log_path.c_str(), O_CREAT | O_WRONLY, 0600), 2);
      if (o.descriptors > 0) {
        const rlimit most{static_cast<rlim_t>(o.descriptors), static_cast<rlim_t>(o.descriptors)};
        ::setrlimit(RLIMIT_NOFILE, &most);
      }
      ::execve(o.program.c_str(), arguments.data(), environment.data());
      ::_exit(127);
    }
  }
  ~node() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    for (const char* file : {"/config.json", "/operators.conf", "/log"}) ::unlink((dir_ + file).c_str());
    ::rmdir(dir_.c_str());
  }
  void write_config(const runtime& r, const node_options& o) const {
    std::string text = config(r, o);
    if (const std::size_t at = text.find(o.edit_from); !o.edit_from.empty() && at != std::string::npos)
      text.replace(at, o.edit_from.size(), o.edit_to);
    std::ofstream(dir_ + "/config.new") << text;
    CHECK(std::rename((dir_ + "/config.new").c_str(), (dir_ + "/config.json").c_str()) == 0);
  }
  // Ends waits_for_config(). Whoever reads later finds a file of the same text.
  void release_config(const runtime& r, const node_options& o) {
    write_config(r, o);
    const std::string text = (std::ostringstream() << std::ifstream(dir_ + "/config.json").rdbuf()).str();
    CHECK(::write(held_config_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(std::exchange(held_config_, -1));
  }
  void reload(const runtime& r, const node_options& o = {}) {
    write_config(r, o);
    signal(SIGHUP);
  }
  void signal(int which) { ::kill(pid_, which); }
  pid_t pid() const { return pid_; }
  // From now on the process may have so many descriptors.
  void limit_descriptors(int most) const {
    rlimit now{};
    CHECK(::prlimit(pid_, RLIMIT_NOFILE, nullptr, &now) == 0);
    now.rlim_cur = static_cast<rlim_t>(most);
    CHECK(::prlimit(pid_, RLIMIT_NOFILE, &now, nullptr) == 0);
  }
  // With hold_config: until the node reads its configuration, of which nothing is there yet.
  void waits_for_config() {
    const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
    while ((held_config_ = ::open((dir_ + "/config.json").c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0) {
      CHECK(errno == ENXIO && clock::now() < until);  // no reader yet
      std::this_thread::sleep_for(5ms);
    }
  }
  // Asks for the counters until that one stands at `least` or above.
  void until_counter(const std::string& name, long least) {
    const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
    while (true) {
      signal(SIGUSR1);
      std::this_thread::sleep_for(100ms);
      const std::string text = log();
      const std::size_t at = text.rfind(name + "=");
      if (at != std::string::npos && std::stol(text.substr(at + name.size() + 1)) >= least) return;
      CHECK(clock::now() < until);
    }
  }
  // Processor time used so far.
  std::chrono::milliseconds used() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string word;
    long user = 0, system = 0;
    for (int i = 1; i <= 13; ++i) stat >> word;
    stat >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / ::sysconf(_SC_CLK_TCK));
  }
  // The same of its main thread alone, the reactor's, to the nanosecond.
  std::chrono::nanoseconds reactor_used() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/schedstat");
    long long ns = 0;
    stat >> ns;
    return std::chrono::nanoseconds(ns);
  }
  // How many descriptors it has open.
  int descriptors() const {
    DIR* folder = ::opendir(("/proc/" + std::to_string(pid_) + "/fd").c_str());
    CHECK(folder != nullptr);
    int count = -2;  // "." and ".."
    while (::readdir(folder) != nullptr) ++count;
    ::closedir(folder);
    return count;
  }
  long resident_kb() const {
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    long size = 0, resident = 0;
    statm >> size >> resident;
    return resident * (::sysconf(_SC_PAGESIZE) / 1024);
  }
  // Its exit status, once it has ended by itself.
  int wait() {
    int status = 0;
    CHECK(::waitpid(pid_, &status, 0) == pid_);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(dir_ + "/log").rdbuf();
    return text.str();
  }
  // Waits until the log says so.
  void logged(const std::string& text) const {
    const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
    while (log().find(text) == std::string::npos) {
      if (clock::now() > until) std::fprintf(stderr, "log has no '%s':\n%s", text.c_str(), log().c_str());
      CHECK(clock::now() <= until);
      std::this_thread::sleep_for(10ms);
    }
  }
  int port;

 private:
  std::string config(const runtime& r, const node_options& o) const {
    const std::string host = "\"" + own_host() + ":";
    const auto ns = [](int ms) { return std::to_string(ms) + "000000"; };
    const auto klass = [&](const char* name, const char* effect, int aim, int deadline, int worth) {
      return std::string("{\"Name\":\"") + name + "\",\"Effect\":\"" + effect +
             "\",\"Objective\":" + ns(aim) + ",\"Deadline\":" + ns(deadline) +
             ",\"Credit\":" + std::to_string(worth) + "}";
    };
    const auto tenant = [](const char* name, int quota) {
      return std::string("{\"Name\":\"") + name + "\",\"QuotaPerS\":" + std::to_string(quota) + ".0}";
    };
    const std::string console =
        o.console_port == 0 ? "" : "\"console\":" + host + std::to_string(o.console_port) + "\",";
    return "{\"name\":\"n0\"," + console + "\"listen\":" + host + std::to_string(port) +
           "\",\"runtime\":" + host + std::to_string(r.door.port) + "\",\"directory\":" + host +
           std::to_string(o.directory_port != 0 ? o.directory_port : port) +
           "\",\"seed\":\"8c1f\",\"stop_ms\":" + std::to_string(o.stop_ms) +
           ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":{"
           "\"Bounds\":{\"MaxRetryAfter\":1000000000,\"RetryAfter\":true},\"Classes\":[" +
           klass("kurs-abfrage", "safe", o.aim_ms, 3 * o.aim_ms, 1) + "," +
           klass("kurs-meldung", "unsafe", o.write_aim_ms, 3 * o.write_aim_ms, 3) +
           "],\"Extra\":{\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"Halt\":\"pause\","
           "\"NCores\":" +
           std::to_string(o.cores) +
           ",\"RamKb\":200000.0,\"RunFactor\":8.0},\"GroupSize\":1,"
           "\"Safety\":{\"AnswerSlack\":80000000,\"DrainGrace\":2500000000,\"Fall\":1500000000,"
           "\"OverloadFactor\":5.0,\"StartCapacity\":0.21,\"Cold\":18000000000},"
           "\"Tenants\":[" +
           tenant("isar-invest", o.quota) + "," + tenant("lech-vermoegen", o.other_quota) +
           "],\"Tick\":2000000}}";
  }

  std::string dir_;
  pid_t pid_ = -1;
  int held_config_ = -1;
};

// ---- Thrift ----------------------------------------------------------------------------------------------

inline std::string be32(std::uint32_t v) {
  return {static_cast<char>(v >> 24), static_cast<char>(v >> 16), static_cast<char>(v >> 8),
          static_cast<char>(v)};
}
inline std::string text(std::string_view s) {
  return be32(static_cast<std::uint32_t>(s.size())) + std::string(s);
}
inline std::string frame(const std::string& payload) {
  return be32(static_cast<std::uint32_t>(payload.size())) + payload;
}
inline std::string head(int type, const std::string& method, int seqid) {
  return std::string("\x80\x01\x00", 3) + static_cast<char>(type) + text(method) +
         be32(static_cast<std::uint32_t>(seqid));
}

using fields = std::vector<std::pair<std::string, std::string>>;

inline std::string label(int n) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016x", static_cast<unsigned>(n));
  return hex;
}
inline fields usual(int n, const std::string& verb = "kurs-abfrage", int ahead_ms = 0) {
  const auto door = ahead_ms + std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count();
  return {{"verb", verb},  {"txn", label(n)},       {"door", std::to_string(door)},
          {"lb", "1"},     {"team", "isar-invest"}, {"cpu", "12.50"},
          {"ram", "24.5"}, {"standing", "0.6250"}};
}
inline std::string execute(int seqid, const fields& f, const std::string& body) {
  std::string p = head(1, "execute", seqid) + std::string("\x0d\x00\x01\x0b\x0b", 5) +
                  be32(static_cast<std::uint32_t>(f.size()));
  for (const auto& [k, v] : f) p += text(k) + text(v);
  return frame(p + std::string("\x0b\x00\x02", 3) + text(body) + '\0');
}
inline std::string check(int seqid) {
  return frame(head(1, "check", seqid) + std::string("\x02\x00\x01\x00\x00", 5));
}
inline std::string interrupt(int seqid, int which) {
  return frame(head(4, "interrupt", seqid) + std::string("\x08\x00\x01", 3) +
               be32(static_cast<std::uint32_t>(which)) + '\0');
}

// A message of the node: how it ends, and its bytes after the head.
struct reply {
  std::string kind;  // served, refused, failed, exception, closing
  int seqid = 0;
  std::string rest;
};
inline std::uint32_t to_u32(std::string_view b) {
  std::uint32_t v = 0;
  for (const char c : b.substr(0, 4)) v = v << 8 | static_cast<std::uint8_t>(c);
  return v;
}
inline reply read_reply(connection& c) {
  const std::string p = c.take(to_u32(c.take(4)));
  const std::size_t name = to_u32(std::string_view(p).substr(4));
  reply r{"", static_cast<int>(to_u32(std::string_view(p).substr(8 + name))), p.substr(12 + name)};
  if (p[3] == 4) r.kind = p.substr(8, name);
  if (p[3] == 3) r.kind = "exception";
  if (p[3] == 2) r.kind = r.rest[2] == 0 ? "served" : r.rest[2] == 1 ? "refused" : "failed";
  return r;
}
// The bytes of the result in a served reply.
inline std::string result(const reply& r) {
  return r.rest.substr(10, to_u32(std::string_view(r.rest).substr(6)));
}

}  // namespace harness
