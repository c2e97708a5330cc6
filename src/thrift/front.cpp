#include "thrift/front.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fronts/end_connections.hpp"
#include "net/graceful_close.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

using telemetry::log;

namespace {

// The rank of a connection depends on whether no message, one, or more were received on it.
constexpr unsigned max_messages_counted = 2;

// The fields of an error reply, under their names on the wire.
field_map fields_of(const answer& final_answer) {
  field_map fields;
  if (final_answer.retry_after.count() > 0) {
    const auto retry_after = std::chrono::ceil<std::chrono::milliseconds>(final_answer.retry_after);
    fields.emplace("later", std::to_string(retry_after.count()));
  }
  if (final_answer.no_retry_elsewhere) fields.emplace("giveup", "1");
  if (final_answer.key_conflict) fields.emplace("key", "conflict");
  if (final_answer.outcome_unknown) fields.emplace("outcome", "unknown");
  return fields;
}

}  // namespace

class server::connection : public net::stream::observer {
 public:
  connection(server& front, const Poco::Net::StreamSocket& socket)
      : server_(front), stream_(front.reactor_, front.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(net::loss) override { server_.drop(*this); }

  void send(const std::string& frame);
  // Sends the caller a request to close the connection, at most once.
  void ask_to_close();
  // Stops reading because the caller violated the protocol. Open requests are still answered.
  void stop_reading(const char* reason);
  // Counts a bad message; stops reading after `max_invalid_messages` of them on the connection.
  void add_strike();
  // Ends the connection in such a way that the caller receives everything sent before. No request may be
  // open.
  void end();
  bool ended() const { return ended_; }
  // Whether a request is open on this connection, or unread bytes may contain one.
  bool has_pending_answer() const {
    return !open_requests_.empty() || (!reading_stopped_ && stream_.has_unread_input());
  }
  bool has_incomplete_message() const { return incomplete_since_.count() > 0; }
  // Rank of the connection among those that may be closed to make room for a new one; the lowest is closed
  // first. Empty if a request is open or arriving.
  std::optional<time_point> eviction_rank() const;

 private:
  friend class server;
  friend class net::connections<connection>;  // accesses stream_ and arriving_

  server& server_;
  net::stream stream_;
  std::unordered_map<std::int32_t, request_id> open_requests_;  // by sequence number
  time_point last_used_ = net::steady_now();
  time_point incomplete_since_{};  // 0: no incomplete frame
  unsigned strikes_ = 0;
  unsigned messages_ = 0;  // complete messages received, counted up to max_messages_counted
  time_point asked_to_close_at_{};
  bool arriving_ = false;  // received bytes that have not been read yet
  bool asked_to_close_ = false;
  bool reading_stopped_ = false;
  bool ended_ = false;

 private:
  void handle(const message& received);
  void handle(const execute& request, std::int32_t seqid);
  void handle(const interrupt& cancellation);
  void handle(const undecodable& unknown, std::int32_t seqid);
  void reject(std::int32_t seqid, app_error error, const std::string& text);
};

void server::connection::send(const std::string& frame) {
  last_used_ = net::steady_now();
  stream_.send(frame);
}

void server::connection::ask_to_close() {
  if (asked_to_close_) return;
  asked_to_close_ = true;
  asked_to_close_at_ = net::steady_now();
  stream_.send(encode_closing());
}

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (reading_stopped_) return bytes.size();  // discard, but keep reading to notice the end of the connection
  try {
    const std::optional<frame> received = next_frame(bytes, server_.config_.bounds);
    if (!received) {
      // Further bytes do not extend the time limit, so a frame sent byte by byte cannot stay open forever.
      if (!has_incomplete_message()) incomplete_since_ = net::steady_now();
      return 0;
    }
    last_used_ = net::steady_now();
    incomplete_since_ = {};
    messages_ = std::min(messages_ + 1, max_messages_counted);
    handle(decode(received->payload, server_.config_.bounds));
    return received->size;
  } catch (const bad_frame& error) {
    stop_reading(error.what());
    return bytes.size();
  }
}

