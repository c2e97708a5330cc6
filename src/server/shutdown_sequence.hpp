// Executes the phases that lifecycle::graceful_shutdown schedules: closes the listeners and connections of
// both fronts and determines when the process ends.
#pragma once

#include <optional>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "server/durable_idempotency.hpp"
#include "server/memory_idempotency.hpp"
#include "thrift/front.hpp"
#include "uwsgi/front.hpp"

namespace marblewharf::server {

// The components that a shutdown acts on. All outlive the sequence.
struct shutdown_targets {
  dispatcher& requests;
  thrift::server& thrift_server;
  std::optional<uwsgi::server>& uwsgi_server;  // empty if the settings configure no uwsgi front
  const durable_idempotency* durable;          // null if results are not stored on disk
  const memory_idempotency* memory;            // null if results are not stored in memory
};

// Owned by the reactor's thread.
class shutdown_sequence {
 public:
  shutdown_sequence(const limits& bounds, const shutdown_targets& targets);

  bool started() const { return shutdown_.has_value(); }
  // Starts the shutdown after the notice. If a successor accepts connections on the same address, the fronts
  // drain at once: the message in the log shows that no new connection reaches this process.
  void start(time_point now, bool successor_took_over);
  // Closes listeners and connections that are due; returns whether the process has to end. Called in each
  // round after start(), once the round's answers have been written.
  bool step(time_point now);

 private:
  void drain_connections(time_point now);
  bool end_connections();
  bool all_closed() const;

  const limits& bounds_;
  const shutdown_targets targets_;
  std::optional<lifecycle::graceful_shutdown> shutdown_;  // set by start()
};

}  // namespace marblewharf::server
