// A cluster of price nodes on loopback: processes of the real program in zones and regions, each with a
// runtime and a console of its own, their membership datagrams sent through the fault relay. Shared by the
// tests, the tool and the bench. The seed is MARBLEWHARF_SEED's, or 1.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "../net/console_client.hpp"
#include "../net/harness.hpp"
#include "relay.hpp"

namespace cluster_faults {

using namespace harness;

// UDP ports on this process's own address, reserved until this is destroyed: released one by one, the system
// hands the same one out again, to the next node or to the relay.
class reserved_udp_ports {
 public:
  explicit reserved_udp_ports(int n) {
    for (int i = 0; i < n; ++i) {
      fds_.push_back(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
      sockaddr_in a = address_of(0);
      CHECK(::bind(fds_.back(), reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
      socklen_t size = sizeof a;
      CHECK(::getsockname(fds_.back(), reinterpret_cast<sockaddr*>(&a), &size) == 0);
      ports.push_back(ntohs(a.sin_port));
    }
  }
  ~reserved_udp_ports() {
    for (const int fd : fds_) ::close(fd);
  }
  reserved_udp_ports(const reserved_udp_ports&) = delete;
  reserved_udp_ports& operator=(const reserved_udp_ports&) = delete;

  std::vector<int> ports;

 private:
  std::vector<int> fds_;
};

// A statistic of show-stat, by name.
inline long statistic(int console, const std::string& name) {
  const std::string text = call(console, "show-stat\n");
  const std::size_t at = text.find("\n" + name + "=");
  CHECK(at != std::string::npos);
  return std::stol(text.substr(at + name.size() + 2));
}

inline std::uint64_t seed() {
  const char* given = std::getenv("MARBLEWHARF_SEED");
  return given != nullptr ? std::strtoull(given, nullptr, 10) : 1;
}

struct test_cluster_options {
  int zones = 3, per_zone = 3;
  std::vector<std::string> regions = {};  // by zone; empty: all in r0
  int probe_ms = 100;
  std::string hold_down = "1s";
  std::string more_of_fleet = "";                  // further lines of the section
  std::function<std::string(int)> operators = {};  // further text of node i's operator's file
  std::function<void(int, node_options&)> edit = {};
};

class test_cluster {
 public:
  explicit test_cluster(test_cluster_options o = {}) : options_(std::move(o)) {
    std::vector<int> zone_of;
    std::optional<reserved_udp_ports> held(size());
    udp_ = held->ports;
    for (int i = 0; i < size(); ++i) {
      zone_of.push_back(i / options_.per_zone);
      members_.push_back(std::make_unique<member_slot>());
    }
    relay = std::make_unique<cluster_faults::relay>(own_host(), udp_, zone_of, seed());
    held.reset();
    for (int i = 0; i < size(); ++i) start(i);
  }
  int size() const { return options_.zones * options_.per_zone; }
  std::vector<int> all() const { return members_of(0, options_.zones); }
  // Of the zones from `first` to before `last`.
  std::vector<int> members_of(int first, int last) const {
    std::vector<int> out;
    for (int i = first * options_.per_zone; i < last * options_.per_zone; ++i) out.push_back(i);
    return out;
  }
  std::string region(int z) const {
    return options_.regions.empty() ? "r0" : options_.regions[static_cast<std::size_t>(z)];
  }

  // Starts node i, or starts it again with the same addresses.
  void start(int i) {
    const std::lock_guard lock(guard(i));
    member(i).current->n.reset();
    launch(i, 0);
  }
  void kill(int i) {
    const std::lock_guard lock(guard(i));
    member(i).port = 0;
    at(i).signal(SIGKILL);
    at(i).wait();
  }
  // Hot restart: a second process of node i beside the first, with the same addresses but for runtime and
  // console. Returns once it accepts clients; at(i) is the second from then on.
  void start_replacement(int i) {
    {
      const std::lock_guard lock(guard(i));
      member_slot& m = member(i);
      CHECK(m.replaced == nullptr);
      m.replaced = std::exchange(m.current, std::make_unique<process>());
      launch(i, m.port);
    }
    wait_until([&] { return call(console(i), "ready\n").rfind("200 yes", 0) == 0; }, i);
  }
  // The console of the first of the two.
  int replaced_console(int i) const { return member(i).replaced->console; }
  // Ends the first of the two by a signal. Returns its log.
  std::string end_replaced(int i, int signal = SIGTERM) {
    member_slot& m = member(i);
    m.replaced->n->signal(signal);
    const int status = m.replaced->n->wait();
    CHECK(signal == SIGKILL || status == 0);
    const std::lock_guard lock(m.guard);
    const auto ended = std::exchange(m.replaced, nullptr);
    return ended->n->log();
  }
  // Held while a node starts or is killed, and by the thread of its fake runtime.
  std::mutex& guard(int i) const { return member(i).guard; }
  // Where its clients connect; 0: it does not run.
  int port(int i) const { return member(i).port; }
  bool running(int i) const { return port(i) != 0; }
  node& at(int i) { return *member(i).current->n; }
  // For each process of node i that runs: its runtime, and a number unique to the process.
  template <typename F>
  void each_runtime(int i, F&& f) {
    member_slot& m = member(i);
    if (running(i)) f(m.current->r, m.current->number);
    if (m.replaced != nullptr) f(m.replaced->r, m.replaced->number);
  }
  int udp(int i) const { return udp_[static_cast<std::size_t>(i)]; }
  int console(int i) const { return member(i).current->console; }
  // What the others send to: the relay's port for this node.
  std::string address(int i) const { return own_host() + ":" + std::to_string(relay->front(i)); }

  std::string zones_seen_by(int i) const { return call(console(i), "show-zones\n"); }
  std::string members_seen_by(int i) const { return call(console(i), "show-members\n"); }
  // The line of show-zones for zone z, up to its state.
  std::string zone_line(int z, bool out) const {
    return "\nz" + std::to_string(z) + " " + region(z) + (out ? " out" : " in");
  }
  bool sees_zone(int i, int z, bool out) const {
    return zones_seen_by(i).find(zone_line(z, out)) != std::string::npos;
  }
  // Waits until every member in `observers` shows zone z so.
  void wait_for_zone(const std::vector<int>& observers, int z, bool out) const {
    for (const int i : observers) wait_until([&] { return sees_zone(i, z, out); }, i);
  }
  // Waits until show-members of member i has such a line.
  void wait_for_member_line(int i, const std::string& line) const {
    wait_until([&] { return members_seen_by(i).find(line) != std::string::npos; }, i);
  }
  // Waits until each of `observers` shows all zones in and all other members of `expected` alive.
  void wait_until_healthy(const std::vector<int>& observers, std::size_t expected) const {
    for (const int i : observers) {
      for (int z = 0; z < options_.zones; ++z) wait_for_zone({i}, z, false);
      wait_until([&] { return alive_seen_by(i) == expected - 1; }, i);
    }
  }
  void wait_until_healthy() const { wait_until_healthy(all(), static_cast<std::size_t>(size())); }
  std::size_t alive_seen_by(int i) const {
    const std::string text = members_seen_by(i);
    std::size_t alive = 0;
    for (std::size_t at = text.find(" alive "); at != std::string::npos; at = text.find(" alive ", at + 1))
      ++alive;
    return alive;
  }
  // How often these members saw any zone decided out. Statistics, since log lines have a bound a second.
  long declared_out(const std::vector<int>& who) const {
    long n = 0;
    for (const int i : who) n += statistic(console(i), "fleet.declared_out");
    return n;
  }
  // Waits three times as long as the harness does elsewhere: nine processes under sanitizers on a busy
  // machine are slow.
  template <typename F>
  void wait_until(F&& done, int i) const {
    const auto until = harness::clock::now() + std::chrono::milliseconds(3 * patience_ms);
    while (!done()) {
      if (harness::clock::now() > until)
        std::fprintf(stderr, "member %d:\n%s%s", i, members_seen_by(i).c_str(), zones_seen_by(i).c_str());
      CHECK(harness::clock::now() <= until);
      std::this_thread::sleep_for(20ms);
    }
  }

  std::unique_ptr<cluster_faults::relay> relay;

 private:
  struct process {
    runtime r;
    int console = free_port();
    int number = 0;
    std::unique_ptr<node> n;
  };
  struct member_slot {
    std::unique_ptr<process> current = std::make_unique<process>(), replaced;
    std::atomic<int> port = 0;
    std::mutex guard;
  };
  member_slot& member(int i) const { return *members_[static_cast<std::size_t>(i)]; }

  // Listens where clients connect: at `port`, or 0 for one of its own.
  void launch(int i, int port) {
    process& p = *member(i).current;
    node_options o;
    o.quota = o.other_quota = 100000;
    o.operators = operators(i);
    o.listen_port = port;
    o.edit_from = "\"seed\"";
    o.edit_to = "\"console\":\"" + own_host() + ":" + std::to_string(p.console) + "\",\"seed\"";
    if (options_.edit) options_.edit(i, o);
    p.number = ++launched_;
    p.n = std::make_unique<node>(p.r, o);
    p.r.up();
    member(i).port = p.n->port;
  }

  std::string operators(int i) const {
    std::ostringstream o;
    o << "fleet {\n name = kurse\n listen = \"" << own_host() << ":" << udp(i) << "\"\n advertise = \""
      << address(i) << "\"\n zone = z" << i / options_.per_zone << "\n seeds = {\"" << address(0) << "\", \""
      << address(size() > options_.per_zone ? options_.per_zone : 0) << "\"}\n"
      << " probe_interval = " << options_.probe_ms << "ms\n probe_timeout = " << options_.probe_ms * 2 / 5
      << "ms\n hold_down = " << options_.hold_down << "\n vote_lease = 3s\n start_grace = 2s\n"
      << options_.more_of_fleet << "}\n";
    for (int z = 0; z < options_.zones; ++z) {
      o << "zone z" << z << " {\n region = " << region(z) << "\n members = {";
      for (int k = 0; k < options_.per_zone; ++k)
        o << (k > 0 ? ", " : "") << "\"" << address(z * options_.per_zone + k) << "\"";
      o << "}\n}\n";
    }
    if (options_.operators) o << options_.operators(i);
    return o.str();
  }

  test_cluster_options options_;
  std::vector<int> udp_;
  std::vector<std::unique_ptr<member_slot>> members_;
  std::atomic<int> launched_ = 0;
};

}  // namespace cluster_faults
