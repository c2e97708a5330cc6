// Cluster membership by the SWIM protocol with the Lifeguard extensions: tracks which members are alive,
// suspect or dead, and the zone and region of each.
//
// Performs no I/O: the owner passes in the time (steady clock), a random generator and each received message,
// and takes the messages to send and the changes of the view. Not thread-safe: owned by one thread (the
// reactor's). Addresses are opaque text ("host:port").
//
// A member is declared dead only after it has been suspect for its suspicion timeout without refuting the
// suspicion. A member that learns that it is suspected or declared dead refutes by raising its incarnation.
// Of two updates about the same member, the one with the higher incarnation wins; at the same incarnation,
// dead overrides suspect and suspect overrides alive.
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

// In the comments, n is the number of members that are not dead, including this one.
struct swim_options {
  duration probe_interval = std::chrono::milliseconds(500);
  duration probe_timeout = std::chrono::milliseconds(200);  // of the direct probe, before indirect probes
  unsigned indirect_probes = 3;          // number of helpers that are asked to probe an unresponsive target
  double suspicion_min_rounds = 4;       // shortest suspicion timeout, in probe intervals times log10(n)
  double suspicion_max_factor = 6;       // ratio of the longest suspicion timeout to the shortest
  unsigned suspicion_confirmations = 3;  // confirmations that reduce the suspicion timeout to the shortest
  unsigned retransmit_multiplier = 4;  // multiplier for the number of copies of a change; see `dissemination`
  unsigned gossip_per_message = 8;     // changes in a message
  unsigned refresh_per_message = 2;    // round-robin entries of the member table in a message
  unsigned max_local_health = 8;       // worst local health score; 0 is healthy
  unsigned reconnect_intervals = 5;    // probe intervals between pings to a dead member; 0: no such pings
  std::size_t max_members = 4096;      // updates about further members are dropped
  std::size_t max_relayed_probes = 256;  // concurrent indirect probes for other members; more are dropped
};

class swim {
 public:
  // `self`: this process; its incarnation should be higher than any earlier incarnation of the member (the
  // start time in ms). `seeds`: addresses that are probed until they answer; they do not have to be reachable
  // at the start.
  swim(const swim_options& options, member_update self, std::vector<std::string> seeds, time_point now);

  void receive(time_point now, const message& received);
  // Sends probes and handles timeouts. Returns the time of the next call.
  time_point step(time_point now, std::mt19937_64& random);

  std::vector<envelope> take_outbox() { return std::exchange(outbox_, {}); }
  // Every update that changed the view of this member, in order.
  std::vector<member_update> take_changes() { return std::exchange(changes_, {}); }

  const member_update& self() const { return self_; }
  // The current view: all known members except this one, including dead members.
  const std::map<std::string, member_update>& members() const { return members_; }
  bool is_alive(const std::string& address) const;
  // The time at which the member last acknowledged a direct or indirect probe of this member; nullopt: never.
  std::optional<time_point> last_acknowledged(const std::string& address) const;
  // The time at which this member's direct and indirect probes of the member last remained unanswered;
  // nullopt: never.
  std::optional<time_point> last_missed(const std::string& address) const;
  // Lifeguard's local health score: 0 is healthy; a higher score lengthens this member's own timeouts.
  unsigned local_health() const { return local_health_; }
  // The suspicion timeout of a member whose suspicion has been confirmed by `confirmations` further members.
  duration suspicion_timeout(std::size_t confirmations) const;

 private:
  struct suspicion {
    time_point since;
    std::vector<std::string> suspected_by;  // members whose own probes failed
    std::size_t confirmations() const { return suspected_by.size() - 1; }
  };

  // none -> direct (ping sent) -> indirect (timeout, helpers asked); direct or indirect -> acknowledged. At
  // the end of the probe interval every state changes to none, and the next probe starts.
  enum class probe_state { none, direct, indirect, acknowledged };
  struct probe {
    probe_state state = probe_state::none;
    std::string target;
    std::uint64_t sequence = 0;
    time_point sent{};
    unsigned helpers = 0;
    unsigned nacks = 0;  // number of helpers that reported that the target did not answer them
    bool is_unanswered() const { return state == probe_state::direct || state == probe_state::indirect; }
  };

  // An indirect probe that this member performs on behalf of another member.
  struct relayed_probe {
    std::string requester;
    std::string target;
    std::uint64_t requester_sequence = 0;
    std::uint64_t own_sequence = 0;
    time_point nack_due{};
    time_point expiry{};  // an ack of the target is forwarded until then, even after a nack was sent
    bool nacked = false;
  };

  // Returns whether the update changed the view of this member.
  bool apply(time_point now, const member_update& update, const std::string& sender);
  void accept(time_point now, const member_update& update, const std::string& suspected_by);
  void confirm_suspicion(member_update& believed, const std::string& suspected_by);
  void refute(std::uint64_t incarnation);
  void disseminate(const member_update& update);

  void on_ping_req(time_point now, const message& request);
  void on_ack(time_point now, const message& ack);
  void on_nack(const message& nack);
  void send(const std::string& recipient, message_kind kind, std::uint64_t sequence,
            const std::string& target = {});
  void add_gossip(message& outgoing, const std::string& recipient);

  void step_relayed_probes(time_point now);
  void expire_suspicions(time_point now);
  void send_indirect_probes(time_point now, std::mt19937_64& random);
  void finish_probe(time_point now);
  void start_probe(time_point now, std::mt19937_64& random);
  void ping_dead_member(time_point now, std::mt19937_64& random);
  time_point next_due() const;
  std::string next_target(std::mt19937_64& random);
  void start_probe_round(std::mt19937_64& random);

  duration scale_by_local_health(duration timeout) const { return timeout * (1 + local_health_); }
  void worsen_local_health(unsigned amount);
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
  std::vector<std::string> probe_round_;  // members still to be probed in this round; the last one is next
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
