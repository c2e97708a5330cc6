// Measures gathered answers with one of four dependencies slowed eightfold, beside a plain client with one
// time-out for all and a fixed number of retries; and the node's own cost for 1, 4 and 16 dependencies. One
// table, one run.
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

// A dependency with as many slots: what comes beyond waits, as in a real one, so that load makes it slow.
class slotted {
 public:
  slotted(unsigned slots, std::chrono::microseconds each) : free_(slots), each_(each), random_(seed) {}
  std::atomic<int> factor = 1;
  reaction operator()() {
    const std::lock_guard lock(guard_);
    const auto now = clock::now();
    auto first = std::min_element(free_.begin(), free_.end());
    const auto begin = std::max(*first, now);
    const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    *first = begin + std::chrono::microseconds(
                         static_cast<long>(spread * factor * static_cast<double>(each_.count())));
    return {std::chrono::duration_cast<std::chrono::microseconds>(*first - now), manner::whole, "101.42"};
  }

 private:
  std::mutex guard_;
  std::vector<clock::time_point> free_;
  std::chrono::microseconds each_;
  std::mt19937 random_;
};

struct four {
  four() {
    for (int d = 0; d < 4; ++d) {
      for (int e = 0; e < 2; ++e) {
        slots.push_back(std::make_unique<slotted>(8, 10ms));
        servers.push_back(std::make_unique<uwsgi_server>(
            [s = slots.back().get()](const uwsgi_request&) { return (*s)(); }));
      }
    }
  }
  void slow(int factor) {
    slots[4]->factor = factor;
    slots[5]->factor = factor;
  }
  int requests() const {
    int n = 0;
    for (const auto& s : servers) n += s->requests;
    return n;
  }
  std::vector<std::unique_ptr<slotted>> slots;
  std::vector<std::unique_ptr<uwsgi_server>> servers;
};

struct figures {
  int asked = 0, in_time = 0, healthy = 0, all = 0;
  double p50 = 0, p99 = 0, calls = 0;
};

// Open load: `rate` a second for `length`, each answered by `ask`, which returns the fresh parts, by name.
figures load(double rate, clock::duration length, const four& f, const std::function<std::string()>& ask) {
  constexpr int workers = 192;
  std::atomic<int> next = 0;
  const int total = static_cast<int>(rate * seconds(length));
  const auto begin = clock::now();
  const int before = f.requests();
  std::mutex guard;
  figures r;
  std::vector<double> took;
  std::vector<std::thread> threads;
  for (int w = 0; w < workers; ++w) {
    threads.emplace_back([&] {
      for (int n; (n = next++) < total;) {
        const auto due =
            begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(n / rate));
        std::this_thread::sleep_until(due);
        const std::string fresh = ask();
        const double s = seconds(clock::now() - due);
        const std::lock_guard lock(guard);
        ++r.asked;
        r.in_time += !fresh.empty() && s <= 2.9;
        for (const char d : {'0', '1', '3'}) r.healthy += fresh.find(d) != std::string::npos;
        r.all += fresh.size() == 5;
        took.push_back(s);
      }
    });
  }
  for (std::thread& t : threads) t.join();
  std::sort(took.begin(), took.end());
  r.p50 = took[took.size() / 2];
  r.p99 = took[took.size() * 99 / 100];
  r.calls = static_cast<double>(f.requests() - before) / (4.0 * r.asked);
  return r;
}

std::string exchange(int port, const std::string& bytes, int ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  std::string in;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0 &&
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    const auto until = clock::now() + std::chrono::milliseconds(ms);
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
      pollfd p{fd, POLLIN, 0};
      char chunk[8192];
      if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) {
        in.clear();
        break;
      }
      const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) break;
      in.append(chunk, static_cast<std::size_t>(n));
    }
  }
  ::close(fd);
  return in;
}

std::string bytes_of() {
  return uwsgi_peer::packet(
      {{"PATH_INFO", "/kurs/liste"}, {"REMOTE_USER", "isar-invest"}, {"CONTENT_LENGTH", "0"}}, "");
}

// What a plain client does: all parts at once, one time-out, two retries.
std::string plain(const four& f) {
  std::atomic<unsigned> fresh = 0;
  std::vector<std::thread> parts;
  for (std::size_t d = 0; d < 4; ++d) {
    parts.emplace_back([&, d] {
      for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        if (exchange(f.servers[2 * d + attempt % 2]->port(), bytes_of(), 950).rfind("HTTP/1.1 200", 0) != 0)
          continue;
        fresh |= 1u << d;
        return;
      }
    });
  }
  for (std::thread& t : parts) t.join();
  std::string names = "x";
  for (unsigned d = 0; d < 4; ++d) {
    if ((fresh >> d & 1) != 0) names += static_cast<char>('0' + d);
  }
  return names;
}

