// Measures fan-out over four dependencies while one of them is slowed eightfold. Compares the node with a
// simple client that uses the same time-out for all dependencies and a fixed number of retries. Also measures
// the processor time of the node for each request with 1, 4 and 16 dependencies.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <random>
#include <thread>

#include "../tests/net/harness.hpp"
#include "../tests/net/uwsgi_peer.hpp"
#include "../tests/peers/uwsgi_server.hpp"

using namespace harness;
using peers::manner;
using peers::reaction;
using peers::uwsgi_request;
using peers::uwsgi_server;

namespace {

constexpr unsigned seed = 20261201;

double seconds(clock::duration d) {
  return std::chrono::duration<double>(d).count();
}

// The service times of a dependency with a fixed number of slots. A request waits until a slot is free, so
// that load increases the response times as in a real dependency.
class slot_queue {
 public:
  slot_queue(unsigned slots, std::chrono::microseconds service_time)
      : free_(slots), service_time_(service_time), random_(seed) {}
  std::atomic<int> slowdown = 1;
  reaction operator()() {
    const std::lock_guard lock(guard_);
    const auto now = clock::now();
    auto slot = std::min_element(free_.begin(), free_.end());
    const auto begin = std::max(*slot, now);
    const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    *slot = begin + std::chrono::microseconds(
                        static_cast<long>(spread * slowdown * static_cast<double>(service_time_.count())));
    return {std::chrono::duration_cast<std::chrono::microseconds>(*slot - now), manner::whole, "101.42"};
  }

