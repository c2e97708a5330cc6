// The Thrift front, for balancers: reads requests, hands them to the dispatcher and writes its answers.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "core/vocabulary.hpp"
#include "fronts/sweep_schedule.hpp"
#include "net/connections.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "thrift/codec.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

// Owned by the reactor's thread.
class server : public front {
 public:
  // Listens on `settings.listen`; throws where that address cannot be had. All that is passed in outlives the
  // server.
  server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
         telemetry::counters& counters);
  ~server() override;

  // front
  void respond(request_id id, const answer& final) override;
  void close_idle(duration after) override { idle_after_ = after; }

  // Closes connections that are idle or half-read for too long; returns when it wants to be called again.
  time_point step(time_point now);

  // Accepts no further connection and asks the callers of open ones to close them.
  void begin_drain();
  bool draining() const { return draining_; }
  // Ends each connection that nothing is owed on; what comes on it from then on is discarded. A connection
  // with a request that was not read yet is left for the next call. Returns whether all are ended.
  bool end_connections();
  bool empty() const { return connections_.empty(); }

  // What health checks answer, in place of the dispatcher's health. Called on the reactor's thread.
  void set_health_check(std::function<bool()> healthy) { healthy_ = std::move(healthy); }

 private:
  class connection;
  struct open_request {
    connection* from = nullptr;
    std::int32_t seqid = 0;
  };

  void accept(const Poco::Net::StreamSocket& socket);
  void begin_request(connection& from, const execute& what, std::int32_t seqid);
  void drop(connection& closed);
  void check(connection& candidate, time_point now);
  void ask_unused_to_close();
  bool healthy() const;

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
  std::function<bool()> healthy_;  // empty: the dispatcher's health
  duration idle_after_{};          // as the admission policy wants it; 0: no such wish
  fronts::sweep_schedule sweeps_;
  bool draining_ = false;
};

}  // namespace marblewharf::thrift
