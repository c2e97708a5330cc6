// The link to the runtime, the process that executes requests. Starts the runs that the dispatcher requests
// and recovers them after a lost connection.
//
// A lost connection loses commands but not runs. The answer to a gauge query confirms that all commands sent
// before the query have arrived (runtime/gauge_queries.hpp). After a reconnect the runtime first repeats its
// notices. The link then sends a gauge query; its answer shows that all run ends up to that point are known.
// Only then does the link recover the runs whose commands were in flight when the connection was lost. A run
// whose start was in flight may or may not have started, until an event of the runtime proves which
// (runtime/tracked_run.hpp).
//
// A move of the runtime to another address loses no commands: the link defers new commands, waits for the
// answer to a gauge query, which confirms that all earlier commands have arrived, and only then replaces the
// old connection by the new one.
//
//   state         event                                               next state
//   down          reconnect_interval since the last attempt            connecting
//   connecting    the connection is open                               syncing
//   connecting    no connection within connect_timeout                 down
//   syncing       ready notice                                         catching_up
//   catching_up   answer to the gauge query sent on the ready notice   up
//   up            the address has changed and an attempt is due        handing_over
//   handing_over  the new connection is open                           syncing
//   handing_over  new connection fails or exceeds the time limit       up
//   any           ready notice                                         catching_up
//   any           connection lost, or address changed while not up     down
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "net/reactor.hpp"
#include "runtime/command_sequence.hpp"
#include "runtime/messages.hpp"
#include "runtime/start_estimate.hpp"
#include "runtime/tracked_run.hpp"
#include "runtime/transport.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::runtime {

// Used only on the reactor's thread.
class link : public backend, private transport_observer {
 public:
  // All arguments outlive the link. Throws invalid_config if the runtime's host name cannot be resolved.
  link(net::reactor& reactor, const config& settings, dispatcher& requests, telemetry::counters& counters);
  ~link() override;

  // backend
  void run(request_id id, const request& details) override;
  void pause(request_id id) override;
  void resume(request_id id) override;

  // Switches to a new address of the runtime. Keeps the runs and the serial number of the last notice.
  void set_address(const Poco::Net::SocketAddress& address);

  // Connects, switches to a new address and queries the gauges when due. Returns the time of the next call.
  time_point step(time_point now);

  // Whether the runtime is connected and executes requests.
  bool connected() const { return state_ == state::up || state_ == state::handing_over; }

  // The latest gauges; empty if they are older than `gauge_max_age`.
  std::vector<double> gauges(time_point now) const { return commands_.queries().gauges(now); }

 private:
  enum class state { down, connecting, syncing, catching_up, up, handing_over };

  // transport_observer
  void on_connected() override;
  void on_line(std::string_view line) override;
  void on_connection_lost(const char* reason) override;
  void on_successor_lost() override;

  void on_notice(const ready_notice& notice);
  void on_notice(const end_notice& notice);
  void on_notice(const gauges_notice& notice);
  void on_notice(const nack_notice& notice);
  void on_notice(const info_notice& notice);
  // Records the serial number of a notice. Returns false for a repeated notice that was processed before.
  bool is_new(std::uint64_t serial);

  void connect(time_point now);
  void begin_hand_over(time_point now);
  void connect_successor(time_point now);
  void keep_current_connection(time_point now);

  void send_fence_query(time_point now);
  void send_deferred_commands();
  void set_stop_wanted(request_id id, bool stop);

  // Marks the commands sent before a query as delivered.
  void on_delivered(std::uint64_t query);
  void mark_delivered(run_table::iterator position);
  void on_stop_without_effect(run_table::iterator position);
  bool may_run_twice(const tracked_run& run) const;
  void finish_catching_up();
  std::vector<std::string> recover_runs();
  void mark_unconfirmed_start(tracked_run& run);
  void recover(tracked_run& run, recovery action);
  void lose_all_runs();
  void reject_conflicting_request(tracked_run& run, request_id id);
  // Ends the run with the conclusion from the events that were observed.
  void finish(run_table::iterator position, std::string_view result, duration elapsed);
  bool observe(tracked_run& run, outcome::event what);
  bool awaits_confirmation(const tracked_run& run) const;

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  Poco::Net::SocketAddress address_;
  transport transport_;
  command_sequence commands_;
  state state_ = state::down;
  bool address_changed_ = false;  // the link is up, but still connected to the previous address
  run_table runs_;
  std::unordered_map<request_id, std::string> labels_;  // of runs and of their conflicting requests
  std::uint64_t last_serial_ = 0;                       // serial number of the last processed notice
  std::uint64_t fence_query_ = 0;  // gauge query whose answer ends catching_up or permits the new connection
  start_estimate runtime_start_;
  time_point sync_sent_at_{};
  time_point next_attempt_at_{};  // next attempt to connect or to switch to the new address
  time_point attempt_started_at_{};
};

}  // namespace marblewharf::runtime
