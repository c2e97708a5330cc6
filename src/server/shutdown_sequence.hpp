// Carries out the graceful shutdown that lifecycle::graceful_shutdown decides: closes listeners and
// connections of both fronts and says when the process ends.
#pragma once

#include <optional>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "server/durable_idempotency.hpp"
#include "thrift/front.hpp"
#include "uwsgi/front.hpp"

namespace marblewharf::server {

// The parts that a shutdown acts on; all outlive the sequence.
struct shutdown_targets {
  dispatcher& requests;
  thrift::server& thrift_server;
  std::optional<uwsgi::server>& uwsgi_server;  // empty: no such front
  const durable_idempotency* durable;          // null: no results are kept on disk
};

// Owned by the reactor's thread.
class shutdown_sequence {
 public:
  shutdown_sequence(const limits& bounds, const shutdown_targets& targets);

  bool begun() const { return shutdown_.has_value(); }
  // The shutdown notice came. With a successor on the same address, connections are let go at once.
  void begin(time_point now, bool successor_took_over);
  // Closes what is due; returns whether the process is to end. To be called in each round once begun, after
  // the round's answers have been written.
  bool step(time_point now);

 private:
  bool end_connections();
  bool all_closed() const;

  const limits& bounds_;
  const shutdown_targets targets_;
  std::optional<lifecycle::graceful_shutdown> shutdown_;  // from the notice on
};

}  // namespace marblewharf::server
