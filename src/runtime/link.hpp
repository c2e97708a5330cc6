// The link to the runtime that owns the cores: runs what the dispatcher hands over, across lost connections.
//
// A lost connection loses commands, not runs. The answer to a gauge question shows that every start before it
// has arrived (runtime/gauge_questions.hpp). After a reconnect the same question, asked behind the repeated
// notices, shows that every end until then is known; only then is settled what was in flight when the
// connection broke (runtime/tracked_run.hpp).
//
// A move to another address loses nothing: commands are held back, a question shows that all before it have
// arrived, and only then the new connection takes the place of the old one.
//
//   state         event                                               next state
//   down          `reconnect_every` has passed since the last attempt  connecting
//   connecting    the connection is open                               syncing
//   connecting    no connection within `connect`                       down
//   syncing       ready notice                                         catching_up
//   catching_up   answer to the question behind the repeated notices   up
//   up            a new address is to be tried                         handing_over
//   handing_over  the new connection is open                           syncing
//   handing_over  it fails, or is not open within `hand_over`          up
//   any           ready notice                                         catching_up
//   any           the connection is lost, or moved while not up        down
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

// Owned by the reactor's thread.
class link : public backend, private transport_observer {
 public:
  // All that is passed in outlives the link. Throws bad_config where the runtime's host is unknown.
  link(net::reactor& reactor, const config& settings, dispatcher& requests, telemetry::counters& counters);
  ~link() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;

  // From now on the runtime is at `address`. Runs and the serial of the last notice carry on.
  void move(const Poco::Net::SocketAddress& address);

  // Connects, asks for the gauges; returns when it wants to be called again.
  time_point step(time_point now);

  // Whether the runtime has answered and runs what it is handed.
  bool up() const { return state_ == state::up || state_ == state::handing_over; }

  // The last gauges; empty where they are too old to tell anything.
  std::vector<double> gauges(time_point now) const { return commands_.questions().gauges(now); }

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
  // False for a notice that was sent again, and read before.
  bool is_new(std::uint64_t serial);

  void connect(time_point now);
  void begin_hand_over(time_point now);
  void connect_successor(time_point now);
  void keep_current_connection(time_point now);

  void ask_and_settle(time_point now);
  void send_held_back();
  void set_stop_wanted(request_id id, bool stop);

  void on_delivered(std::uint64_t question);
  void mark_delivered(run_table::iterator position);
  void settle();
  std::vector<std::string> recover_runs();
  void recover(tracked_run& run, recovery how);
  void lose_all_runs();
  void withdraw_rival(tracked_run& run, request_id rival);
  void finish(run_table::iterator position, run_end how, std::string_view result, duration elapsed);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  Poco::Net::SocketAddress address_;
  transport transport_;
  command_sequence commands_;
  state state_ = state::down;
  bool moving_ = false;  // up on a connection to an earlier address
  run_table runs_;
  std::unordered_map<request_id, std::string> labels_;  // of runs and their rivals
  std::uint64_t last_serial_ = 0;                       // of the notices read
  std::uint64_t settling_question_ = 0;  // its answer ends catching_up, or lets the new connection begin
  start_estimate runtime_start_;
  time_point sync_sent_at_{};
  time_point next_attempt_{};  // to connect, or to hand over
  time_point attempt_began_{};
};

}  // namespace marblewharf::runtime
