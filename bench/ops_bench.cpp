// Measures daily operation against the real program: how long the console takes to answer with and without
// clients' load, and how many requests end at the door while a second process replaces the first. One table,
// one run; figures are ratios within it.
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

// A node with a console of its own; `listen` beside another node, `tmpdir` shared with it.
struct with_console {
  with_console(const runtime& r, int listen, const std::string& tmpdir)
      : console_port(free_port()), n(r, options(listen, tmpdir, console_port)) {}
  static node_options options(int listen, const std::string& tmpdir, int console) {
    node_options o;
    o.listen_port = listen;
    o.tmpdir = tmpdir;
    o.edit_from = "\"seed\"";
    o.edit_to = "\"console\":\"" + own_host() + ":" + std::to_string(console) + "\",\"seed\"";
    return o;
  }
  int console_port;
  node n;
};

int dial(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0) return fd;
  ::close(fd);
  return -1;
}

// All that comes until the end of the stream or `wait_ms` of silence; empty where the connection failed.
std::string exchange(int port, const std::string& bytes, int wait_ms, bool until_end) {
  const int fd = dial(port);
  if (fd < 0) return {};
  std::string in;
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
    while (true) {
      pollfd p{fd, POLLIN, 0};
      if (::poll(&p, 1, wait_ms) <= 0) break;
      char chunk[4096];
      const ssize_t got = ::recv(fd, chunk, sizeof chunk, 0);
      if (got <= 0) break;
      in.append(chunk, static_cast<std::size_t>(got));
      // A Thrift reply is whole once its frame is.
      if (!until_end && in.size() >= 4 && in.size() >= 4 + to_u32(in)) break;
    }
  }
  ::close(fd);
  return in;
}

// Requests on new connections, each one's answer awaited, until `stop`.
struct client_load {
  std::atomic<long> asked = 0, answered = 0, at_the_door = 0;
  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  void start(int port) {
    for (int c = 0; c < clients; ++c) {
      threads.emplace_back([this, port, c] {
        std::mt19937 random(seed + static_cast<unsigned>(c));
        for (int n = 1; !stop; ++n) {
          ++asked;
          const std::string reply = exchange(port, execute(1, usual(c * 100000 + n), "kurs"), 5000, false);
          // Refused, reset or closed without a whole answer: it ended at the door.
          if (reply.size() >= 4 && reply.size() >= 4 + to_u32(reply)) {
            ++answered;
          } else {
            ++at_the_door;
          }
          std::this_thread::sleep_for(std::chrono::microseconds(random() % 2000));
        }
      });
    }
  }
  void finish() {
    stop = true;
    for (std::thread& t : threads) t.join();
    threads.clear();
  }
};

struct times {
  double p50 = 0, p99 = 0, most = 0;
  int wrong = 0;
};

// Console calls, one after the other, for `length`.
times console_calls(int port, clock::duration length) {
  std::vector<double> took;
  times t;
  const auto until = clock::now() + length;
  for (int i = 0; clock::now() < until; ++i) {
    const char* line = i % 2 == 0 ? "show-stat\n" : "ready\n";
    const auto begun = clock::now();
    const std::string answer = exchange(port, line, 2000, true);
    took.push_back(ms(clock::now() - begun));
    t.wrong += answer.rfind("200", 0) == 0 ? 0 : 1;
    std::this_thread::sleep_for(20ms);
  }
  std::sort(took.begin(), took.end());
  t.p50 = took[took.size() / 2];
  t.p99 = took[took.size() * 99 / 100];
  t.most = took.back();
  return t;
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
  std::printf("seed %u, %d clients, each request on a new connection\n", seed, clients);
  char folder[] = "/tmp/marblewharf-ops-bench-XXXXXX";
  CHECK(::mkdtemp(folder) != nullptr);
  peers::quick_runtime first_runtime, second_runtime;
  auto first = std::make_unique<with_console>(first_runtime.r, 0, folder);
  first_runtime.start();
  wait_ready(first->console_port);

  const times idle = console_calls(first->console_port, 3s);
  client_load load;
  load.start(first->n.port);
  std::this_thread::sleep_for(500ms);
  const long before = load.answered;
  const auto loaded_since = clock::now();
  const times loaded = console_calls(first->console_port, 3s);
  const double rate = static_cast<double>(load.answered - before) /
                      std::chrono::duration<double>(clock::now() - loaded_since).count();

  // Replacement under the same load.
  const long asked_before = load.asked, door_before = load.at_the_door;
  with_console second(second_runtime.r, first->n.port, folder);
  second_runtime.start();
  wait_ready(second.console_port);
  first->n.signal(SIGTERM);
  const int status = first->n.wait();
  std::this_thread::sleep_for(1s);
  load.finish();
  const long asked = load.asked - asked_before, at_door = load.at_the_door - door_before;

  std::printf("| measure | idle | under load | ratio |\n| --- | --- | --- | --- |\n");
  std::printf("| console answer p50, ms | %.2f | %.2f | %.2f |\n", idle.p50, loaded.p50,
              loaded.p50 / idle.p50);
  std::printf("| console answer p99, ms | %.2f | %.2f | %.2f |\n", idle.p99, loaded.p99,
              loaded.p99 / idle.p99);
  std::printf("| console answer, longest, ms | %.2f | %.2f | %.2f |\n", idle.most, loaded.most,
              loaded.most / idle.most);
  std::printf("| console answers not 200 | %d | %d | |\n", idle.wrong, loaded.wrong);
  std::printf("\nclient load: %.0f requests a second served\n", rate);
  std::printf(
      "replacement: %ld requests asked from start of the second process to 1 s after the first ended "
      "(exit %d); %ld ended at the door, a share of %.4f\n",
      asked, status, at_door, asked > 0 ? static_cast<double>(at_door) / static_cast<double>(asked) : 0.0);
  ::unlink((std::string(folder) + "/marblewharf-n0.ready").c_str());
  ::rmdir(folder);
  return 0;
}
