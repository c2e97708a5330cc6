#include "thrift/front.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fronts/end_connections.hpp"
#include "net/graceful_close.hpp"
#include "telemetry/exception_text.hpp"
#include "thrift/front_connection.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

using telemetry::log;

server::server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
               telemetry::counters& counters)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(requests),
      backend_(runs),
      counters_(counters),
      connections_(reactor),
      names_(settings.policy_settings),
      keys_(thrift_key_rules(settings)),
      listener_(reactor, settings.bounds, settings.listen.host, settings.listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }),
      sweeps_(settings.bounds.sweep_interval) {
  requests.add_front(*this);
}

server::~server() = default;

bool server::healthy() const {
  return health_check_ ? health_check_() : dispatcher_.healthy();
}

// The limit keeps file descriptors free: without it the process might be unable to connect to its runtime. If
// the limit is reached, an unused connection is closed for the new one, so that hundreds of unused
// connections cannot keep balancers from connecting.
void server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.bounds.connections) {
    connection* const unused = connections_.eviction_candidate();
    if (unused == nullptr) {
      ++counters_.rejected_connections;
      log("full", "new connection rejected: all %zu connections are in use", connections_.size());
      net::reject_connection(socket, encode_closing());
      return;
    }
    ++counters_.evicted_connections;
    log("full", "closed an unused connection to accept a new one, %zu connections open", connections_.size());
    unused->ask_to_close();
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.accepted_connections;
  connection& accepted = connections_.add(std::make_shared<connection>(*this, socket));
  if (draining_) accepted.ask_to_close();
}

// A request that cannot be passed to the dispatcher is answered here.
void server::begin_or_fail_request(connection& client_connection, const execute& message,
                                   std::int32_t seqid) {
  try {
    begin_request(client_connection, message, seqid);
  } catch (...) {
    reactor_.report_internal_error(telemetry::describe_current_exception());
    client_connection.send_internal_error(seqid);
  }
}

void server::begin_request(connection& client_connection, const execute& message, std::int32_t seqid) {
  request decoded;
  try {
    decoded = to_request(message, names_, net::unix_ms(), keys_);
  } catch (const bad_field& error) {
    ++counters_.invalid_requests;
    log("bad-request", "field %s is missing or invalid", error.what());
    client_connection.send(encode_internal(seqid, {}));
    client_connection.add_strike();
    return;
  }
  const request_id id = dispatcher_.on_arrival(*this, backend_, std::move(decoded));
  try {
    client_connection.open_requests_.emplace(seqid, id);
    open_requests_.emplace(id, open_request{&client_connection, seqid});
  } catch (...) {
    client_connection.open_requests_.erase(seqid);
    dispatcher_.on_client_cancelled(id);
    throw;
  }
}

void server::respond(request_id id, const answer& final_answer) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) return;
  const open_request answered = found->second;
  open_requests_.erase(found);
  connection& client_connection = *answered.client_connection;
  client_connection.open_requests_.erase(answered.seqid);
  client_connection.send_answer(answered.seqid, final_answer);
  if (final_answer.unknown_request) client_connection.add_strike();
}

void server::drop(connection& closed) {
  for (const auto& [seqid, id] : closed.open_requests_) {
    open_requests_.erase(id);
    dispatcher_.on_client_cancelled(id);
  }
  closed.open_requests_.clear();
  connections_.drop(closed);
}

time_point server::step(time_point now) {
  if (!sweeps_.due(now)) return sweeps_.next();
  listener_.resume();
  if (sweeps_.begin(now)) {
    connections_.each([&](connection& candidate) { apply_time_limits(candidate, now); });
    ask_unused_connections_to_close();
  }
  return sweeps_.next();
}

void server::apply_time_limits(connection& candidate, time_point now) {
  const limits& bounds = config_.bounds;
  const duration unused = now - candidate.last_used_;
  const bool ignored_request_to_close =
      candidate.asked_to_close_ && !draining_ && now - candidate.asked_to_close_at_ > bounds.linger_timeout;
  if (candidate.has_incomplete_message() &&
      now - candidate.incomplete_since_ > bounds.partial_frame_timeout) {
    candidate.reject_frame("message incomplete after the time limit");
  } else if (candidate.ended()) {
    if (unused <= bounds.linger_timeout) return;
    candidate.stream_.close();
    drop(candidate);
  } else if (candidate.has_incomplete_message() || candidate.has_pending_answer()) {
    return;
  } else if (candidate.reading_stopped_ || ignored_request_to_close) {
    candidate.end();
  } else if (candidate.messages_ == 0 && unused > bounds.first_message_timeout) {
    ++counters_.silent_connections;
    candidate.end();
  } else if (unused > bounds.idle_timeout || (policy_idle_time_.count() > 0 && unused > policy_idle_time_)) {
    candidate.ask_to_close();
  }
}

// Asks callers to close the connections with the lowest eviction_rank() before all permitted connections are
// in use. If a connection is closed only then, a request may already be on its way on it; a caller that was
// asked earlier has stopped sending by then.
void server::ask_unused_connections_to_close() {
  const auto connections_to_keep = static_cast<std::size_t>(config_.bounds.idle_eviction_share *
                                                            static_cast<double>(config_.bounds.connections));
  if (connections_.size() <= connections_to_keep) return;
  struct candidate {
    time_point rank;
    connection* unused;
    auto operator<=>(const candidate&) const = default;
  };
  std::size_t asked_count = 0;
  std::vector<candidate> candidates;
  connections_.each([&](connection& open) {
    if (open.asked_to_close_) {
      ++asked_count;
    } else if (const auto rank = open.eviction_rank()) {
      candidates.push_back({*rank, &open});
    }
  });
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [rank, unused] : candidates) {
    if (connections_.size() <= connections_to_keep + asked_count) return;
    if (unused->stream_.has_unread_input()) continue;
    unused->ask_to_close();
    ++asked_count;
  }
}

bool server::end_connections() {
  return fronts::end_connections(connections_);
}

void server::begin_drain() {
  if (std::exchange(draining_, true)) return;
  listener_.close();
  connections_.each([](connection& open) { open.ask_to_close(); });
}

}  // namespace marblewharf::thrift
