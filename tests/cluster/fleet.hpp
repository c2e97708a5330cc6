// A cluster of price nodes on loopback: processes of the real program in zones and regions. Each process has
// its own fake runtime and console; membership datagrams are sent through the fault relay. Used by the tests,
// the fleet tool and the benchmark. The environment variable MARBLEWHARF_SEED sets the seed; the default
// is 1.
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

// UDP ports on the address of this process, all reserved until the object is destroyed. If they were released
// one by one, the system could assign a released port again, to the next node or to the relay.
class reserved_udp_ports {
 public:
  explicit reserved_udp_ports(int count) {
    for (int i = 0; i < count; ++i) {
      fds_.push_back(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
      sockaddr_in address = address_of(0);
      CHECK(::bind(fds_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
      socklen_t size = sizeof address;
      CHECK(::getsockname(fds_.back(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
      ports.push_back(ntohs(address.sin_port));
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

// The value of a statistic in the reply to show-stat.
inline long statistic(int console, const std::string& name) {
  const std::string text = call(console, "show-stat\n");
  const std::size_t position = text.find("\n" + name + "=");
  CHECK(position != std::string::npos);
  return std::stol(text.substr(position + name.size() + 2));
}

inline std::uint64_t seed() {
  const char* seed_text = std::getenv("MARBLEWHARF_SEED");
  return seed_text != nullptr ? std::strtoull(seed_text, nullptr, 10) : 1;
}

struct test_cluster_options {
  int zones = 3, per_zone = 3;
  std::vector<std::string> regions = {};  // by zone; empty: all zones are in region r0
  int probe_ms = 100;
  std::string hold_down = "1s";
  std::string more_of_fleet = "";                  // further lines of the section `fleet`
  std::function<std::string(int)> operators = {};  // further sections of the operator's file of node i
  std::function<void(int, node_options&)> edit = {};
};

class test_cluster {
 public:
  explicit test_cluster(test_cluster_options options = {}) : options_(std::move(options)) {
    std::vector<int> zones;
    std::optional<reserved_udp_ports> reserved(size());
    udp_ = reserved->ports;
    for (int i = 0; i < size(); ++i) {
      zones.push_back(i / options_.per_zone);
      members_.push_back(std::make_unique<member_slot>());
    }
    relay = std::make_unique<cluster_faults::relay>(own_host(), udp_, zones, seed());
    reserved.reset();
    for (int i = 0; i < size(); ++i) start(i);
  }
  int size() const { return options_.zones * options_.per_zone; }
  std::vector<int> all() const { return members_of(0, options_.zones); }
  // The members of the zones `first` to `last` - 1.
  std::vector<int> members_of(int first, int last) const {
    std::vector<int> members;
    for (int i = first * options_.per_zone; i < last * options_.per_zone; ++i) members.push_back(i);
    return members;
  }
  std::string region(int zone) const {
    return options_.regions.empty() ? "r0" : options_.regions[static_cast<std::size_t>(zone)];
  }

  // Starts node i, or restarts it with the same addresses.
  void start(int i) {
    const std::lock_guard lock(guard(i));
    member(i).current->program.reset();
    launch(i, 0);
  }
  void kill(int i) {
    const std::lock_guard lock(guard(i));
    member(i).port = 0;
    at(i).signal(SIGKILL);
    at(i).wait();
  }
  // Hot restart: starts a second process of node i while the first one runs. Both have the same addresses,
  // except for the runtime and the console. Returns when the second process accepts clients; at(i) then
  // returns the second process.
  void start_replacement(int i) {
    {
      const std::lock_guard lock(guard(i));
      member_slot& slot = member(i);
      CHECK(slot.replaced == nullptr);
      slot.replaced = std::exchange(slot.current, std::make_unique<process>());
      launch(i, slot.port);
    }
    wait_until([&] { return call(console(i), "ready\n").rfind("200 yes", 0) == 0; }, i);
  }
  // The console of the process that is being replaced.
  int replaced_console(int i) const { return member(i).replaced->console; }
  // Ends the replaced process by a signal. Returns its log.
  std::string end_replaced(int i, int signal = SIGTERM) {
    member_slot& slot = member(i);
    slot.replaced->program->signal(signal);
    const int status = slot.replaced->program->wait();
    CHECK(signal == SIGKILL || status == 0);
    const std::lock_guard lock(slot.guard);
    const auto ended = std::exchange(slot.replaced, nullptr);
    return ended->program->log();
  }
  // Locked while a node is started or killed, and by the thread of its fake runtime.
  std::mutex& guard(int i) const { return member(i).guard; }
  // The port to which clients connect; 0 if the node does not run.
  int port(int i) const { return member(i).port; }
  bool running(int i) const { return port(i) != 0; }
  node& at(int i) { return *member(i).current->program; }
  // Calls `visit` for each running process of node i, with its fake runtime and a number unique to the
  // process.
  template <typename Visitor>
  void each_runtime(int i, Visitor&& visit) {
    member_slot& slot = member(i);
    if (running(i)) visit(slot.current->fake_runtime, slot.current->number);
    if (slot.replaced != nullptr) visit(slot.replaced->fake_runtime, slot.replaced->number);
  }
  int udp(int i) const { return udp_[static_cast<std::size_t>(i)]; }
  int console(int i) const { return member(i).current->console; }
  // The advertised address of node i, which is the relay's port for this node.
  std::string address(int i) const { return own_host() + ":" + std::to_string(relay->front(i)); }

  std::string zones_seen_by(int i) const { return call(console(i), "show-zones\n"); }
  std::string members_seen_by(int i) const { return call(console(i), "show-members\n"); }
  // The beginning of the line of show-zones for a zone, up to its state.
  std::string zone_line(int zone, bool out) const {
    return "\nz" + std::to_string(zone) + " " + region(zone) + (out ? " out" : " in");
  }
  bool sees_zone(int i, int zone, bool out) const {
    return zones_seen_by(i).find(zone_line(zone, out)) != std::string::npos;
  }
  // Waits until every member in `observers` shows the zone as out, or as in if `out` is false.
  void wait_for_zone(const std::vector<int>& observers, int zone, bool out) const {
    for (const int i : observers) wait_until([&] { return sees_zone(i, zone, out); }, i);
  }
  // Waits until the reply of member i to show-members contains `line`.
  void wait_for_member_line(int i, const std::string& line) const {
    wait_until([&] { return members_seen_by(i).find(line) != std::string::npos; }, i);
  }
  // Waits until each member in `observers` shows all zones as in and `expected` members, including itself, as
  // alive.
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
    for (std::size_t position = text.find(" alive "); position != std::string::npos;
         position = text.find(" alive ", position + 1))
      ++alive;
    return alive;
  }
  // Returns how many decisions to take a zone out these members have counted in total. Uses statistics,
  // because the number of log lines per second is limited.
  long declared_out(const std::vector<int>& members) const {
    long total = 0;
    for (const int i : members) total += statistic(console(i), "fleet.declared_out");
    return total;
  }
  // Waits for `is_done`, three times as long as the harness does elsewhere, because nine processes with
  // sanitizers are slow on a busy machine. On a time-out, prints the views of member i.
  template <typename Predicate>
  void wait_until(Predicate&& is_done, int i) const {
    const auto until = harness::clock::now() + std::chrono::milliseconds(3 * patience_ms);
    while (!is_done()) {
      if (harness::clock::now() > until)
        std::fprintf(stderr, "time-out; views of member %d:\n%s%s", i, members_seen_by(i).c_str(),
                     zones_seen_by(i).c_str());
      CHECK(harness::clock::now() <= until);
      std::this_thread::sleep_for(20ms);
    }
  }

  std::unique_ptr<cluster_faults::relay> relay;

 private:
  struct process {
    runtime fake_runtime;
    int console = free_port();
    int number = 0;
    std::unique_ptr<node> program;
  };
  struct member_slot {
    std::unique_ptr<process> current = std::make_unique<process>(), replaced;
    std::atomic<int> port = 0;
    std::mutex guard;
  };
  member_slot& member(int i) const { return *members_[static_cast<std::size_t>(i)]; }

  // Starts the current process of node i. It accepts clients at `port`, or at a free port if `port` is 0.
  void launch(int i, int port) {
    process& launched = *member(i).current;
    node_options node_settings;
    node_settings.quota = node_settings.other_quota = 100000;
    node_settings.operators = operators(i);
    node_settings.listen_port = port;
    node_settings.edit_from = "\"seed\"";
    node_settings.edit_to =
        "\"console\":\"" + own_host() + ":" + std::to_string(launched.console) + "\",\"seed\"";
    if (options_.edit) options_.edit(i, node_settings);
    launched.number = ++launched_;
    launched.program = std::make_unique<node>(launched.fake_runtime, node_settings);
    launched.fake_runtime.up();
    member(i).port = launched.program->port;
  }

  // The operator's file of node i.
  std::string operators(int i) const {
    std::ostringstream text;
    text << "fleet {\n name = kurse\n listen = \"" << own_host() << ":" << udp(i) << "\"\n advertise = \""
         << address(i) << "\"\n zone = z" << i / options_.per_zone << "\n seeds = {\"" << address(0)
         << "\", \"" << address(size() > options_.per_zone ? options_.per_zone : 0) << "\"}\n"
         << " probe_interval = " << options_.probe_ms << "ms\n probe_timeout = " << options_.probe_ms * 2 / 5
         << "ms\n hold_down = " << options_.hold_down << "\n vote_lease = 3s\n start_grace = 2s\n"
         << options_.more_of_fleet << "}\n";
    for (int z = 0; z < options_.zones; ++z) {
      text << "zone z" << z << " {\n region = " << region(z) << "\n members = {";
      for (int k = 0; k < options_.per_zone; ++k)
        text << (k > 0 ? ", " : "") << "\"" << address(z * options_.per_zone + k) << "\"";
      text << "}\n}\n";
    }
    if (options_.operators) text << options_.operators(i);
    return text.str();
  }

  test_cluster_options options_;
  std::vector<int> udp_;
  std::vector<std::unique_ptr<member_slot>> members_;
  std::atomic<int> launched_ = 0;
};

}  // namespace cluster_faults
