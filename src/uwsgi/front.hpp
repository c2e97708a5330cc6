// The uwsgi front, for gateways: a connection carries one request and its response. Requests go to the same
// dispatcher, and so meet the same decisions, as those of the Thrift front.
#pragma once

#include <memory>
#include <unordered_map>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "core/vocabulary.hpp"
#include "fronts/sweep_schedule.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

// Owned by the reactor's thread.
class server : public front {
 public:
  // Listens on `settings.uwsgi->listen`; throws where that address cannot be had. All that is passed in
  // outlives the server.
  server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
         telemetry::counters& counters);
  ~server() override;

  // front
  void respond(request_id id, const answer& final) override;
  void close_idle(duration) override {}  // no connection outlives its request

  // Closes connections that are half-read or were answered for too long; returns when it wants to be called
  // again.
  time_point step(time_point now);

  // Accepts no further connection.
  void begin_drain();
  // Ends each connection that nothing is owed on; what comes on it from then on is discarded. A connection
  // with a request that was not read yet is left for the next call. Returns whether all are ended.
  bool end_connections();
  bool empty() const { return connections_.empty(); }

 private:
  class connection;

  void accept(const Poco::Net::StreamSocket& socket);
  request_id begin_request(const packet& whole);
  void drop(connection& closed);
  void check(connection& candidate, time_point now);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& backend_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  std::unordered_map<request_id, connection*> open_;
  vocabulary names_;
  net::listener listener_;
  fronts::sweep_schedule sweeps_;
};

}  // namespace marblewharf::uwsgi
