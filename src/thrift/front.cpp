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

// A connection's messages are told apart as none, one, and more.
constexpr unsigned most_messages_counted = 2;

// What an answer that is no result says besides, by the names on the wire.
field_map fields_of(const answer& final) {
  field_map fields;
  if (final.retry_after.count() > 0) {
    const auto retry_after = std::chrono::ceil<std::chrono::milliseconds>(final.retry_after);
    fields.emplace("later", std::to_string(retry_after.count()));
  }
  if (final.no_retry_elsewhere) fields.emplace("giveup", "1");
  if (final.key_conflict) fields.emplace("key", "conflict");
  if (final.outcome_unknown) fields.emplace("outcome", "unknown");
  return fields;
}

}  // namespace

class server::connection : public net::stream::owner {
 public:
  connection(server& front, const Poco::Net::StreamSocket& socket)
      : server_(front), stream_(front.reactor_, front.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char*) override { server_.drop(*this); }

  void send(const std::string& frame);
  // Asks its caller, once, to close it.
  void ask_to_close();
  // Its caller broke the protocol: open requests are still answered, nothing more is read.
  void stop_reading(const char* reason);
  // Counts a bad message; stops reading after the `strikes` that a connection may have.
  void add_strike();
  // Ends it, once no request is open on it, so that the caller sees all that it was sent.
  void end();
  bool ended() const { return ended_; }
  // Whether a request is open on it, or has come and was not read yet.
  bool owes_answer() const { return !open_.empty() || (!reading_stopped_ && stream_.unread()); }
  bool half_read() const { return half_read_since_.count() > 0; }
  // When it may be closed for the sake of others, the earliest first; none: a request is open or arriving.
  std::optional<time_point> dispensable() const;

 private:
  friend class server;
  friend class net::connections<connection>;  // reads what has come on it

  server& server_;
  net::stream stream_;
  std::unordered_map<std::int32_t, request_id> open_;  // by sequence number
  time_point last_used_ = net::steady_now();
  time_point half_read_since_{};  // 0: no frame is half-read
  unsigned strikes_ = 0;
  unsigned messages_ = 0;  // whole ones that it brought, counted up to most_messages_counted
  time_point asked_to_close_at_{};
  bool arriving_ = false;  // brought bytes that are not read yet
  bool asked_to_close_ = false;
  bool reading_stopped_ = false;
  bool ended_ = false;

 private:
  void handle(const message& whole);
  void handle(const execute& request, std::int32_t seqid);
  void handle(const interrupt& cancellation);
  void handle(const undecodable& unknown, std::int32_t seqid);
  void reject(std::int32_t seqid, app_error why, const std::string& text);
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
  if (reading_stopped_) return bytes.size();  // read on, to see its end
  try {
    const std::optional<frame> whole = next_frame(bytes, server_.config_.bounds);
    if (!whole) {
      // Further bytes do not renew it: guards against a frame that comes byte by byte for ever.
      if (!half_read()) half_read_since_ = net::steady_now();
      return 0;
    }
    last_used_ = net::steady_now();
    half_read_since_ = {};
    messages_ = std::min(messages_ + 1, most_messages_counted);
    handle(decode(whole->payload, server_.config_.bounds));
    return whole->size;
  } catch (const bad_frame& error) {
    stop_reading(error.what());
    return bytes.size();
  }
}

void server::connection::stop_reading(const char* reason) {
  ++server_.counters_.bad_frames;
  log("bad-frame", "connection given up, %zu open: %s", open_.size(), reason);
  reading_stopped_ = true;
  half_read_since_ = {};
  ask_to_close();
  if (open_.empty()) end();
}

void server::connection::add_strike() {
  ++strikes_;
  if (strikes_ >= server_.config_.bounds.strikes && !reading_stopped_) stop_reading("too many bad messages");
}

void server::connection::end() {
  if (std::exchange(ended_, true)) return;
  ask_to_close();
  last_used_ = net::steady_now();
  stream_.finish();
}

// First those asked to close, then those that never brought a message, those that brought one, and last those
// that came back. The offsets part the four groups; within one the least recently used comes first.
std::optional<time_point> server::connection::dispensable() const {
  if (!open_.empty() || half_read() || (arriving_ && !reading_stopped_)) return std::nullopt;
  if (asked_to_close_) return time_point::min() + asked_to_close_at_;
  if (messages_ == 0) return time_point::min() / 2 + last_used_;
  if (messages_ == 1) return time_point::min() / 4 + last_used_;
  return last_used_;
}

void server::connection::reject(std::int32_t seqid, app_error why, const std::string& text) {
  ++server_.counters_.bad_frames;
  log("bad-request", "message %d rejected: %s", seqid, text.c_str());
  send(encode_exception(seqid, "execute", why, text));
  add_strike();
}

void server::connection::handle(const message& whole) {
  if (const auto* request = std::get_if<execute>(&whole.content)) {
    handle(*request, whole.seqid);
  } else if (const auto* cancellation = std::get_if<interrupt>(&whole.content)) {
    handle(*cancellation);
  } else if (const auto* unknown = std::get_if<undecodable>(&whole.content)) {
    handle(*unknown, whole.seqid);
  } else {
    ++server_.counters_.checks;
    send(encode_health(whole.seqid, server_.healthy()));
  }
}