std::string operators(int uwsgi_port, const std::vector<std::vector<std::string>>& dependencies) {
  std::string text = "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(uwsgi_port) +
                     "\"\n servers = {\"" + own_host() +
                     ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" +
                     "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n" +
                     "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n}\n";
  for (std::size_t d = 0; d < dependencies.size(); ++d) {
    std::string at;
    for (const std::string& one : dependencies[d]) at += (at.empty() ? "\"" : ", \"") + one + "\"";
    text += "dependency d" + std::to_string(d) + " {\n endpoints = {" + at + "}\n budget = 400ms\n}\npart p" +
            std::to_string(d) + " {\n class = kurs-abfrage\n from = d" + std::to_string(d) + "\n}\n";
  }
  return text;
}

node_options options_of(const std::string& text) {
  node_options o;
  o.aim_ms = 2900;
  o.cores = 512;
  o.quota = o.other_quota = 1000000;
  o.operators = text;
  return o;
}

std::string gathered(int port) {
  const std::string a = exchange(port, bytes_of(), 10000);
  std::string names = a.rfind("HTTP/1.1 200", 0) == 0 ? "x" : "";
  for (int d = 0; d < 4; ++d) {
    if (a.find("Part: p" + std::to_string(d) + "\r\nPart-State: fresh") != std::string::npos)
      names += std::to_string(d);
  }
  return names;
}

void print(const char* what, const figures& r, const figures& calm) {
  std::printf("%-24s %6d %9.2f%% %9.1f%% %8.1f%% %8.3f %8.1f %8.1f\n", what, r.asked,
              100.0 * r.in_time / r.asked,
              100.0 * r.healthy / (3.0 * r.asked) / (calm.healthy / (3.0 * calm.asked)),
              100.0 * r.all / r.asked, r.calls, r.p50 * 1e3, r.p99 * 1e3);
  std::fflush(stdout);
}

void cost(std::size_t n) {
  std::vector<std::unique_ptr<uwsgi_server>> servers;
  std::vector<std::vector<std::string>> at;
  for (std::size_t d = 0; d < n; ++d) {
    servers.push_back(std::make_unique<uwsgi_server>([](const uwsgi_request&) { return reaction{}; }));
    at.push_back({servers.back()->address()});
  }
  runtime r;
  const int port = free_port();
  node nd(r, options_of(operators(port, at)));
  r.up();
  constexpr int requests = 2000;
  for (int i = 0; i < 200; ++i) CHECK(!gathered(port).empty());
  const auto before = nd.used();
  std::vector<std::thread> callers;
  for (int c = 0; c < 8; ++c) {
    callers.emplace_back([&] {
      for (int i = 0; i < requests / 8; ++i) CHECK(!gathered(port).empty());
    });
  }
  for (std::thread& t : callers) t.join();
  std::printf("%zu dependencies: %.0f us of the node's processor for a request\n", n,
              static_cast<double>((nd.used() - before).count()) * 1e3 / requests);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const double rate = argc > 1 ? std::atof(argv[1]) : 300;
  std::printf(
      "seed %u; %g requests a second, four dependencies with two endpoints of 8 slots and 10 ms each\n", seed,
      rate);
  four f;
  std::vector<std::vector<std::string>> at(4);
  for (std::size_t i = 0; i < 8; ++i) at[i / 2].push_back(f.servers[i]->address());
  std::printf("%-24s %6s %10s %10s %9s %8s %8s %8s\n", "", "asked", "in 2.9 s", "healthy", "complete",
              "calls", "p50 ms", "p99 ms");
  {
    runtime r;
    const int port = free_port();
    node n(r, options_of(operators(port, at)));
    r.up();
    const auto ask = [port] { return gathered(port); };
    const figures calm = load(rate, 5s, f, ask);
    print("node, calm", calm, calm);
    f.slow(8);
    print("node, one slowed 8x", load(rate, 10s, f, ask), calm);
    f.slow(1);
    load(rate, 5s, f, ask);  // it finds back
    print("node, calm again", load(rate, 5s, f, ask), calm);
    n.signal(SIGUSR1);
    n.logged("dependencies: d3");
  }
  std::this_thread::sleep_for(2s);
  const figures calm = load(rate, 5s, f, [&] { return plain(f); });
  print("plain client, calm", calm, calm);
  f.slow(8);
  print("plain, one slowed 8x", load(rate, 10s, f, [&] { return plain(f); }), calm);
  f.slow(1);
  for (const std::size_t n : {1u, 4u, 16u}) cost(n);
  return 0;
}
