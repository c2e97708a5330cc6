// Where balancers come in: reads their requests, hands them to the dispatcher and writes its answers.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "core/vocabulary.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "thrift/codec.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

class server : public front {
 public:
  server(net::reactor& r, const config& settings, dispatcher& d, backend& b, telemetry::counters& counters);
  ~server() override;

  void respond(request_id id, const answer& final) override;
  void close_idle(duration after) override { idle_after_ = after; }

  // Closes what is idle too long or stands half-read; returns when it wants to be called again.
  time_point step(time_point now);

  // Takes no new connection and asks callers to let go of those that stand.
  void leave();
  bool leaving() const { return leaving_; }
  // Ends each connection that nothing is owed on; what is read of it from then on is thrown away. A
  // connection whose request has come and is not read yet is left for the next call. Returns whether all are
  // ended.
  bool end_connections();
  // What health checks answer; the dispatcher's word where nobody says otherwise. Called on the reactor's
  // thread.
  void answer_health_by(std::function<bool()> healthy) { healthy_ = std::move(healthy); }
  bool empty() const { return connections_.empty(); }

 private:
  class connection;
  struct open_request {
    connection* from = nullptr;
    std::int32_t seqid = 0;
  };

  void accept(const Poco::Net::StreamSocket& socket);
  void read(connection& from, const execute& what, std::int32_t seqid);
  void drop(connection& c);
  void thin_out();

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& backend_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  std::unordered_map<request_id, open_request> open_;
  vocabulary names_;
  key_rules keys_;
  net::listener listener_;
  std::function<bool()> healthy_;
  duration idle_after_{};
  time_point next_sweep_{};
  bool leaving_ = false;
};

}  // namespace marblewharf::thrift
