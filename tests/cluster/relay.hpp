// A fault relay between the nodes of a cluster, in userspace on loopback: each node advertises a port of the
// relay, which passes datagrams on to the node's own port unless the faults set say otherwise.
//
// Faults: links cut one way or both (between nodes or whole zones), a share of datagrams lost, a share sent
// twice, and each one delayed by its own draw, so that they overtake each other. Seeded; whoever makes one
// prints the seed. One thread of its own, which ends with the relay. Calls from any thread.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../check.hpp"

namespace cluster_faults {

class relay {
 public:
  // `to[i]`: the port node i listens on; `zone[i]`: its zone. `host`: the loopback address of all.
  relay(const std::string& host, std::vector<int> to, std::vector<int> zone, std::uint64_t seed)
      : host_(host), to_(std::move(to)), zone_(std::move(zone)), random_(seed) {
    for (std::size_t i = 0; i < to_.size(); ++i) {
      const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in a = at(0);
      CHECK(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
      socklen_t size = sizeof a;
      CHECK(::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) == 0);
      fronts_.push_back(fd);
      front_ports_.push_back(ntohs(a.sin_port));
      by_port_[to_[i]] = static_cast<int>(i);
    }
    thread_ = std::thread([this] { run(); });
  }
  ~relay() {
    stop_ = true;
    thread_.join();
    for (const int fd : fronts_) ::close(fd);
  }
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  int front(int i) const { return front_ports_[static_cast<std::size_t>(i)]; }

  // Datagrams from node `from` to node `to` are lost from now on (both ways: call it twice).
  void cut_node(int from, int to) {
    const std::lock_guard lock(mutex_);
    cuts_.insert({from, to});
  }
  // The same from each node of a zone to each of another.
  void cut(int from, int to) {
    for (std::size_t i = 0; i < zone_.size(); ++i)
      for (std::size_t k = 0; k < zone_.size(); ++k)
        if (zone_[i] == from && zone_[k] == to) cut_node(static_cast<int>(i), static_cast<int>(k));
  }
  void cut_both_ways(int one, int other) {
    cut(one, other);
    cut(other, one);
  }
  void heal() {
    const std::lock_guard lock(mutex_);
    cuts_.clear();
  }
  void lose(double share) {
    const std::lock_guard lock(mutex_);
    loss_ = share;
  }
  void duplicate(double share) {
    const std::lock_guard lock(mutex_);
    twice_ = share;
  }
  // Each datagram waits between 0 and `longest`, drawn for it alone: later ones overtake it.
  void delay(std::chrono::microseconds longest) {
    const std::lock_guard lock(mutex_);
    longest_ = longest;
  }
  std::uint64_t passed() const { return passed_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  using clock = std::chrono::steady_clock;
  struct waiting {
    clock::time_point due;
    std::size_t to = 0;
    std::string bytes;
    bool operator>(const waiting& o) const { return due > o.due; }
  };

  sockaddr_in at(int port) const {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    CHECK(::inet_pton(AF_INET, host_.c_str(), &a.sin_addr) == 1);
    return a;
  }

  void run() {
    std::vector<pollfd> polls;
    for (const int fd : fronts_) polls.push_back({fd, POLLIN, 0});
    while (!stop_) {
      ::poll(polls.data(), polls.size(), late_.empty() ? 20 : 1);
      for (std::size_t i = 0; i < polls.size(); ++i)
        if ((polls[i].revents & POLLIN) != 0) read(i);
      while (!late_.empty() && late_.top().due <= clock::now()) {
        pass(late_.top().to, late_.top().bytes);
        late_.pop();
      }
    }
  }

  void read(std::size_t i) {
    char datagram[2048];
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t n =
          ::recvfrom(fronts_[i], datagram, sizeof datagram, 0, reinterpret_cast<sockaddr*>(&from), &size);
      if (n <= 0) return;
      const auto sender = by_port_.find(ntohs(from.sin_port));
      const std::string bytes(datagram, static_cast<std::size_t>(n));
      const std::lock_guard lock(mutex_);
      std::uniform_real_distribution<double> chance(0, 1);
      const bool cut = sender != by_port_.end() && cuts_.contains({sender->second, static_cast<int>(i)});
      const bool lost = chance(random_) < loss_;
      const int copies = cut || lost ? 0 : chance(random_) < twice_ ? 2 : 1;
      if (copies == 0) ++dropped_;
      for (int c = 0; c < copies; ++c) {
        if (longest_.count() == 0) {
          pass(i, bytes);
          continue;
        }
        const auto wait = std::chrono::microseconds(
            std::uniform_int_distribution<std::int64_t>(0, longest_.count())(random_));
        late_.push({clock::now() + wait, i, bytes});
      }
    }
  }

  void pass(std::size_t i, const std::string& bytes) {
    const sockaddr_in to = at(to_[i]);
    ::sendto(fronts_[i], bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    ++passed_;
  }

  std::string host_;
  std::vector<int> to_, zone_;
  std::vector<int> fronts_, front_ports_;
  std::map<int, int> by_port_;  // a node's own port: which node sent it
  std::mutex mutex_;
  std::set<std::pair<int, int>> cuts_;
  double loss_ = 0, twice_ = 0;
  std::chrono::microseconds longest_{};
  std::mt19937_64 random_;
  std::priority_queue<waiting, std::vector<waiting>, std::greater<>> late_;  // the thread's own
  std::atomic<std::uint64_t> passed_ = 0, dropped_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace cluster_faults
