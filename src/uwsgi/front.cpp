#include "uwsgi/front.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "fronts/end_connections.hpp"
#include "net/graceful_close.hpp"
#include "uwsgi/request.hpp"

namespace marblewharf::uwsgi {

using telemetry::log;

namespace {

constexpr unsigned unprocessable_content = 422;
constexpr unsigned conflict = 409;
constexpr unsigned bad_gateway = 502;
constexpr unsigned service_unavailable = 503;
constexpr unsigned gateway_timeout = 504;

std::string retry_after_header(std::chrono::seconds retry_after) {
  return "Retry-After: " + std::to_string(retry_after.count()) + "\r\n";
}

// Whole seconds, as HTTP has it, and at least one: 0 would ask for a retry at once.
std::string rejection(const answer& final) {
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(final.retry_after);
  return encode_response(service_unavailable,
                         retry_after_header(std::max(retry_after, std::chrono::seconds(1))));
}

// With an unknown outcome the request may have run and will not run again; past its deadline it may end yet,
// which a later request with its key tells.
std::string failure(const answer& final) {
  if (final.key_conflict) return encode_response(unprocessable_content);
  if (final.outcome_unknown)
    return encode_response(final.deadline_exceeded ? gateway_timeout : conflict, "Outcome: unknown\r\n");
  return encode_response(final.deadline_exceeded ? gateway_timeout : bad_gateway);
}

}  // namespace

class server::connection : public net::stream::owner {
 public:
  connection(server& front, const Poco::Net::StreamSocket& socket)
      : server_(front), stream_(front.reactor_, front.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char*) override { server_.drop(*this); }

  // Sends its one response; then the caller is to close.
  void respond(std::string_view response);
  void end() { respond({}); }
  bool ended() const { return ended_; }
  // Whether its request is open, or has come and was not read yet.
  bool owes_answer() const { return id_ != 0 || stream_.unread(); }
  // When it may be closed for the sake of others, the earliest first: those answered, then those that have
  // not sent a byte, the oldest of each. None: its request is open or arriving.
  std::optional<time_point> dispensable() const;

 private:
  friend class server;
  friend class net::connections<connection>;  // reads what has come on it

  server& server_;
  net::stream stream_;
  request_id id_ = 0;      // while its answer is owed
  bool arriving_ = false;  // brought bytes that are not read yet
  bool ended_ = false;
  time_point since_ = net::steady_now();  // of the connection, or of its response
};

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (ended_ || id_ != 0) return bytes.size();  // read on, to see its end
  try {
    const std::optional<packet> whole = next_packet(bytes, server_.config_.bounds);
    if (!whole) return 0;
    const std::size_t size = whole->whole.size();
    id_ = server_.begin_request(*whole);
    server_.open_.emplace(id_, this);
    return size;
  } catch (const bad_packet& error) {
    ++server_.counters_.bad_frames;
    log("bad-packet", "uwsgi: %s", error.what());
    respond(encode_response(error.status));
    return bytes.size();
  }
}

void server::connection::respond(std::string_view response) {
  id_ = 0;
  ended_ = true;
  since_ = net::steady_now();
  stream_.send(response);
  stream_.finish();
}

std::optional<time_point> server::connection::dispensable() const {
  if (id_ != 0 || (!ended_ && (arriving_ || stream_.half_read()))) return std::nullopt;
  return ended_ ? time_point::min() + since_ : since_;
}

server::server(net::reactor& reactor, const config& settings, dispatcher& requests, backend& runs,
               telemetry::counters& counters)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(requests),
      backend_(runs),
      counters_(counters),
      connections_(reactor),
      names_(settings.settings),
      listener_(reactor, settings.bounds, settings.uwsgi->listen.host, settings.uwsgi->listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }),
      sweeps_(settings.bounds.sweep_every) {
  requests.add(*this);
}

server::~server() = default;

void server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.bounds.uwsgi_connections) {
    connection* const unused = connections_.spare();
    if (unused == nullptr) {
      ++counters_.turned_away;
      log("full", "uwsgi connection closed at once, %zu stand", connections_.size());
      net::reject_connection(
          socket, encode_response(service_unavailable, retry_after_header(std::chrono::seconds(1))));
      return;
    }
    ++counters_.made_room;
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.connections;
  connections_.add(std::make_shared<connection>(*this, socket));
}

request_id server::begin_request(const packet& whole) {
  const keyed_config* keyed = config_.keyed ? &*config_.keyed : nullptr;
  return dispatcher_.on_arrival(*this, backend_, to_request(whole, *config_.uwsgi, names_, keyed));
}

void server::respond(request_id id, const answer& final) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  connection& to = *found->second;
  open_.erase(found);
  switch (final.status) {
    case response_status::served: to.respond(final.result); break;
    case response_status::rejected: to.respond(rejection(final)); break;
    case response_status::failed: to.respond(failure(final)); break;
  }
}

void server::drop(connection& closed) {
  if (closed.id_ != 0) {
    open_.erase(closed.id_);
    dispatcher_.on_client_cancelled(std::exchange(closed.id_, 0));
  }
  connections_.drop(closed);
}

time_point server::step(time_point now) {
  if (!sweeps_.due(now)) return sweeps_.next();
  listener_.resume();
  if (sweeps_.begin(now)) connections_.each([&](connection& candidate) { check(candidate, now); });
  return sweeps_.next();
}

// One connection's part of a sweep.
void server::check(connection& candidate, time_point now) {
  const duration longest = candidate.ended() ? config_.bounds.linger : config_.bounds.half_frame;
  if (candidate.id_ != 0 || now - candidate.since_ <= longest) return;
  if (!candidate.ended()) {
    if (candidate.stream_.unread()) return;  // its bytes are here, and are read in this round
    ++counters_.bad_frames;
    log("bad-packet", "uwsgi: a packet that never became whole");
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
