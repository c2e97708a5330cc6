// The uwsgi front, which serves gateways: each connection carries one request and its response. Requests go
// to the same dispatcher as those of the Thrift front and are subject to the same decisions.
#pragma once

#include <memory>
#include <unordered_map>

#include "config/config.hpp"
#include "config/key_rules.hpp"
#include "core/dispatcher.hpp"
#include "core/request_name_index.hpp"
#include "fronts/sweep_schedule.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

// Used only on the reactor's thread.
class server : public front {
 public:
  // Listens on `settings.uwsgi->listen`; throws std::runtime_error if that fails. All arguments outlive the
  // server.
  server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
         telemetry::counters& counters);
  ~server() override;

  // front
  void respond(request_id id, const answer& final_answer) override;
  void close_idle(duration) override {}  // no connection outlives its request

  // Closes connections that have been in the middle of a request, or open after their response, for too long.
  // Returns the time of the next call.
  time_point step(time_point now);

  // Stops accepting connections.
  void begin_drain();
  // Ends each connection on which no answer is pending; bytes that arrive on an ended connection are
  // discarded. A connection with a request that has not been read yet is left for the next call. Returns
  // whether all connections are ended.
  bool end_connections();
  bool empty() const { return connections_.empty(); }

 private:
  class connection;

  void accept(const Poco::Net::StreamSocket& socket);
  void begin_request(connection& client_connection, const packet& received);
  void drop(connection& closed);
  // Closes or ends a connection that exceeds one of its time limits.
  void apply_time_limits(connection& candidate, time_point now);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& backend_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  std::unordered_map<request_id, connection*> open_requests_;
  request_name_index names_;
  const key_rules keys_;
  net::listener listener_;
  fronts::sweep_schedule sweeps_;
};

}  // namespace marblewharf::uwsgi