 private:
  std::mutex guard_;
  std::vector<clock::time_point> free_;
  std::chrono::microseconds service_time_;
  std::mt19937 random_;
};

struct dependency_set {
  dependency_set() {
    for (int d = 0; d < 4; ++d) {
      for (int e = 0; e < 2; ++e) {
        slots.push_back(std::make_unique<slot_queue>(8, 10ms));
        servers.push_back(std::make_unique<uwsgi_server>(
            [s = slots.back().get()](const uwsgi_request&) { return (*s)(); }));
      }
    }
  }
  // Multiplies the service times of dependency 2 by `slowdown`.
  void set_slowdown(int slowdown) {
    slots[4]->slowdown = slowdown;
    slots[5]->slowdown = slowdown;
  }
  int requests() const {
    int total = 0;
    for (const auto& server : servers) total += server->requests;
    return total;
  }
  std::vector<std::unique_ptr<slot_queue>> slots;
  std::vector<std::unique_ptr<uwsgi_server>> servers;
};

struct load_result {
  // healthy: fresh sub-responses of the dependencies that are not slowed; complete: requests with four fresh
  // sub-responses; calls: dependency calls per sub-request; latencies in seconds.
  int sent = 0, in_time = 0, healthy = 0, complete = 0;
  double p50_s = 0, p99_s = 0, calls = 0;
};

// Sends `rate` requests per second for `length` on a fixed schedule (open loop). `send_request` sends one
// request and returns "x" followed by the digits of the dependencies with a fresh sub-response, or an empty
// string if the request failed.
load_result run_load(double rate, clock::duration length, const dependency_set& dependencies,
                     const std::function<std::string()>& send_request) {
  constexpr int workers = 192;
  std::atomic<int> next = 0;
  const int total = static_cast<int>(rate * seconds(length));
  const auto begin = clock::now();
  const int calls_before = dependencies.requests();
  std::mutex guard;
  load_result result;
  std::vector<double> latencies;
  std::vector<std::thread> threads;
  for (int w = 0; w < workers; ++w) {
    threads.emplace_back([&] {
      for (int number; (number = next++) < total;) {
        const auto due =
            begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(number / rate));
        std::this_thread::sleep_until(due);
        const std::string fresh = send_request();
        const double latency = seconds(clock::now() - due);
        const std::lock_guard lock(guard);
        ++result.sent;
        result.in_time += !fresh.empty() && latency <= 2.9;
        for (const char dependency : {'0', '1', '3'})
          result.healthy += fresh.find(dependency) != std::string::npos;
        result.complete += fresh.size() == 5;
        latencies.push_back(latency);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::sort(latencies.begin(), latencies.end());
  result.p50_s = latencies[latencies.size() / 2];
  result.p99_s = latencies[latencies.size() * 99 / 100];
  result.calls = static_cast<double>(dependencies.requests() - calls_before) / (4.0 * result.sent);
  return result;
}

// Sends `bytes` on a new connection and returns all bytes up to the end of the stream, or an empty string if
// the connection fails or the time-out expires.
std::string exchange(int port, const std::string& bytes, int timeout_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  std::string received;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    const auto until = clock::now() + std::chrono::milliseconds(timeout_ms);
    while (true) {
      const auto left_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
      pollfd readable{fd, POLLIN, 0};
      char chunk[8192];
      if (left_ms <= 0 || ::poll(&readable, 1, static_cast<int>(left_ms)) <= 0) {
        received.clear();
        break;
      }
      const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
      if (count <= 0) break;
      received.append(chunk, static_cast<std::size_t>(count));
    }
  }
  ::close(fd);
  return received;
}

std::string request_packet() {
  return uwsgi_peer::packet(
      {{"PATH_INFO", "/kurs/liste"}, {"REMOTE_USER", "isar-invest"}, {"CONTENT_LENGTH", "0"}}, "");
}

// Queries all dependencies in parallel as a simple client does: the same time-out for each attempt and two
// retries. Returns the names of the fresh sub-responses as run_load() expects them.
std::string request_directly(const dependency_set& dependencies) {
  std::atomic<unsigned> fresh = 0;
  std::vector<std::thread> parts;
  for (std::size_t d = 0; d < 4; ++d) {
    parts.emplace_back([&, d] {
      for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        if (exchange(dependencies.servers[2 * d + attempt % 2]->port(), request_packet(), 950)
                .rfind("HTTP/1.1 200", 0) != 0)
          continue;
        fresh |= 1u << d;
        return;
      }
    });
  }
  for (std::thread& thread : parts) thread.join();
  std::string names = "x";
  for (unsigned d = 0; d < 4; ++d) {
    if ((fresh >> d & 1) != 0) names += static_cast<char>('0' + d);
  }
  return names;
}

std::string operator_settings(int uwsgi_port, const std::vector<std::vector<std::string>>& dependencies) {
  std::string text = "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(uwsgi_port) +
                     "\"\n servers = {\"" + own_host() +
                     ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" +
                     "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n" +
                     "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n}\n";
  for (std::size_t d = 0; d < dependencies.size(); ++d) {
    std::string endpoints;
    for (const std::string& address : dependencies[d])
      endpoints += (endpoints.empty() ? "\"" : ", \"") + address + "\"";
    text += "dependency d" + std::to_string(d) + " {\n endpoints = {" + endpoints +
            "}\n budget = 400ms\n}\npart p" + std::to_string(d) + " {\n class = kurs-abfrage\n from = d" +
            std::to_string(d) + "\n}\n";
  }
  return text;
}

node_options options_of(const std::string& operator_text) {
  node_options options;
  options.aim_ms = 2900;
  options.cores = 512;
  options.quota = options.other_quota = 1000000;
  options.operators = operator_text;
  return options;
}

// Sends one fan-out request to the node. Returns "x" followed by the digits of the dependencies with a fresh
// sub-response, or an empty string if the request failed.
std::string request_fan_out(int port) {
  const std::string response = exchange(port, request_packet(), 10000);
  std::string names = response.rfind("HTTP/1.1 200", 0) == 0 ? "x" : "";
  for (int d = 0; d < 4; ++d) {
    if (response.find("Part: p" + std::to_string(d) + "\r\nPart-State: fresh") != std::string::npos)
      names += std::to_string(d);
  }
  return names;
}

void print_row(const char* label, const load_result& result, const load_result& baseline) {
  std::printf("%-24s %6d %9.2f%% %9.1f%% %8.1f%% %8.3f %8.1f %8.1f\n", label, result.sent,
              100.0 * result.in_time / result.sent,
              100.0 * result.healthy / (3.0 * result.sent) / (baseline.healthy / (3.0 * baseline.sent)),
              100.0 * result.complete / result.sent, result.calls, result.p50_s * 1e3, result.p99_s * 1e3);
  std::fflush(stdout);
}

// Measures the processor time of the node per fan-out request.
void measure_cost(std::size_t dependencies) {
  std::vector<std::unique_ptr<uwsgi_server>> servers;
  std::vector<std::vector<std::string>> endpoints;
  for (std::size_t d = 0; d < dependencies; ++d) {
    servers.push_back(std::make_unique<uwsgi_server>([](const uwsgi_request&) { return reaction{}; }));
    endpoints.push_back({servers.back()->address()});
  }
  runtime r;
  const int port = free_port();
  node price_node(r, options_of(operator_settings(port, endpoints)));
  r.up();
  constexpr int requests = 2000;
  for (int i = 0; i < 200; ++i) CHECK(!request_fan_out(port).empty());
  const auto used_before = price_node.used();
  std::vector<std::thread> callers;
  for (int c = 0; c < 8; ++c) {
    callers.emplace_back([&] {
      for (int i = 0; i < requests / 8; ++i) CHECK(!request_fan_out(port).empty());
    });
  }
  for (std::thread& thread : callers) thread.join();
  std::printf("%zu dependencies: %.0f us of node processor time per request\n", dependencies,
              static_cast<double>((price_node.used() - used_before).count()) * 1e3 / requests);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const double rate = argc > 1 ? std::atof(argv[1]) : 300;
  std::printf(
      "seed %u; %g requests per second; four dependencies with two endpoints each; 8 slots per endpoint, 10 "
      "ms per call\n",
      seed, rate);
  dependency_set dependencies;
  std::vector<std::vector<std::string>> endpoints(4);
  for (std::size_t i = 0; i < 8; ++i) endpoints[i / 2].push_back(dependencies.servers[i]->address());
  std::printf("%-24s %6s %10s %10s %9s %8s %8s %8s\n", "", "sent", "in 2.9 s", "healthy", "complete", "calls",
              "p50 ms", "p99 ms");
  {
    runtime r;
    const int port = free_port();
    node price_node(r, options_of(operator_settings(port, endpoints)));
    r.up();
    const auto send_request = [port] { return request_fan_out(port); };
    const load_result baseline = run_load(rate, 5s, dependencies, send_request);
    print_row("node, no slowdown", baseline, baseline);
    dependencies.set_slowdown(8);
    print_row("node, one slowed 8x", run_load(rate, 10s, dependencies, send_request), baseline);
    dependencies.set_slowdown(1);
    run_load(rate, 5s, dependencies, send_request);  // lets the node detect that the dependency has recovered
    print_row("node, after recovery", run_load(rate, 5s, dependencies, send_request), baseline);
    price_node.signal(SIGUSR1);
    price_node.logged("dependencies: d3");
  }
  std::this_thread::sleep_for(2s);
  const load_result baseline =
      run_load(rate, 5s, dependencies, [&] { return request_directly(dependencies); });
  print_row("client, no slowdown", baseline, baseline);
  dependencies.set_slowdown(8);
  print_row("client, one slowed 8x",
            run_load(rate, 10s, dependencies, [&] { return request_directly(dependencies); }), baseline);
  dependencies.set_slowdown(1);
  for (const std::size_t count : {1u, 4u, 16u}) measure_cost(count);
  return 0;
}
