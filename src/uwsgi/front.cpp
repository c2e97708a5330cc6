#include "uwsgi/front.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "fronts/end_connections.hpp"
#include "net/graceful_close.hpp"
#include "telemetry/exception_text.hpp"
#include "uwsgi/request.hpp"

namespace marblewharf::uwsgi {

using telemetry::log;

namespace {

constexpr unsigned unprocessable_content = 422;
constexpr unsigned conflict = 409;
constexpr unsigned internal_server_error = 500;
constexpr unsigned bad_gateway = 502;
constexpr unsigned service_unavailable = 503;
constexpr unsigned gateway_timeout = 504;

std::string retry_after_header(std::chrono::seconds retry_after) {
  return "Retry-After: " + std::to_string(retry_after.count()) + "\r\n";
}

// The retry-after time in whole seconds, as HTTP requires, and at least one second: 0 would request an
// immediate retry.
std::string rejection(const answer& final_answer) {
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(final_answer.retry_after);
  return encode_response(service_unavailable,
                         retry_after_header(std::max(retry_after, std::chrono::seconds(1))));
}

// An unknown outcome means that the request may have run and will not be run again. If its deadline has
// passed, the run may still end; a later request with the same key then receives the result.
std::string failure(const answer& final_answer) {
  if (final_answer.key_conflict) return encode_response(unprocessable_content);
  if (final_answer.outcome_unknown)
    return encode_response(final_answer.deadline_exceeded ? gateway_timeout : conflict,
                           "Outcome: unknown\r\n");
  return encode_response(final_answer.deadline_exceeded ? gateway_timeout : bad_gateway);
}

}  // namespace

class server::connection : public net::stream::observer {
 public:
  connection(server& front, const Poco::Net::StreamSocket& socket)
      : server_(front), stream_(front.reactor_, front.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(net::loss) override { server_.drop(*this); }

  // Sends the response and ends the connection; the caller is expected to close it. Throws std::bad_alloc,
  // and sends nothing, if the response cannot be buffered.
  void respond(std::string_view response);
  // Sends the response to the final answer, or an internal error if that response cannot be encoded or
  // buffered.
  void respond(const answer& final_answer);
  // Reports the exception that is being handled and responds with an internal error. The connection is lost
  // if that fails. Called only in a `catch` block.
  void respond_with_internal_error();
  // Ends the connection without a response.
  void end() { respond(std::string_view()); }
  bool ended() const { return ended_; }
  // Whether the connection's request is open, or unread bytes may contain it.
  bool has_pending_answer() const { return id_ != 0 || stream_.has_unread_input(); }
  // Rank of the connection among those that may be closed to make room for a new one; the lowest is closed
  // first. Answered connections rank before those that have not sent a byte; within each group the oldest
  // comes first. Empty if the request is open or arriving.
  std::optional<time_point> eviction_rank() const;

 private:
  friend class server;
  friend class net::connections<connection>;  // accesses stream_ and arriving_

  server& server_;
  net::stream stream_;
  request_id id_ = 0;      // of the open request; 0: none
  bool arriving_ = false;  // received bytes that have not been read yet
  bool ended_ = false;
  time_point state_since_ = net::steady_now();  // when the connection was accepted, or ended
};

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (ended_ || id_ != 0)
    return bytes.size();  // discard, but keep reading to notice the end of the connection
  try {
    const std::optional<packet> received = next_packet(bytes, server_.config_.bounds);
    if (!received) return 0;
    const std::size_t size = received->bytes.size();
    server_.begin_request(*this, *received);
    return size;
  } catch (const bad_packet& error) {
    ++server_.counters_.invalid_frames;
    log("bad-packet", "uwsgi: %s", error.what());
    respond(encode_response(error.status));
  } catch (...) {
    respond_with_internal_error();
  }
  return bytes.size();
}

void server::connection::respond(const answer& final_answer) {
  try {
    switch (final_answer.status) {
      case response_status::served: respond(final_answer.result); break;
      case response_status::rejected: respond(rejection(final_answer)); break;
      case response_status::failed: respond(failure(final_answer)); break;
    }
  } catch (...) {
    respond_with_internal_error();
  }
}

void server::connection::respond_with_internal_error() {
  server_.reactor_.report_internal_error(telemetry::describe_current_exception());
  try {
    respond(encode_response(internal_server_error));
  } catch (...) {
    server_.reactor_.report_internal_error(telemetry::describe_current_exception());
    stream_.fail(net::loss::internal_error);
  }
}

void server::connection::respond(std::string_view response) {
  id_ = 0;
  ended_ = true;
  state_since_ = net::steady_now();
  stream_.send(response);
  stream_.shutdown_output();
}

std::optional<time_point> server::connection::eviction_rank() const {
  if (id_ != 0 || (!ended_ && (arriving_ || stream_.has_incomplete_message()))) return std::nullopt;
  return ended_ ? time_point::min() + state_since_ : state_since_;
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
      keys_(uwsgi_key_rules(settings)),
      listener_(reactor, settings.bounds, settings.uwsgi->listen.host, settings.uwsgi->listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }),
      sweeps_(settings.bounds.sweep_interval) {
  requests.add_front(*this);
}

server::~server() = default;

void server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.bounds.uwsgi_connections) {
    connection* const unused = connections_.eviction_candidate();
    if (unused == nullptr) {
      ++counters_.rejected_connections;
      log("full", "new uwsgi connection rejected: all %zu connections are in use", connections_.size());
      net::reject_connection(
          socket, encode_response(service_unavailable, retry_after_header(std::chrono::seconds(1))));
      return;
    }
    ++counters_.evicted_connections;
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.accepted_connections;
  connections_.add(std::make_shared<connection>(*this, socket));
}

void server::begin_request(connection& client_connection, const packet& received) {
  const request_id id =
      dispatcher_.on_arrival(*this, backend_, to_request(received, *config_.uwsgi, names_, keys_));
  try {
    open_requests_.emplace(id, &client_connection);
  } catch (...) {
    dispatcher_.on_client_cancelled(id);
    throw;
  }
  client_connection.id_ = id;
}

void server::respond(request_id id, const answer& final_answer) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) return;
  connection& client_connection = *found->second;
  open_requests_.erase(found);
  client_connection.respond(final_answer);
}

void server::drop(connection& closed) {
  if (closed.id_ != 0) {
    open_requests_.erase(closed.id_);
    dispatcher_.on_client_cancelled(std::exchange(closed.id_, 0));
  }
  connections_.drop(closed);
}

time_point server::step(time_point now) {
  if (!sweeps_.due(now)) return sweeps_.next();
  listener_.resume();
  if (sweeps_.begin(now))
    connections_.each([&](connection& candidate) { apply_time_limits(candidate, now); });
  return sweeps_.next();
}

void server::apply_time_limits(connection& candidate, time_point now) {
  const duration time_limit =
      candidate.ended() ? config_.bounds.linger_timeout : config_.bounds.partial_frame_timeout;
  if (candidate.id_ != 0 || now - candidate.state_since_ <= time_limit) return;
  if (!candidate.ended()) {
    if (candidate.stream_.has_unread_input()) return;  // the bytes are read in the next dispatch
    ++counters_.invalid_frames;
    log("bad-packet", "uwsgi: packet incomplete after the time limit; connection closed");
  }
  candidate.stream_.close();
  drop(candidate);
}

bool server::end_connections() {
  return fronts::end_connections(connections_);
}

void server::begin_drain() {
  listener_.close();
}

}  // namespace marblewharf::uwsgi
