// What is known of the effect of a request that is sent to another process, and which event proves it.
//
// The other process is observed through messages alone. If it is silent, it may have run the request, may run
// it now, or may never have got it. An effect therefore becomes unknown as soon as its start may have arrived
// and no report can be relied on. An unknown effect is settled only by a report: a result, or the word of the
// very server that got the start that it did not run the request. transitions() is the only place that
// decides this; links, clients and recovery report events to it and use its conclusion.
//
// models/outcome.pml checks the rules in all orders of lost starts, stops without effect, replacements and
// crashes. Performs no I/O. Not synchronized.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "outcome/run_end.hpp"

namespace marblewharf::outcome {

enum class effect_state {
  not_started,           // no byte of a start can have arrived
  in_flight,             // a start was sent; nothing shows whether it arrived
  running,               // the server has confirmed that the start arrived
  completed,             // the end of the run or its result was reported
  failed_before_effect,  // the server reports that it did not run the request and will not run it
  unknown,               // it may have run, or may still run
};

// The process that a start was sent to. After a restart, a server of the same name is another process, which
// knows nothing of the runs of the previous one.
struct server_identity {
  std::string name;               // in the settings; empty: there is only one
  std::uint64_t incarnation = 0;  // number of observed restarts of the process
  bool operator==(const server_identity&) const = default;
};

// Where a start was sent, or where a report comes from.
struct origin {
  server_identity server;
  std::uint64_t connection = 0;  // number of the connection to the server; 0: not distinguished
  bool operator==(const origin&) const = default;
};

enum class event {
  start_sent,           // a byte of the start may have been sent
  server_unreachable,   // no connection was established: no byte of the start can have arrived
  start_confirmed,      // all that was sent earlier on this connection has arrived
  run_succeeded,        // the server reports the result of the run
  run_failed,           // the server reports that the run has failed
  run_aborted,          // the server reports that it has stopped the run before its end
  run_paused,           // the server reports that it has paused the run, which proves that the start arrived
  not_run,              // the server reports that it did not run the request and will not run it
  request_refused,      // the server reports that it does not support the request; it ran nothing
  connection_lost,      // the connection broke: starts that are not confirmed may not have arrived
  response_unusable,    // the server's report of the end is invalid, incomplete or too long
  stop_without_effect,  // the server has executed a stop and has reported nothing of the run
  server_restarted,     // the server's process has ended, with all of its runs
  abandoned,            // this process has ended the attempt and ignores what is reported later
};

// An event, and the server and connection that it comes from.
struct evidence {
  event what{};
  origin from;
};

// What an event must agree with, so that it proves something about this effect.
enum class requirement {
  none,             // the event proves the same wherever it comes from
  same_server,      // it comes from the server that got the latest start
  same_connection,  // it comes from the connection on which the latest start was sent
  sole_server,      // it comes from the only server that any start was sent to
};

struct transition {
  effect_state from{};
  event on{};
  requirement needs{};
  effect_state to{};
};

// All transitions. An event without a matching row changes nothing.
std::span<const transition> transitions();

class effect {
 public:
  // Not started.
  effect() = default;

  // The effect of a request whose start may have been sent before this process started, or by another
  // process: unknown. `recipient`: the name of the only server that the start can have been sent to; empty:
  // not known, so that no report of a server can prove that the request did not run.
  static effect recovered(std::string recipient);

  // Returns false if the event proves nothing about this effect, which then remains as it was.
  bool apply(const evidence& observed);

  effect_state state() const { return state_; }

  // Where the latest start was sent.
  const origin& sent_to() const { return sent_to_; }

  // Whether a start may have been sent. From then on, a run that is not proven to have ended is unknown.
  bool may_have_started() const;

  // What has become of the run if no further event is awaited.
  run_end conclusion() const;
  // The same, for an effect that was inquired about. Only a result counts as completed.
  inquiry_outcome inquiry_conclusion() const;

 private:
  bool satisfies(requirement needed, const origin& from) const;
  void on_start_sent(const origin& to);

  effect_state state_ = effect_state::not_started;
  event last_event_ = event::start_sent;  // the last event that was accepted
  bool sent_to_several_ = false;          // starts may have been sent to more than one server
  origin sent_to_;                        // of the latest start
};

}  // namespace marblewharf::outcome
