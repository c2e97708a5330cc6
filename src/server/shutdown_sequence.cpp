#include "server/shutdown_sequence.hpp"

#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

shutdown_sequence::shutdown_sequence(const limits& bounds, const shutdown_targets& targets)
    : bounds_(bounds), targets_(targets) {}

// With a successor, the listeners are closed before the message, after which no new connection reaches this
// process.
void shutdown_sequence::start(time_point now, bool successor_took_over) {
  shutdown_.emplace(now, successor_took_over, bounds_);
  drain_connections(now);
  telemetry::log("drain", "shutdown notice received with %zu open requests%s",
                 targets_.requests.open_requests(),
                 successor_took_over ? "; a successor accepts new connections" : "");
  targets_.requests.on_shutdown_notice(bounds_.shutdown_duration);
}

// A successor cannot serve the connections that this process keeps or accepts.
void shutdown_sequence::drain_connections(time_point now) {
  if (!shutdown_->drains_connections(now)) return;
  targets_.thrift_server.begin_drain();
  if (targets_.uwsgi_server) targets_.uwsgi_server->begin_drain();
}

bool shutdown_sequence::step(time_point now) {
  drain_connections(now);
  lifecycle::connection_progress progress;
  if (shutdown_->closes_connections(now)) progress.all_ended = end_connections();
  progress.all_closed = all_closed();
  return shutdown_->is_complete(now, progress);
}

// Calls both fronts, even if the first one still has connections that are not ended.
bool shutdown_sequence::end_connections() {
  const bool thrift_ended = targets_.thrift_server.end_connections();
  const bool uwsgi_ended = !targets_.uwsgi_server || targets_.uwsgi_server->end_connections();
  return thrift_ended && uwsgi_ended;
}

// Waits for keyed runs even if their callers have disconnected, because ending the process during a run would
// make its outcome unknown.
bool shutdown_sequence::all_closed() const {
  if (targets_.durable != nullptr && targets_.durable->open_requests() > 0) return false;
  if (targets_.memory != nullptr && targets_.memory->open_requests() > 0) return false;
  return targets_.thrift_server.empty() && (!targets_.uwsgi_server || targets_.uwsgi_server->empty());
}

}  // namespace marblewharf::server
