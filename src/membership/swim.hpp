// Membership of a cluster by SWIM with the refinements of Lifeguard: which members are alive, suspect or
// dead, with their zone and region.
//
// Free of I/O: the owner hands in the time (steady clock), a random generator and each message received, and
// takes out the messages to send and the changes of the view. Not thread-safe: owned by one thread (the
// reactor's). Addresses are opaque text ("host:port").
//
// A member is declared dead only after it was suspect for its suspicion timeout without refuting. A member
// that learns that it is suspected or declared dead refutes by raising its incarnation. Of two updates on one
// member the higher incarnation wins, and at one incarnation dead wins over suspect, and suspect over alive.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/dissemination.hpp"
#include "membership/message.hpp"

namespace marblewharf::membership {

using time_point = std::chrono::nanoseconds;  // steady clock
using duration = std::chrono::nanoseconds;

// In the comments n is the number of members that are not dead, this one counted.
struct swim_options {
  duration probe_interval = std::chrono::milliseconds(500);
  duration probe_timeout = std::chrono::milliseconds(200);  // of the direct probe, before indirect ones
  unsigned indirect_probes = 3;                             // helpers asked for one
  double suspicion_min_rounds = 4;       // shortest suspicion timeout, in probe intervals times log10(n)
  double suspicion_max_factor = 6;       // the longest suspicion timeout over the shortest
  unsigned suspicion_confirmations = 3;  // independent suspicions that bring the timeout to its shortest
  unsigned retransmit_multiplier = 4;    // of each change, times the logarithm of the member count
  unsigned gossip_per_message = 8;       // changes
  unsigned refresh_per_message = 2;      // members of the table in turn, beside the changes
  unsigned max_local_health = 8;         // worst local health score; 0 is healthy
  unsigned reconnect_intervals = 5;      // probe intervals between pings to a dead member; 0: none are sent
  std::size_t max_members = 4096;        // updates on further members are dropped
  std::size_t max_relayed_probes = 256;  // carried out for others at once; further ones are dropped
};

class swim {
 public:
  // `self`: this process; its incarnation should be above any that the member had before (the time of the
  // start in ms). `seeds`: addresses that are probed until they answer; they need not be up.
  swim(const swim_options& options, member_update self, std::vector<std::string> seeds, time_point now);

  void receive(time_point now, const message& received);
  // Sends probes and handles timeouts. Returns when to call again.
  time_point step(time_point now, std::mt19937_64& random);

  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  // Every update that changed what this member believes, in order.
  std::vector<member_update> take_changes() { return std::exchange(changes_, {}); }

  const member_update& self() const { return self_; }
  // All members but this one, as believed now, the dead among them.
  const std::map<std::string, member_update>& members() const { return members_; }
  bool is_alive(const std::string& address) const;
  // When a probe of this member, direct or indirect, was last acknowledged by that one; none: never.
  std::optional<time_point> last_acknowledged(const std::string& address) const;
  // When a probe of this member, direct and indirect, last went unanswered by that one; none: never.
  std::optional<time_point> last_missed(const std::string& address) const;
  // Lifeguard's local health score: 0 is healthy; above, this member's own timeouts are stretched.
  unsigned local_health() const { return local_health_; }
  // Of a member suspected by `confirmations` others beside the first.
  duration suspicion_timeout(std::size_t confirmations) const;

 private:
  struct suspicion {
    time_point since;
    std::vector<std::string> suspected_by;  // members whose own probes failed
    std::size_t confirmations() const { return suspected_by.size() - 1; }
  };

  // none -> direct (ping sent) -> indirect (timeout, helpers asked); direct or indirect -> acknowledged; at
  // the end of the probe interval any -> none, and a new probe begins.
  enum class probe_state { none, direct, indirect, acknowledged };
  struct probe {
    probe_state state = probe_state::none;
    std::string target;
    std::uint64_t sequence = 0;
    time_point sent{};
    unsigned helpers = 0;
    unsigned nacks = 0;  // helpers that got no answer either
    bool is_unanswered() const { return state == probe_state::direct || state == probe_state::indirect; }
  };

  // An indirect probe that this member carries out for another.
  struct relayed_probe {
    std::string requester;
    std::string target;
    std::uint64_t requester_sequence = 0;
    std::uint64_t own_sequence = 0;
    time_point nack_due{};
    time_point expiry{};  // an ack is passed on until then, also after the nack
    bool nacked = false;
  };

  // Return whether what this member believes changed.
  bool apply(time_point now, const member_update& update, const std::string& from);
  void accept(time_point now, const member_update& update, const std::string& suspected_by);
  void confirm_suspicion(member_update& believed, const std::string& suspected_by);
  void refute(std::uint64_t incarnation);
  void disseminate(const member_update& update);

  void on_ping_req(time_point now, const message& request);
  void on_ack(time_point now, const message& ack);
  void on_nack(const message& nack);
  void send(const std::string& to, message_kind kind, std::uint64_t sequence, const std::string& target = {});
  void add_gossip(message& outgoing, const std::string& to);

  void step_relayed_probes(time_point now);
  void expire_suspicions(time_point now);
  void send_indirect_probes(time_point now, std::mt19937_64& random);
  void finish_probe(time_point now);
  void start_probe(time_point now, std::mt19937_64& random);
  void ping_dead_member(time_point now, std::mt19937_64& random);
  time_point next_due() const;
  std::string next_target(std::mt19937_64& random);
  void start_probe_round(std::mt19937_64& random);

  duration stretched(duration timeout) const { return timeout * (1 + local_health_); }
  void worsen_local_health(unsigned by);
  void improve_local_health();
  std::size_t live_member_count() const;

  swim_options options_;
  member_update self_;
  std::vector<std::string> seeds_;
  std::map<std::string, member_update> members_;
  std::map<std::string, suspicion> suspicions_;
  std::map<std::string, time_point> last_acknowledged_;
  std::map<std::string, time_point> last_missed_;
  dissemination dissemination_;
  std::vector<std::string> probe_round_;  // members still to be probed in this round, the next one last
  probe probe_;
  std::vector<relayed_probe> relayed_probes_;
  std::uint64_t sequence_ = 0;
  time_point next_probe_;
  time_point next_reconnect_{};
  unsigned local_health_ = 0;
  std::vector<envelope> outbox_;
  std::vector<member_update> changes_;
};

}  // namespace marblewharf::membership
