// Test harness: starts the real program as a process and plays its peers: balancers, gateways, the runtime
// and uwsgi servers. Sockets block, with generous time limits, because a test waits for an event and does not
// measure its latency.
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
#include <filesystem>
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

// How long a test waits for an expected event before it fails.
constexpr int patience_ms = 10000;
#ifdef __SANITIZE_ADDRESS__
constexpr bool sanitized = true;
#else
constexpr bool sanitized = false;
#endif

// The loopback address of this test process, derived from its process id, so that tests that run in parallel
// use different addresses.
inline std::string own_host() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + pid / 65536 % 254) + "." + std::to_string(pid / 256 % 256) + "." +
         std::to_string(1 + pid % 254);
}

inline sockaddr_in address_of(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  CHECK(::inet_pton(AF_INET, own_host().c_str(), &address.sin_addr) == 1);
  return address;
}

// A blocking TCP connection with a receive buffer. Owns its descriptor.
class connection {
 public:
  explicit connection(int fd = -1) : fd_(fd) {}
  connection(connection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), received_(std::move(other.received_)) {}
  connection& operator=(connection&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    received_ = std::move(other.received_);
    return *this;
  }
  ~connection() { close(); }

  static connection to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(port);
    CHECK(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return connection(fd);
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // Breaks the connection: the peer gets a reset instead of the end of the stream.
  void reset() {
    const linger at_once{1, 0};
    CHECK(::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) == 0);
    close();
  }
  void send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      CHECK(n > 0);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // Returns false where the peer has closed or reset the connection.
  bool try_send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Reduces the socket's receive buffer to 4 KiB, so that unread bytes soon stop the sender.
  void shrink_receive_buffer() {
    const int bytes = 4096;
    CHECK(::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
  }
  // Whether bytes or the end of the stream can be read within that time.
  bool readable(int timeout_ms) const {
    pollfd polled{fd_, POLLIN, 0};
    return !received_.empty() || ::poll(&polled, 1, timeout_ms) > 0;
  }
  // Receives more bytes into the buffer; returns false at the end of the stream or after a reset.
  bool more() {
    pollfd polled{fd_, POLLIN, 0};
    CHECK(::poll(&polled, 1, patience_ms) > 0);
    char chunk[4096];
    const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    received_.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  // Returns the bytes that were received so far.
  std::string take_received() { return std::exchange(received_, {}); }
  // Receives and returns exactly that many bytes.
  std::string take(std::size_t size) {
    while (received_.size() < size) CHECK(more());
    const std::string taken = received_.substr(0, size);
    received_.erase(0, size);
    return taken;
  }
  // Receives the next line and returns it without its line break; fails the test at the end of the stream.
  std::string line() {
    std::string received_line;
    CHECK(next(received_line));
    return received_line;
  }
  // Receives the next line without its line break; returns false at the end of the stream.
  bool next(std::string& line) {
    std::size_t end;
    while ((end = received_.find('\n')) == std::string::npos) {
      if (!more()) return false;
    }
    line = take(end + 1).substr(0, end);
    return true;
  }
  // Receives until the end of the stream and returns the bytes.
  std::string rest() {
    while (more()) {
    }
    return std::exchange(received_, {});
  }
  // Receives the remaining bytes of the stream into `rest`. Returns true where the peer closed the connection
  // gracefully and false where it reset the connection.
  bool closed_gracefully(std::string& rest) {
    while (true) {
      pollfd polled{fd_, POLLIN, 0};
      CHECK(::poll(&polled, 1, patience_ms) > 0);
      char chunk[4096];
      const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
      if (n <= 0) {
        rest = std::exchange(received_, {});
        return n == 0;
      }
      received_.append(chunk, static_cast<std::size_t>(n));
    }
  }

 private:
  int fd_;
  std::string received_;  // bytes that were received and not consumed yet
};

// Whether a listener may use the port. A port that was reserved for a node that binds it later is not
// available to any other listener of this process. With `reserve` true, also reserves the port; returns false
// if it was reserved before.
inline bool claim_port(int port, bool reserve) {
  static std::mutex mutex;
  static std::set<int> reserved_ports;
  const std::lock_guard lock(mutex);
  return reserve ? reserved_ports.insert(port).second : !reserved_ports.contains(port);
}

// A listening socket on own_host() with a port that the kernel chooses.
class listener {
 public:
  // `reserve`: the port is reserved for a process that binds it later.
  explicit listener(bool reserve = false) {
    do {
      close();
      fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = address_of(0);
      CHECK(::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
            ::listen(fd_, 64) == 0);
      socklen_t size = sizeof address;
      CHECK(::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
      port = ntohs(address.sin_port);
    } while (!claim_port(port, reserve));
  }
  ~listener() { close(); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // Whether a connection can be accepted within that time.
  bool waiting(int timeout_ms) const {
    pollfd polled{fd_, POLLIN, 0};
    return ::poll(&polled, 1, timeout_ms) > 0;
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

// Returns a free port and reserves it for a process that binds it later.
inline int free_port() {
  return listener(true).port;
}

// The value of the named member in one line of JSON, as text; empty where the line has no such member.
// Supports only the JSON that the program writes.
inline std::string member(const std::string& line, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  std::size_t value_begin = line.find(key);
  if (value_begin == std::string::npos) return {};
  value_begin += key.size();
  if (line[value_begin] == '"')
    return line.substr(value_begin + 1, line.find('"', value_begin + 1) - value_begin - 1);
  return line.substr(value_begin, line.find_first_of(",}", value_begin) - value_begin);
}

// A stub of the runtime that the test controls step by step.
class runtime {
 public:
  // Accepts the node's connection; answers its `sync` and its first `gauges` query. `state`: the runtime's
  // state, "running" or "starting"; `up_ms`: for how long it has run.
  void up(const std::string& state = "running", int up_ms = 60000) {
    link = door.accept();
    synced_serial = member(link.line(), "serial");
    send("{\"msg\":\"ready\",\"how\":\"" + state + "\",\"duration\":" + std::to_string(up_ms) + "}");
    answer_gauges(link.line());
  }
  void send(const std::string& line) { link.send(line + "\n"); }
  // Receives the next command other than `gauges`; answers each `gauges` query before it.
  std::string command() {
    while (true) {
      std::string line = link.line();
      if (!answer_gauges(line)) return line;
    }
  }
  // Receives the next command, which must have that name; returns the call that the command names.
  std::string expect(const std::string& command_name) {
    const std::string line = command();
    CHECK(member(line, "msg") == command_name);
    return member(line, "call");
  }
  // Sends the notice that the run of that call has ended, with the next serial number. `blob`: the result in
  // base64.
  void end(const std::string& call, const std::string& outcome, const std::string& blob = "") {
    send("{\"msg\":\"end\",\"serial\":" + std::to_string(++serial) + ",\"call\":\"" + call + "\",\"how\":\"" +
         outcome + "\",\"duration\":12.5" + (blob.empty() ? "" : ",\"blob\":\"" + blob + "\"") + "}");
  }

  listener door;                      // where the node connects
  connection link;                    // the node's connection
  std::string synced_serial;          // the serial number in the node's last `sync`
  int serial = 0;                     // the serial number of the last end notice
  std::string stats = "0.2,1,0.1,3";  // the gauges: cpu_busy, runnable, mem_used, sockets

  // Answers the line where it is a `gauges` query; returns false for any other line.
  bool answer_gauges(const std::string& line) {
    if (member(line, "msg") != "gauges") return false;
    send("{\"msg\":\"load\",\"cookie\":\"" + member(line, "cookie") + "\",\"stats\":[" + stats + "]}");
    return true;
  }
};

// The path of the program under test. $MARBLEWHARF_PROGRAM replaces it, for example with an earlier build
// that a test must fail on.
inline std::string program_under_test() {
  const char* program = std::getenv("MARBLEWHARF_PROGRAM");
  return program != nullptr ? program : MARBLEWHARF;
}

// Settings of a node process.
struct node_options {
  int cores = 4;
  int stop_ms = 3200;
  int aim_ms = 20000;        // latency objective of safe requests; above any delay of a slow machine
  int write_aim_ms = 20000;  // latency objective of unsafe requests
  int quota = 100, other_quota = 100;  // requests per second of isar-invest and lech-vermoegen
  bool tenants = true;                 // false: the settings list no tenants
  std::string operators{};             // text of the operator's file; empty: none
  std::string record{};                // path of a capture file to write; empty: none
  std::string edit_from{}, edit_to{};  // replaces the first occurrence in the text of the configuration
  int directory_port = 0;              // 0: the same as the node's port
  int listen_port = 0;                 // 0: a free port; else a port that another node may listen on
  // $TMPDIR of the process. Empty: a folder of its own, or inherited from the test if `listen_port` is set.
  std::string tmpdir{};
  int console_port = 0;                        // 0: no console
  std::string program = program_under_test();  // a benchmark may compare two programs
  int descriptors = 0;                         // RLIMIT_NOFILE of the process; 0: inherited from the test
  // The node blocks while it reads its configuration: see wait_for_config_read(), release_config().
  bool hold_config = false;
};

// A running process of the program, with its configuration and its log in a temporary folder. The destructor
// kills the process with SIGKILL and removes the folder.
class node {
 public:
  node(const runtime& peer, const node_options& options = {})
      : port(options.listen_port != 0 ? options.listen_port : free_port()) {
    char dir[] = "/tmp/marblewharf-test-XXXXXX";
    CHECK(::mkdtemp(dir) != nullptr);
    dir_ = dir;
    if (options.hold_config) {
      CHECK(::mkfifo((dir_ + "/config.json").c_str(), 0600) == 0);
    } else {
      write_config(peer, options);
    }
    if (!options.operators.empty()) std::ofstream(dir_ + "/operators.conf") << options.operators;
    // Everything that allocates memory runs before the fork: in the child of a process with threads, an
    // allocation can deadlock.
    const std::string log_path = dir_ + "/log";
    std::vector<std::string> argument_texts = {"marblewharf"};
    if (!options.operators.empty())
      argument_texts.insert(argument_texts.end(), {"--settings", dir_ + "/operators.conf"});
    if (!options.record.empty()) argument_texts.insert(argument_texts.end(), {"--record", options.record});
    std::vector<char*> arguments;
    for (std::string& argument : argument_texts) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    std::string config_variable = "PROXY_CONFIG=" + dir_ + "/config.json";
    const bool own_tmpdir = options.tmpdir.empty() && options.listen_port == 0;
    if (own_tmpdir) CHECK(::mkdir((dir_ + "/tmp").c_str(), 0700) == 0);
    std::string tmpdir_variable = "TMPDIR=" + (own_tmpdir ? dir_ + "/tmp" : options.tmpdir);
    std::vector<char*> environment = {config_variable.data()};
    if (own_tmpdir || !options.tmpdir.empty())
      environment.push_back(tmpdir_variable.data());  // the first entry of a name takes effect
    for (char** variable = environ; *variable != nullptr; ++variable) environment.push_back(*variable);
    environment.push_back(nullptr);
    pid_ = ::fork();
    CHECK(pid_ >= 0);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // so that no node survives a failed test
      ::dup2(::open(log_path.c_str(), O_CREAT | O_WRONLY, 0600), 2);
      if (options.descriptors > 0) {
        const rlimit limit{static_cast<rlim_t>(options.descriptors),
                           static_cast<rlim_t>(options.descriptors)};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      ::execve(options.program.c_str(), arguments.data(), environment.data());
      ::_exit(127);
    }
  }
  ~node() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(dir_, ignored);
  }
  // Replaces the configuration file atomically.
  void write_config(const runtime& peer, const node_options& options) const {
    std::string text = config(peer, options);
    if (const std::size_t found = text.find(options.edit_from);
        !options.edit_from.empty() && found != std::string::npos)
      text.replace(found, options.edit_from.size(), options.edit_to);
    std::ofstream(dir_ + "/config.new") << text;
    CHECK(std::rename((dir_ + "/config.new").c_str(), (dir_ + "/config.json").c_str()) == 0);
  }
  // Lets the node that wait_for_config_read() waited for read its configuration. A later read, at a reload,
  // finds a regular file with the same text.
  void release_config(const runtime& peer, const node_options& options) {
    write_config(peer, options);
    const std::string text = (std::ostringstream() << std::ifstream(dir_ + "/config.json").rdbuf()).str();
    CHECK(::write(held_config_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(std::exchange(held_config_, -1));
  }
  // Writes a new configuration and sends SIGHUP.
  void reload(const runtime& peer, const node_options& options = {}) {
    write_config(peer, options);
    signal(SIGHUP);
  }
  void signal(int number) { ::kill(pid_, number); }
  pid_t pid() const { return pid_; }
  // Sets the soft limit on open descriptors of the running process.
  void limit_descriptors(int count) const {
    rlimit limit{};
    CHECK(::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) == 0);
    limit.rlim_cur = static_cast<rlim_t>(count);
    CHECK(::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  // With hold_config: waits until the node has opened its configuration, a FIFO that is still empty.
  void wait_for_config_read() {
    const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
    while ((held_config_ = ::open((dir_ + "/config.json").c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0) {
      CHECK(errno == ENXIO && clock::now() < until);  // no reader yet
      std::this_thread::sleep_for(5ms);
    }
  }
  // Requests the counters with SIGUSR1 until the named one is `minimum` or higher.
  void wait_for_counter(const std::string& name, long minimum) {
    const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
    while (true) {
      signal(SIGUSR1);
      std::this_thread::sleep_for(100ms);
      const std::string text = log();
      const std::size_t found = text.rfind(name + "=");
      if (found != std::string::npos && std::stol(text.substr(found + name.size() + 1)) >= minimum) return;
      CHECK(clock::now() < until);
    }
  }
  // CPU time of the process so far, user and system.
  std::chrono::milliseconds used() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string skipped_field;
    long user = 0, system = 0;
    for (int i = 1; i <= 13; ++i) stat >> skipped_field;
    stat >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / ::sysconf(_SC_CLK_TCK));
  }
  // CPU time so far of the main thread, which runs the reactor, in nanoseconds.
  std::chrono::nanoseconds reactor_used() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/schedstat");
    long long ns = 0;
    stat >> ns;
    return std::chrono::nanoseconds(ns);
  }
  // The number of descriptors that the process has open.
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
  // Waits for the process to exit and returns its exit status; -1 where a signal ended it.
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
  // Waits until the log contains the text.
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
  std::string config(const runtime& peer, const node_options& options) const {
    const std::string host = "\"" + own_host() + ":";
    const auto ns = [](int ms) { return std::to_string(ms) + "000000"; };
    const auto request_class = [&](const char* name, const char* effect, int objective_ms, int deadline_ms,
                                   int credit) {
      return std::string("{\"Name\":\"") + name + "\",\"Effect\":\"" + effect +
             "\",\"Objective\":" + ns(objective_ms) + ",\"Deadline\":" + ns(deadline_ms) +
             ",\"Credit\":" + std::to_string(credit) + "}";
    };
    const auto tenant = [](const char* name, int quota) {
      return std::string("{\"Name\":\"") + name + "\",\"QuotaPerS\":" + std::to_string(quota) + ".0}";
    };
    const std::string tenants = !options.tenants
                                    ? ""
                                    : "\"Tenants\":[" + tenant("isar-invest", options.quota) + "," +
                                          tenant("lech-vermoegen", options.other_quota) + "],";
    const std::string console =
        options.console_port == 0 ? "" : "\"console\":" + host + std::to_string(options.console_port) + "\",";
    return "{\"name\":\"n0\"," + console + "\"listen\":" + host + std::to_string(port) +
           "\",\"runtime\":" + host + std::to_string(peer.door.port) + "\",\"directory\":" + host +
           std::to_string(options.directory_port != 0 ? options.directory_port : port) +
           "\",\"seed\":\"8c1f\",\"stop_ms\":" + std::to_string(options.stop_ms) +
           ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":{"
           "\"Bounds\":{\"MaxRetryAfter\":1000000000,\"RetryAfter\":true},\"Classes\":[" +
           request_class("kurs-abfrage", "safe", options.aim_ms, 3 * options.aim_ms, 1) + "," +
           request_class("kurs-meldung", "unsafe", options.write_aim_ms, 3 * options.write_aim_ms, 3) +
           "],\"Extra\":{\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"Halt\":\"pause\","
           "\"NCores\":" +
           std::to_string(options.cores) +
           ",\"RamKb\":200000.0,\"RunFactor\":8.0},\"GroupSize\":1,"
           "\"Safety\":{\"AnswerSlack\":80000000,\"DrainGrace\":2500000000,\"Fall\":1500000000,"
           "\"OverloadFactor\":5.0,\"StartCapacity\":0.21,\"Cold\":18000000000}," +
           tenants + "\"Tick\":2000000}}";
  }

  std::string dir_;
  pid_t pid_ = -1;
  int held_config_ = -1;  // write end of the FIFO that the node reads its configuration from
};

// ---- Thrift ----------------------------------------------------------------------------------------------

// The value in 4 bytes, big-endian.
inline std::string be32(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
          static_cast<char>(value)};
}
// A Thrift string: length and bytes.
inline std::string text(std::string_view value) {
  return be32(static_cast<std::uint32_t>(value.size())) + std::string(value);
}
// A framed message: length and payload.
inline std::string frame(const std::string& payload) {
  return be32(static_cast<std::uint32_t>(payload.size())) + payload;
}
// The head of a message of the strict binary protocol. `type`: 1 call, 2 reply, 3 exception, 4 oneway.
inline std::string head(int type, const std::string& method, int seqid) {
  return std::string("\x80\x01\x00", 3) + static_cast<char>(type) + text(method) +
         be32(static_cast<std::uint32_t>(seqid));
}

// The header fields of a request, in the order in which they are sent.
using fields = std::vector<std::pair<std::string, std::string>>;

// The request id of request `number`, as 16 hexadecimal digits.
inline std::string label(int number) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016x", static_cast<unsigned>(number));
  return hex;
}
// The fields with the value of the field `name` replaced.
inline fields with_field(fields original, const std::string& name, const std::string& new_value) {
  for (auto& [field_name, value] : original)
    if (field_name == name) value = new_value;
  return original;
}
// The fields without the field `name`.
inline fields without_field(fields original, const std::string& name) {
  std::erase_if(original, [&name](const auto& field) { return field.first == name; });
  return original;
}
// Valid header fields of request `number`. `ahead_ms`: how far the arrival time is in the future; negative:
// in the past.
inline fields usual(int number, const std::string& verb = "kurs-abfrage", int ahead_ms = 0) {
  const auto arrival_ms = ahead_ms + std::chrono::duration_cast<std::chrono::milliseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count();
  return {{"verb", verb},  {"txn", label(number)},  {"door", std::to_string(arrival_ms)},
          {"lb", "1"},     {"team", "isar-invest"}, {"cpu", "12.50"},
          {"ram", "24.5"}, {"standing", "0.6250"}};
}
// An `execute` call: a request with its header fields and its body.
inline std::string execute(int seqid, const fields& header_fields, const std::string& body) {
  std::string payload = head(1, "execute", seqid) + std::string("\x0d\x00\x01\x0b\x0b", 5) +
                        be32(static_cast<std::uint32_t>(header_fields.size()));
  for (const auto& [name, value] : header_fields) payload += text(name) + text(value);
  return frame(payload + std::string("\x0b\x00\x02", 3) + text(body) + '\0');
}
// A `check` call: the balancer's health check.
inline std::string check(int seqid) {
  return frame(head(1, "check", seqid) + std::string("\x02\x00\x01\x00\x00", 5));
}
// A oneway `interrupt` message: cancels the call with the sequence id `cancelled`.
inline std::string interrupt(int seqid, int cancelled) {
  return frame(head(4, "interrupt", seqid) + std::string("\x08\x00\x01", 3) +
               be32(static_cast<std::uint32_t>(cancelled)) + '\0');
}

// A message from the node: its kind and its bytes after the head.
struct reply {
  // "served", "refused", "failed", "exception", or the method of a oneway message: "closing".
  std::string kind;
  int seqid = 0;
  std::string rest;
};
// The value of the first 4 bytes, big-endian.
inline std::uint32_t to_u32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char byte : bytes.substr(0, 4)) value = value << 8 | static_cast<std::uint8_t>(byte);
  return value;
}
// The message with that payload.
inline reply to_reply(const std::string& payload) {
  const std::size_t name_size = to_u32(std::string_view(payload).substr(4));
  reply r{"", static_cast<int>(to_u32(std::string_view(payload).substr(8 + name_size))),
          payload.substr(12 + name_size)};
  if (payload[3] == 4) r.kind = payload.substr(8, name_size);
  if (payload[3] == 3) r.kind = "exception";
  if (payload[3] == 2) r.kind = r.rest[2] == 0 ? "served" : r.rest[2] == 1 ? "refused" : "failed";
  return r;
}
inline reply read_reply(connection& client) {
  return to_reply(client.take(to_u32(client.take(4))));
}
// Takes the first message off `in`; returns false if `in` holds no whole message.
inline bool take_reply(std::string& in, reply& taken) {
  constexpr std::size_t length_bytes = 4;
  if (in.size() < length_bytes) return false;
  const std::size_t size = to_u32(in);
  if (in.size() < length_bytes + size) return false;
  taken = to_reply(in.substr(length_bytes, size));
  in.erase(0, length_bytes + size);
  return true;
}
// The bytes of the result in a reply of kind "served".
inline std::string result(const reply& served) {
  return served.rest.substr(10, to_u32(std::string_view(served.rest).substr(6)));
}

}  // namespace harness
