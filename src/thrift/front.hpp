// The Thrift front, which serves balancers: reads requests, passes them to the dispatcher and sends the
// answers.
#pragma once

#include <functional>
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
#include "thrift/codec.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

// Used only on the reactor's thread.
class server : public front {
 public:
  // Listens on `settings.listen`; throws std::runtime_error if that fails. All arguments outlive the server.
  server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
         telemetry::counters& counters);
  ~server() override;

  // front
  void respond(request_id id, const answer& final_answer) override;
  void close_idle(duration idle_time) override { policy_idle_time_ = idle_time; }

  // Closes connections that have been idle or in the middle of a message for too long. Returns the time of
  // the next call.
  time_point step(time_point now);

  // Stops accepting connections and asks the callers of open connections to close them.
  void begin_drain();
  bool draining() const { return draining_; }
  // Ends each connection on which no answer is pending; bytes that arrive on an ended connection are
  // discarded. A connection with a request that has not been read yet is left for the next call. Returns
  // whether all connections are ended.
  bool end_connections();
  bool empty() const { return connections_.empty(); }

  // Health checks are answered with the result of `healthy` from now on, instead of the dispatcher's health.
  // `healthy` is called on the reactor's thread.
  void set_health_check(std::function<bool()> healthy) { health_check_ = std::move(healthy); }

 private:
  class connection;
  struct open_request {
    connection* client_connection = nullptr;
    std::int32_t seqid = 0;
  };

  void accept(const Poco::Net::StreamSocket& socket);
  void begin_or_fail_request(connection& client_connection, const execute& message, std::int32_t seqid);
  void begin_request(connection& client_connection, const execute& message, std::int32_t seqid);
  void drop(connection& closed);
  // Closes or ends a connection that exceeds one of its time limits.
  void apply_time_limits(connection& candidate, time_point now);
  // While more than the fraction `limits::idle_eviction_share` of the permitted connections is in use, asks
  // those with the lowest eviction_rank() to close.
  void ask_unused_connections_to_close();
  bool healthy() const;

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& backend_;
  telemetry::counters& counters_;
  net::connections<connection> connections_;
  std::unordered_map<request_id, open_request> open_requests_;
  request_name_index names_;
  const key_rules keys_;
  net::listener listener_;
  std::function<bool()> health_check_;  // empty: the dispatcher's health
  duration policy_idle_time_{};         // idle time-out requested by the admission policy; 0: none
  fronts::sweep_schedule sweeps_;
  bool draining_ = false;
};

}  // namespace marblewharf::thrift
