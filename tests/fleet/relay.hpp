// A fault relay between the nodes of a test's fleet, in userspace on loopback: each node advertises a port of the
// relay, which passes datagrams on to the node's own port unless the test's faults say otherwise.
//
// Faults: a link cut one way (from a node's zone to another's) or both, a share of datagrams lost, a share sent
// twice. Seeded; the seed is printed by the test. One thread of its own, which ends with the relay.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "../check.hpp"

namespace fleet_faults {

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

  // Datagrams from zone `from` to zone `to` are lost from now on (both ways: call it twice).
  void cut(int from, int to) {
    std::lock_guard lock(mutex_);
    cuts_.insert({from, to});
  }
  void heal() {
    std::lock_guard lock(mutex_);
    cuts_.clear();
  }
  void lose(double share) {
    std::lock_guard lock(mutex_);
    loss_ = share;
  }
  void duplicate(double share) {
    std::lock_guard lock(mutex_);
    twice_ = share;
  }
  std::uint64_t passed() const { return passed_; }

 private:
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
    char datagram[2048];
    while (!stop_) {
      if (::poll(polls.data(), polls.size(), 20) <= 0) continue;
      for (std::size_t i = 0; i < polls.size(); ++i) {
        if ((polls[i].revents & POLLIN) == 0) continue;
        while (true) {
          sockaddr_in from{};
          socklen_t size = sizeof from;
          const ssize_t n = ::recvfrom(fronts_[i], datagram, sizeof datagram, 0, reinterpret_cast<sockaddr*>(&from), &size);
          if (n <= 0) break;
          const auto sender = by_port_.find(ntohs(from.sin_port));
          int copies = 1;
          {
            std::lock_guard lock(mutex_);
            std::uniform_real_distribution<double> chance(0, 1);
            if (sender != by_port_.end() &&
                cuts_.contains({zone_[static_cast<std::size_t>(sender->second)], zone_[i]}))
              copies = 0;
            if (copies > 0 && chance(random_) < loss_) copies = 0;
            if (copies > 0 && chance(random_) < twice_) copies = 2;
          }
          const sockaddr_in to = at(to_[i]);
          for (int c = 0; c < copies; ++c) {
            ::sendto(fronts_[i], datagram, static_cast<std::size_t>(n), 0, reinterpret_cast<const sockaddr*>(&to),
                     sizeof to);
            ++passed_;
          }
        }
      }
    }
  }

  std::string host_;
  std::vector<int> to_, zone_;
  std::vector<int> fronts_, front_ports_;
  std::map<int, int> by_port_;  // a node's own port: which node sent it
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::set<std::pair<int, int>> cuts_;
  double loss_ = 0, twice_ = 0;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> passed_{0};
  std::thread thread_;
};

}  // namespace fleet_faults