void server::connection::stop_reading(const char* reason) {
  ++server_.counters_.invalid_frames;
  log("bad-frame", "reading from the connection stopped with %zu requests open: %s", open_requests_.size(),
      reason);
  reading_stopped_ = true;
  incomplete_since_ = {};
  ask_to_close();
  if (open_requests_.empty()) end();
}

void server::connection::add_strike() {
  ++strikes_;
  if (strikes_ >= server_.config_.bounds.max_invalid_messages && !reading_stopped_)
    stop_reading("too many bad messages");
}

void server::connection::end() {
  if (std::exchange(ended_, true)) return;
  ask_to_close();
  last_used_ = net::steady_now();
  stream_.shutdown_output();
}

// Order of closing: connections that were asked to close, then those on which no message, one message,
// and more than one were received. The offsets separate the four groups; within a group the least recently
// used comes first.
std::optional<time_point> server::connection::eviction_rank() const {
  if (!open_requests_.empty() || has_incomplete_message() || (arriving_ && !reading_stopped_))
    return std::nullopt;
  if (asked_to_close_) return time_point::min() + asked_to_close_at_;
  if (messages_ == 0) return time_point::min() / 2 + last_used_;
  if (messages_ == 1) return time_point::min() / 4 + last_used_;
  return last_used_;
}

void server::connection::reject(std::int32_t seqid, app_error error, const std::string& text) {
  ++server_.counters_.invalid_frames;
  log("bad-request", "message %d rejected: %s", seqid, text.c_str());
  send(encode_exception(seqid, "execute", error, text));
  add_strike();
}

void server::connection::handle(const message& received) {
  if (const auto* request = std::get_if<execute>(&received.content)) {
    handle(*request, received.seqid);
  } else if (const auto* cancellation = std::get_if<interrupt>(&received.content)) {
    handle(*cancellation);
  } else if (const auto* unknown = std::get_if<undecodable>(&received.content)) {
    handle(*unknown, received.seqid);
  } else {
    ++server_.counters_.health_checks;
    send(encode_health(received.seqid, server_.healthy()));
  }
}

void server::connection::handle(const execute& request, std::int32_t seqid) {
  if (open_requests_.contains(seqid)) {
    stop_reading("sequence number of an open request was reused");
  } else if (open_requests_.size() >= server_.config_.bounds.max_in_flight_per_connection) {
    reject(seqid, app_error::internal, "too many open requests");
  } else {
    server_.begin_request(*this, request, seqid);
  }
}

void server::connection::handle(const interrupt& cancellation) {
  const auto found = open_requests_.find(cancellation.seqid);
  if (found == open_requests_.end()) return;  // answered already
  const request_id id = found->second;
  open_requests_.erase(found);
  server_.open_requests_.erase(id);
  server_.dispatcher_.on_client_cancelled(id);
}

void server::connection::handle(const undecodable& unknown, std::int32_t seqid) {
  if (unknown.answerable) {
    reject(seqid, unknown.error, unknown.text);
    return;
  }
  ++server_.counters_.invalid_frames;
  log("bad-request", "oneway message ignored: %s", unknown.text.c_str());
  add_strike();
}

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
  client_connection.open_requests_.emplace(seqid, id);
  open_requests_.emplace(id, open_request{&client_connection, seqid});
}

void server::respond(request_id id, const answer& final_answer) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) return;
  const open_request answered = found->second;
  open_requests_.erase(found);
  answered.client_connection->open_requests_.erase(answered.seqid);
  const field_map fields = fields_of(final_answer);
  switch (final_answer.status) {
    case response_status::served:
      answered.client_connection->send(encode_served(answered.seqid, final_answer.result));
      break;
    case response_status::rejected:
      answered.client_connection->send(encode_overloaded(answered.seqid, fields));
      break;
    case response_status::failed:
      answered.client_connection->send(encode_internal(answered.seqid, fields));
      break;
  }
  if (final_answer.unknown_request) answered.client_connection->add_strike();
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
    candidate.stop_reading("message incomplete after the time limit");
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
