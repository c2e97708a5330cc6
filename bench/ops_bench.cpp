// Measures operations on a real node process: the response time of the console with and without client load,
// and how many requests get no complete response while a second process replaces the first (hot restart). The
// ratios in the table compare figures of the same run.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <random>
#include <thread>

#include "../tests/peers/quick_runtime.hpp"

using namespace harness;

namespace {

constexpr unsigned seed = 20261201;
constexpr int clients = 48;

double ms(clock::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// A node with its own console. To replace a running node, it listens on the same port (`listen`) and shares
// the folder `tmpdir` with that node. With `listen` 0 it takes a free port.
struct node_with_console {
  node_with_console(const runtime& r, int listen, const std::string& tmpdir)
      : console_port(free_port()), price_node(r, make_options(listen, tmpdir, console_port)) {}
  static node_options make_options(int listen, const std::string& tmpdir, int console) {
    node_options options;
    options.listen_port = listen;
    options.tmpdir = tmpdir;
    options.edit_from = "\"seed\"";
    options.edit_to = "\"console\":\"" + own_host() + ":" + std::to_string(console) + "\",\"seed\"";
    return options;
  }
  int console_port;
  node price_node;
};

int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

// Sends `bytes` on a new connection and returns the bytes received. Stops at the end of the stream, after
// `wait_ms` without data or, unless `until_end`, after one complete Thrift frame. Returns an empty string if
// the connection fails.
std::string exchange(int port, const std::string& bytes, int wait_ms, bool until_end) {
  const int fd = connect_to(port);
  if (fd < 0) return {};
  std::string received;
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
    while (true) {
      pollfd readable{fd, POLLIN, 0};
      if (::poll(&readable, 1, wait_ms) <= 0) break;
      char chunk[4096];
      const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
      if (count <= 0) break;
      received.append(chunk, static_cast<std::size_t>(count));
      // A Thrift reply is complete when its frame is complete.
      if (!until_end && received.size() >= 4 && received.size() >= 4 + to_u32(received)) break;
    }
  }
  ::close(fd);
  return received;
}

// Clients that send each request on a new connection and wait for its response, until `stop` is set.
struct client_load {
  std::atomic<long> sent = 0, answered = 0, unanswered = 0;
  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  void start(int port) {
    for (int c = 0; c < clients; ++c) {
      threads.emplace_back([this, port, c] {
        std::mt19937 random(seed + static_cast<unsigned>(c));
        for (int number = 1; !stop; ++number) {
          ++sent;
          const std::string reply =
              exchange(port, execute(1, usual(c * 100000 + number), "kurs"), 5000, false);
          // Without a complete response, the connection was refused, reset or closed, or the wait timed out.
          if (reply.size() >= 4 && reply.size() >= 4 + to_u32(reply)) {
            ++answered;
          } else {
            ++unanswered;
          }
          std::this_thread::sleep_for(std::chrono::microseconds(random() % 2000));
        }
      });
    }
  }
  void finish() {
    stop = true;
    for (std::thread& thread : threads) thread.join();
    threads.clear();
  }
};

struct response_times {
  double p50_ms = 0, p99_ms = 0, longest_ms = 0;
  int not_200 = 0;
};

// Sends console commands one after the other for `length` and measures their response times.
response_times measure_console(int port, clock::duration length) {
  std::vector<double> durations_ms;
  response_times measured;
  const auto until = clock::now() + length;
  for (int i = 0; clock::now() < until; ++i) {
    const char* command = i % 2 == 0 ? "show-stat\n" : "ready\n";
    const auto began = clock::now();
    const std::string answer = exchange(port, command, 2000, true);
    durations_ms.push_back(ms(clock::now() - began));
    measured.not_200 += answer.rfind("200", 0) == 0 ? 0 : 1;
    std::this_thread::sleep_for(20ms);
  }
  std::sort(durations_ms.begin(), durations_ms.end());
  measured.p50_ms = durations_ms[durations_ms.size() / 2];
  measured.p99_ms = durations_ms[durations_ms.size() * 99 / 100];
  measured.longest_ms = durations_ms.back();
  return measured;
}

void wait_ready(int console) {
  const auto until = clock::now() + 10s;
  while (exchange(console, "ready\n", 500, true).rfind("200 yes", 0) != 0) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(10ms);
  }
}

}  // namespace

int main() {
  std::printf("seed %u, %d clients, a new connection for each request\n", seed, clients);
  char folder[] = "/tmp/marblewharf-ops-bench-XXXXXX";
  CHECK(::mkdtemp(folder) != nullptr);
  peers::quick_runtime first_runtime, second_runtime;
  auto first = std::make_unique<node_with_console>(first_runtime.r, 0, folder);
  first_runtime.start();
  wait_ready(first->console_port);

  const response_times idle = measure_console(first->console_port, 3s);
  client_load load;
  load.start(first->price_node.port);
  std::this_thread::sleep_for(500ms);
  const long answered_before = load.answered;
  const auto load_began = clock::now();
  const response_times loaded = measure_console(first->console_port, 3s);
  const double rate = static_cast<double>(load.answered - answered_before) /
                      std::chrono::duration<double>(clock::now() - load_began).count();

  // Replaces the first process under the same load.
  const long sent_before = load.sent, unanswered_before = load.unanswered;
  node_with_console second(second_runtime.r, first->price_node.port, folder);
  second_runtime.start();
  wait_ready(second.console_port);
  first->price_node.signal(SIGTERM);
  const int exit_status = first->price_node.wait();
  std::this_thread::sleep_for(1s);
  load.finish();
  const long sent = load.sent - sent_before, unanswered = load.unanswered - unanswered_before;

  std::printf("| measure | idle | under load | ratio |\n| --- | --- | --- | --- |\n");
  std::printf("| console response time p50, ms | %.2f | %.2f | %.2f |\n", idle.p50_ms, loaded.p50_ms,
              loaded.p50_ms / idle.p50_ms);
  std::printf("| console response time p99, ms | %.2f | %.2f | %.2f |\n", idle.p99_ms, loaded.p99_ms,
              loaded.p99_ms / idle.p99_ms);
  std::printf("| console response time, longest, ms | %.2f | %.2f | %.2f |\n", idle.longest_ms,
              loaded.longest_ms, loaded.longest_ms / idle.longest_ms);
  std::printf("| console responses other than 200 | %d | %d | |\n", idle.not_200, loaded.not_200);
  std::printf("\nclient load: %.0f requests served per second\n", rate);
  std::printf(
      "replacement: %ld requests sent from the start of the second process until 1 s after the exit of the "
      "first (status %d); %ld without a complete response, a fraction of %.4f\n",
      sent, exit_status, unanswered,
      sent > 0 ? static_cast<double>(unanswered) / static_cast<double>(sent) : 0.0);
  ::unlink((std::string(folder) + "/marblewharf-n0.ready").c_str());
  ::rmdir(folder);
  return 0;
}
