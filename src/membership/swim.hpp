// Membership of a fleet by SWIM with Lifeguard's refinements: who is alive, suspect or dead, with zone and
// region.
//
// Free of I/O: the owner hands in the time (steady clock), a random generator and each message received, and
// takes out the messages to send and the changes of the view. Not thread-safe: owned by one thread (the
// reactor's). Addresses are opaque text ("host:port"); the caller's transport carries `envelope`s to them.
//
// Promise: a member is declared dead only after it was suspect for its suspicion timeout without refuting; a
// member that hears itself suspected or declared dead refutes by raising its incarnation; of two claims on
// one member the higher incarnation wins, and at one incarnation dead > suspect > alive.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace marblewharf::membership {

using time_point = std::chrono::nanoseconds;  // steady clock
using duration = std::chrono::nanoseconds;

enum class health : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

// What is said of one member; gossip carries these.
struct claim {
  std::string address;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;
  health state = health::alive;
  std::string by{};  // suspect: the member whose own probe failed, however the claim travelled
  bool operator==(const claim&) const = default;
};

enum class kind : std::uint8_t { ping = 0, ack = 1, ping_req = 2, nack = 3 };

// A vote on a zone that rides along (docs/failover.md); membership carries it and reads nothing of it.
struct ballot {
  std::string voter;
  std::string zone;
  std::uint64_t epoch = 0;
  bool out = false;
  std::uint64_t round = 0;
  bool operator==(const ballot&) const = default;
};

struct message {
  kind what = kind::ping;
  claim sender;                // the sender as it sees itself: how members learn each other
  std::uint64_t sequence = 0;  // of the probe this belongs to
  std::string target;          // ping_req: whom to probe; ack/nack of a relayed probe: who was probed
  std::vector<claim> gossip;
  std::vector<ballot> ballots;  // the owner's: swim neither fills nor reads them
};

struct envelope {
  std::string to;
  message m;
};

struct options {
  duration probe_interval = std::chrono::milliseconds(500);
  duration probe_timeout = std::chrono::milliseconds(200);
  unsigned indirect_probes = 3;
  double suspicion_min_rounds = 4;       // times log10(n + 1) probe intervals
  double suspicion_max_factor = 6;       // the longest suspicion, over the shortest
  unsigned suspicion_confirmations = 3;  // K: independent suspicions that bring the timeout to its least
  unsigned retransmit_mult = 4;          // each change is sent this many times ceil(log10(n + 1))
  unsigned gossip_per_message = 8;
  unsigned refresh_per_message =
      2;                         // claims of the whole table in turn, beside the changes: what gossip missed
  unsigned health_max = 8;       // Lifeguard's local health: 0 is well; stretches own timeouts
  unsigned reconnect_every = 5;  // probe intervals between pings to one member held dead (0: never)
  std::size_t members_most = 4096;  // claims on further members are dropped: garbage cannot grow the table
  std::size_t relays_most = 256;    // probes carried out for others at once; further ones are dropped
};

class swim {
 public:
  // `self` names this process; its incarnation should be above any it had before (its start in ms does it).
  // `seeds` are addresses probed until they answer; they need not be up.
  swim(const options& o, claim self, std::vector<std::string> seeds, time_point now);

  void receive(time_point now, const message& m);
  // Probes, timeouts, suspicions; returns when it wants to be called again.
  time_point step(time_point now, std::mt19937_64& random);

  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  // Every claim that changed what this member believes, in order.
  std::vector<claim> take_changes() { return std::exchange(changes_, {}); }

  const claim& self() const { return self_; }
  // All members but this one, as believed now; the dead stay listed.
  const std::map<std::string, claim>& members() const { return members_; }
  // When this member last had the answer to a probe of its own (or through a helper) from that one; none:
  // never.
  std::optional<time_point> contact(const std::string& address) const;
  // When a probe of its own, and through all helpers, last brought no answer from that one; none: never.
  std::optional<time_point> miss(const std::string& address) const;
  unsigned local_health() const { return health_score_; }
  // The suspicion timeout of a member suspected by `confirmations` others beside the first.
  duration suspicion_timeout(unsigned confirmations) const;

 private:
  struct suspicion {
    time_point since;
    std::vector<std::string> confirmed_by;  // members whose own probes failed; never who merely passed it on
  };
  struct probe {
    std::string target;
    std::uint64_t sequence = 0;
    time_point sent{};
    bool indirect_sent = false;
    bool acked = false;
    unsigned helpers = 0;  // asked to probe for this member
    unsigned nacks = 0;
  };
  struct relay {  // a ping_req this member carries out for another
    std::string asker;
    std::string target;
    std::uint64_t asker_sequence = 0;
    std::uint64_t own_sequence = 0;
    time_point nack_at{};  // said that it tried; an ack that comes later is passed on all the same
    time_point until{};
    bool nacked = false;
  };

  // Applies a claim heard from `from`; returns whether the belief changed.
  bool apply(time_point now, const claim& c, const std::string& from);
  void refute(std::uint64_t above);
  void spread(const claim& c);
  void send(const std::string& to, kind what, std::uint64_t sequence, const std::string& target = {});
  duration scaled(duration d) const { return d * (1 + health_score_); }
  void raise_health(unsigned by) { health_score_ = std::min(options_.health_max, health_score_ + by); }
  void lower_health() {
    if (health_score_ > 0) --health_score_;
  }
  std::size_t alive_count() const;
  std::string next_target(std::mt19937_64& random);

  options options_;
  claim self_;
  std::vector<std::string> seeds_;
  std::map<std::string, claim> members_;
  std::map<std::string, suspicion> suspected_;
  std::map<std::string, time_point> contacts_, misses_;
  std::map<std::string, unsigned> sends_left_;  // gossip: changes still to send, by address
  std::string refreshed_;                       // the last member whose claim went out in its turn
  std::vector<std::string> round_;              // the probe order of this round
  probe probe_;
  std::vector<relay> relays_;
  std::uint64_t sequence_ = 0;
  time_point next_probe_;
  time_point next_reconnect_{};
  unsigned health_score_ = 0;
  std::vector<envelope> outbox_;
  std::vector<claim> changes_;
};

}  // namespace marblewharf::membership