void server::connection::handle(const execute& request, std::int32_t seqid) {
  if (open_.contains(seqid)) {
    stop_reading("a sequence number that is open already");
  } else if (open_.size() >= server_.config_.bounds.open_each_connection) {
    reject(seqid, app_error::internal, "too many open requests");
  } else {
    server_.begin_request(*this, request, seqid);
  }
}

void server::connection::handle(const interrupt& cancellation) {
  const auto found = open_.find(cancellation.seqid);
  if (found == open_.end()) return;  // answered already
  const request_id id = found->second;
  open_.erase(found);
  server_.open_.erase(id);
  server_.dispatcher_.on_client_cancelled(id);
}

void server::connection::handle(const undecodable& unknown, std::int32_t seqid) {
  if (unknown.answerable) {
    reject(seqid, unknown.why, unknown.text);
    return;
  }
  ++server_.counters_.bad_frames;
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
      names_(settings.settings),
      keys_(key_rules_of(settings)),
      listener_(reactor, settings.bounds, settings.listen.host, settings.listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }),
      sweeps_(settings.bounds.sweep_every) {
  requests.add(*this);
}

server::~server() = default;

bool server::healthy() const {
  return healthy_ ? healthy_() : dispatcher_.healthy();
}

// The bound guards the descriptors: without it the process could not reach its runtime. Closing an unused
// connection for a new one guards balancers against hundreds that are opened and not used.
void server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.bounds.connections) {
    connection* const unused = connections_.spare();
    if (unused == nullptr) {
      ++counters_.turned_away;
      log("full", "connection closed at once, %zu stand", connections_.size());
      net::reject_connection(socket, encode_closing());
      return;
    }
    ++counters_.made_room;
    log("full", "a connection not in use was closed for a new one, %zu stand", connections_.size());
    unused->ask_to_close();
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.connections;
  connection& added = connections_.add(std::make_shared<connection>(*this, socket));
  if (draining_) added.ask_to_close();
}

void server::begin_request(connection& from, const execute& what, std::int32_t seqid) {
  request decoded;
  try {
    decoded = to_request(what, names_, net::unix_ms(), keys_);
  } catch (const bad_field& error) {
    ++counters_.bad_requests;
    log("bad-request", "field %s is missing or wrong", error.what());
    from.send(encode_internal(seqid, {}));
    from.add_strike();
    return;
  }
  const request_id id = dispatcher_.on_arrival(*this, backend_, std::move(decoded));
  from.open_.emplace(seqid, id);
  open_.emplace(id, open_request{&from, seqid});
}

void server::respond(request_id id, const answer& final) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const open_request to = found->second;
  open_.erase(found);
  to.from->open_.erase(to.seqid);
  const field_map fields = fields_of(final);
  switch (final.status) {
    case response_status::served: to.from->send(encode_served(to.seqid, final.result)); break;
    case response_status::rejected: to.from->send(encode_overloaded(to.seqid, fields)); break;
    case response_status::failed: to.from->send(encode_internal(to.seqid, fields)); break;
  }
  if (final.unknown_request) to.from->add_strike();
}

void server::drop(connection& closed) {
  for (const auto& [seqid, id] : closed.open_) {
    open_.erase(id);
    dispatcher_.on_client_cancelled(id);
  }
  closed.open_.clear();
  connections_.drop(closed);
}

time_point server::step(time_point now) {
  if (!sweeps_.due(now)) return sweeps_.next();
  listener_.resume();
  if (sweeps_.begin(now)) {
    connections_.each([&](connection& candidate) { check(candidate, now); });
    ask_unused_to_close();
  }
  return sweeps_.next();
}

// One connection's part of a sweep.
void server::check(connection& candidate, time_point now) {
  const limits& bounds = config_.bounds;
  const duration unused = now - candidate.last_used_;
  const bool ignored_request_to_close =
      candidate.asked_to_close_ && !draining_ && now - candidate.asked_to_close_at_ > bounds.linger;
  if (candidate.half_read() && now - candidate.half_read_since_ > bounds.half_frame) {
    candidate.stop_reading("a message that never became whole");
  } else if (candidate.ended()) {
    if (unused <= bounds.linger) return;
    candidate.stream_.close();
    drop(candidate);
  } else if (candidate.half_read() || candidate.owes_answer()) {
    return;
  } else if (candidate.reading_stopped_ || ignored_request_to_close) {
    candidate.end();
  } else if (candidate.messages_ == 0 && unused > bounds.silent) {
    ++counters_.silent;
    candidate.end();
  } else if (unused > bounds.idle || (idle_after_.count() > 0 && unused > idle_after_)) {
    candidate.ask_to_close();
  }
}

// Asks the most dispensable ones while there is room yet. Guards against closes in a full table, which cross
// requests that are on their way: a caller that was asked has stopped sending by the time its place is
// needed.
void server::ask_unused_to_close() {
  const auto most =
      static_cast<std::size_t>(config_.bounds.kept * static_cast<double>(config_.bounds.connections));
  if (connections_.size() <= most) return;
  struct candidate {
    time_point rank;
    connection* unused;
    auto operator<=>(const candidate&) const = default;
  };
  std::size_t asked = 0;
  std::vector<candidate> candidates;
  connections_.each([&](connection& open) {
    if (open.asked_to_close_) {
      ++asked;
    } else if (const auto rank = open.dispensable()) {
      candidates.push_back({*rank, &open});
    }
  });
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [rank, unused] : candidates) {
    if (connections_.size() <= most + asked) return;
    if (unused->stream_.unread()) continue;
    unused->ask_to_close();
    ++asked;
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
