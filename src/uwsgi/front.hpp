// Where uwsgi gateways come in: a connection carries one request and its response. Same dispatcher, and so
// the same decisions, as the Thrift front's.
#pragma once

#include <memory>
#include <unordered_map>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "core/vocabulary.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

class server : public front {
 public:
  server(net::reactor& r, const config& settings, dispatcher& d, backend& b, telemetry::counters& counters);
  ~server() override;

  void respond(request_id id, const answer& final) override;
  void close_idle(duration) override {}  // no connection outlives its request

  // Closes what stands half-read or was answered; returns when it wants to be called again.
  time_point step(time_point now);

  // Takes no new connection.
  void leave();
  // Ends each connection that nothing is owed on; what is read of it from then on is thrown away. A
  // connection whose request has come and is not read yet is left for the next call. Returns whether all are
  // ended.
  bool end_connections();
  bool empty() const { return connections_.empty(); }

 private:
  class connection;

  void accept(const Poco::Net::StreamSocket& socket);
  request_id read(const packet& p);
  void drop(connection& c);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& backend_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  std::unordered_map<request_id, connection*> open_;
  vocabulary names_;
  net::listener listener_;
  time_point next_sweep_{};
};

}  // namespace marblewharf::uwsgi
