// A UDP relay that injects network faults between the nodes of a cluster on loopback. Each node advertises a
// port of the relay, and the relay forwards the datagrams to the node's own port.
//
// Faults: links cut in one or both directions (between nodes or zones), a fraction of datagrams lost, a
// fraction duplicated, and a random delay of each datagram, which also reorders them. The random numbers
// depend on the seed only, so the owner should print it. The relay runs a thread of its own until it is
// destroyed. Its functions may be called from any thread.
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
  // `node_ports[i]`: the port on which node i listens; `zones[i]`: its zone. `host`: the loopback address of
  // the relay and of all nodes.
  relay(const std::string& host, std::vector<int> node_ports, std::vector<int> zones, std::uint64_t seed)
      : host_(host), node_ports_(std::move(node_ports)), zones_(std::move(zones)), random_(seed) {
    for (std::size_t i = 0; i < node_ports_.size(); ++i) {
      const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in address = address_at(0);
      CHECK(::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
      socklen_t size = sizeof address;
      CHECK(::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
      relay_fds_.push_back(fd);
      relay_ports_.push_back(ntohs(address.sin_port));
      node_by_port_[node_ports_[i]] = static_cast<int>(i);
    }
    thread_ = std::thread([this] { run(); });
  }
  ~relay() {
    stop_ = true;
    thread_.join();
    for (const int fd : relay_fds_) ::close(fd);
  }
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  // The port at which the relay receives the datagrams for node i.
  int front(int i) const { return relay_ports_[static_cast<std::size_t>(i)]; }

  // Drops all further datagrams from one node to another, in this direction only.
  void cut_node(int sender, int recipient) {
    const std::lock_guard lock(mutex_);
    cuts_.insert({sender, recipient});
  }
  // Drops all further datagrams from the nodes of one zone to the nodes of another, in this direction only.
  void cut(int sending_zone, int receiving_zone) {
    for (std::size_t i = 0; i < zones_.size(); ++i)
      for (std::size_t k = 0; k < zones_.size(); ++k)
        if (zones_[i] == sending_zone && zones_[k] == receiving_zone)
          cut_node(static_cast<int>(i), static_cast<int>(k));
  }
  void cut_both_ways(int zone, int other_zone) {
    cut(zone, other_zone);
    cut(other_zone, zone);
  }
  void heal() {
    const std::lock_guard lock(mutex_);
    cuts_.clear();
  }
  // Sets the fraction of datagrams that are lost.
  void lose(double fraction) {
    const std::lock_guard lock(mutex_);
    loss_ = fraction;
  }
  // Sets the fraction of datagrams that are sent twice.
  void duplicate(double fraction) {
    const std::lock_guard lock(mutex_);
    duplication_ = fraction;
  }
  // Delays each datagram by a random time between 0 and `max_delay`, so that datagrams are reordered.
  void delay(std::chrono::microseconds max_delay) {
    const std::lock_guard lock(mutex_);
    max_delay_ = max_delay;
  }
  std::uint64_t passed() const { return passed_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  using clock = std::chrono::steady_clock;
  struct delayed_datagram {
    clock::time_point due;
    std::size_t recipient = 0;
    std::string bytes;
    bool operator>(const delayed_datagram& other) const { return due > other.due; }
  };

  sockaddr_in address_at(int port) const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    CHECK(::inet_pton(AF_INET, host_.c_str(), &address.sin_addr) == 1);
    return address;
  }

  void run() {
    std::vector<pollfd> polls;
    for (const int fd : relay_fds_) polls.push_back({fd, POLLIN, 0});
    while (!stop_) {
      ::poll(polls.data(), polls.size(), delayed_.empty() ? 20 : 1);
      for (std::size_t i = 0; i < polls.size(); ++i)
        if ((polls[i].revents & POLLIN) != 0) read(i);
      while (!delayed_.empty() && delayed_.top().due <= clock::now()) {
        forward(delayed_.top().recipient, delayed_.top().bytes);
        delayed_.pop();
      }
    }
  }

  void read(std::size_t recipient) {
    char datagram[2048];
    while (true) {
      sockaddr_in sender_address{};
      socklen_t size = sizeof sender_address;
      const ssize_t received = ::recvfrom(relay_fds_[recipient], datagram, sizeof datagram, 0,
                                          reinterpret_cast<sockaddr*>(&sender_address), &size);
      if (received <= 0) return;
      const auto sender = node_by_port_.find(ntohs(sender_address.sin_port));
      const std::string bytes(datagram, static_cast<std::size_t>(received));
      const std::lock_guard lock(mutex_);
      std::uniform_real_distribution<double> chance(0, 1);
      const bool cut =
          sender != node_by_port_.end() && cuts_.contains({sender->second, static_cast<int>(recipient)});
      const bool lost = chance(random_) < loss_;
      const int copies = cut || lost ? 0 : chance(random_) < duplication_ ? 2 : 1;
      if (copies == 0) ++dropped_;
      for (int c = 0; c < copies; ++c) {
        if (max_delay_.count() == 0) {
          forward(recipient, bytes);
          continue;
        }
        const auto wait = std::chrono::microseconds(
            std::uniform_int_distribution<std::int64_t>(0, max_delay_.count())(random_));
        delayed_.push({clock::now() + wait, recipient, bytes});
      }
    }
  }

  void forward(std::size_t recipient, const std::string& bytes) {
    const sockaddr_in address = address_at(node_ports_[recipient]);
    ::sendto(relay_fds_[recipient], bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ++passed_;
  }

  std::string host_;
  std::vector<int> node_ports_, zones_;       // by node
  std::vector<int> relay_fds_, relay_ports_;  // by recipient node
  std::map<int, int> node_by_port_;           // the node that sends from a port
  std::mutex mutex_;
  std::set<std::pair<int, int>> cuts_;  // (sender, recipient)
  double loss_ = 0, duplication_ = 0;
  std::chrono::microseconds max_delay_{};
  std::mt19937_64 random_;
  // Accessed by the relay's thread only.
  std::priority_queue<delayed_datagram, std::vector<delayed_datagram>, std::greater<>> delayed_;
  std::atomic<std::uint64_t> passed_ = 0, dropped_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace cluster_faults
