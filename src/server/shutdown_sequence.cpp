#include "server/shutdown_sequence.hpp"

#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

shutdown_sequence::shutdown_sequence(const limits& bounds, const shutdown_targets& targets)
    : bounds_(bounds), targets_(targets) {}

void shutdown_sequence::begin(time_point now, bool successor_took_over) {
  telemetry::log("drain", "notice to leave, %zu requests open%s", targets_.requests.open(),
                 successor_took_over ? "; a successor takes the clients" : "");
  shutdown_.emplace(now, successor_took_over, bounds_);
  targets_.requests.on_shutdown_notice(bounds_.stop);
}

bool shutdown_sequence::step(time_point now) {
  // Each connection that this process keeps or accepts is one that a successor does not get.
  if (shutdown_->drains_connections(now)) {
    targets_.thrift_server.begin_drain();
    if (targets_.uwsgi_server) targets_.uwsgi_server->begin_drain();
  }
  lifecycle::connection_progress progress;
  if (shutdown_->closes_connections(now)) progress.all_ended = end_connections();
  progress.all_closed = all_closed();
  return shutdown_->is_complete(now, progress);
}

// Both fronts are asked, whatever the first one says.
bool shutdown_sequence::end_connections() {
  const bool thrift_ended = targets_.thrift_server.end_connections();
  const bool uwsgi_ended = !targets_.uwsgi_server || targets_.uwsgi_server->end_connections();
  return thrift_ended && uwsgi_ended;
}

// A keyed run may end yet though its caller has gone: stopping it would leave its outcome unknown for
// nothing.
bool shutdown_sequence::all_closed() const {
  if (targets_.durable != nullptr && targets_.durable->open_requests() > 0) return false;
  return targets_.thrift_server.empty() && (!targets_.uwsgi_server || targets_.uwsgi_server->empty());
}

}  // namespace marblewharf::server
