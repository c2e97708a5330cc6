#include "thrift/front.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "net/graceful_close.hpp"
#include "thrift/request.hpp"

namespace marblewharf::thrift {

using telemetry::log;

class server::connection : public net::stream::owner {
 public:
  connection(server& s, const Poco::Net::StreamSocket& socket)
      : server_(s), stream_(s.reactor_, s.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char*) override { server_.drop(*this); }

  void send(const std::string& frame) {
    last_used_ = net::steady_now();
    stream_.send(frame);
  }
  void let_go() {
    if (asked_to_close_) return;
    asked_to_close_ = true;
    told_at_ = net::steady_now();
    stream_.send(encode_closing());
  }

  // Its sender broke the protocol: what is open is still answered, nothing more is read.
  void poison(const char* why);
  // Its sender sent a message that only it is to blame for; not for ever.
  void strike();
  // Ends it, once nothing is open on it, so that the other side sees all that it was sent.
  void finish();
  // When it may be closed for the sake of others, the earliest first; none: something is open or arriving.
  std::optional<time_point> dispensable() const;

  server& server_;
  net::stream stream_;
  std::unordered_map<std::int32_t, request_id> open_;  // by sequence number
  time_point last_used_ = net::steady_now();
  time_point half_since_{};  // 0 = nothing stands half-read
  unsigned strikes_ = 0;
  unsigned messages_ = 0;  // whole ones that it brought; counts no further than matters
  time_point told_at_{};   // asked to close
  bool arriving_ = false;  // brought bytes that are not read yet
  bool asked_to_close_ = false;
  bool poisoned_ = false;
  bool finished_ = false;

 private:
  void take(const message& m);
  void reject(std::int32_t seqid, app_error why, const std::string& text);
};

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (poisoned_) return bytes.size();  // read on, to see its end
  try {
    const std::optional<frame> f = next_frame(bytes, server_.config_.bounds);
    if (!f) {
      // Not moved on by further bytes: guards against a frame that comes byte by byte for ever.
      if (half_since_.count() == 0) half_since_ = net::steady_now();
      return 0;
    }
    last_used_ = net::steady_now();
    half_since_ = {};
    messages_ = std::min(messages_ + 1, 2u);
    take(decode(f->payload, server_.config_.bounds));
    return f->size;
  } catch (const bad_frame& e) {
    poison(e.what());
    return bytes.size();
  }
}

void server::connection::poison(const char* why) {
  ++server_.counters_.bad_frames;
  log("bad-frame", "connection given up, %zu open: %s", open_.size(), why);
  poisoned_ = true;
  half_since_ = {};
  let_go();
  if (open_.empty()) finish();
}

void server::connection::strike() {
  if (++strikes_ >= server_.config_.bounds.strikes && !poisoned_) poison("too many bad messages");
}

void server::connection::finish() {
  if (std::exchange(finished_, true)) return;
  let_go();
  last_used_ = net::steady_now();
  stream_.finish();
}

std::optional<time_point> server::connection::dispensable() const {
  if (!open_.empty() || half_since_.count() > 0 || (arriving_ && !poisoned_)) return std::nullopt;
  // Who was told to go comes first, then who never said anything, who asked once, and last who came back.
  if (asked_to_close_) return time_point::min() + told_at_;
  if (messages_ == 0) return time_point::min() / 2 + last_used_;
  return messages_ == 1 ? time_point::min() / 4 + last_used_ : last_used_;
}

void server::connection::reject(std::int32_t seqid, app_error why, const std::string& text) {
  ++server_.counters_.bad_frames;
  log("bad-request", "message %d rejected: %s", seqid, text.c_str());
  send(encode_exception(seqid, "execute", why, text));
  strike();
}

void server::connection::take(const message& m) {
  if (const auto* e = std::get_if<execute>(&m.content)) {
    if (open_.contains(m.seqid)) {
      poison("a sequence number that is open already");
    } else if (open_.size() >= server_.config_.bounds.open_each_connection) {
      reject(m.seqid, app_error::internal, "too many open requests");
    } else {
      server_.read(*this, *e, m.seqid);
    }
  } else if (const auto* i = std::get_if<interrupt>(&m.content)) {
    const auto found = open_.find(i->seqid);
    if (found == open_.end()) return;  // answered already
    const request_id id = found->second;
    open_.erase(found);
    server_.open_.erase(id);
    server_.dispatcher_.on_client_cancelled(id);
  } else if (std::holds_alternative<check>(m.content)) {
    ++server_.counters_.checks;
    send(encode_health(m.seqid, server_.healthy_ ? server_.healthy_() : server_.dispatcher_.healthy()));
  } else {
    const auto& u = std::get<undecodable>(m.content);
    if (u.answerable) {
      reject(m.seqid, u.why, u.text);
    } else {
      ++server_.counters_.bad_frames;
      log("bad-request", "oneway message ignored: %s", u.text.c_str());
      strike();
    }
  }
}

server::server(net::reactor& r, const config& settings, dispatcher& d, backend& b,
               telemetry::counters& counters)
    : reactor_(r),
      config_(settings),
      dispatcher_(d),
      backend_(b),
      counters_(counters),
      connections_(r),
      names_(settings.settings),
      keys_(key_rules_of(settings)),
      listener_(r, settings.bounds, settings.listen.host, settings.listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {
  d.add(*this);
}

server::~server() = default;

void server::accept(const Poco::Net::StreamSocket& socket) {
  // Guards the descriptors: one more than these and the program could not reach its runtime.
  if (connections_.size() >= config_.bounds.connections) {
    // Guards balancers against hundreds that open connections and do not use them.
    connection* const unused = connections_.spare();
    if (unused == nullptr) {
      ++counters_.turned_away;
      log("full", "connection closed at once, %zu stand", connections_.size());
      net::reject_connection(socket, encode_closing());
      return;
    }
    ++counters_.made_room;
    log("full", "a connection not in use was closed for a new one, %zu stand", connections_.size());
    unused->let_go();
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.connections;
  connection& added = connections_.add(std::make_shared<connection>(*this, socket));
  if (leaving_) added.let_go();
}

void server::read(connection& from, const execute& what, std::int32_t seqid) {
  request r;
  try {
    r = to_request(what, names_, net::unix_ms(), keys_);
  } catch (const bad_field& e) {
    ++counters_.bad_requests;
    log("bad-request", "field %s is missing or wrong", e.what());
    from.send(encode_internal(seqid, {}));
    from.strike();
    return;
  }
  const request_id id = dispatcher_.on_arrival(*this, backend_, std::move(r));
  from.open_.emplace(seqid, id);
  open_.emplace(id, open_request{&from, seqid});
}

void server::respond(request_id id, const answer& final) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const open_request to = found->second;
  open_.erase(found);
  to.from->open_.erase(to.seqid);
  field_map fields;
  if (final.retry_after.count() > 0)
    fields.emplace("later",
                   std::to_string(std::chrono::ceil<std::chrono::milliseconds>(final.retry_after).count()));
  if (final.no_retry_elsewhere) fields.emplace("giveup", "1");
  if (final.key_conflict) fields.emplace("key", "conflict");
  if (final.outcome_unknown) fields.emplace("outcome", "unknown");
  switch (final.status) {
    case response_status::served: to.from->send(encode_served(to.seqid, final.result)); break;
    case response_status::rejected: to.from->send(encode_overloaded(to.seqid, fields)); break;
    case response_status::failed: to.from->send(encode_internal(to.seqid, fields)); break;
  }
  if (final.unknown_request) to.from->strike();
}

void server::drop(connection& c) {
  for (const auto& [seqid, id] : c.open_) {
    open_.erase(id);
    dispatcher_.on_client_cancelled(id);
  }
  c.open_.clear();
  connections_.drop(c);
}

time_point server::step(time_point now) {
  if (now < next_sweep_) return next_sweep_;
  listener_.resume();
  // A sweep that comes late was held up with all else: what came meanwhile is read before anybody is judged.
  const bool stalled = next_sweep_.count() > 0 && now > next_sweep_ + config_.bounds.sweep_every;
  next_sweep_ = now + config_.bounds.sweep_every;
  if (stalled) return next_sweep_;
  const limits& bounds = config_.bounds;
  connections_.each([&](connection& c) {
    const duration unused = now - c.last_used_;
    if (c.half_since_.count() > 0 && now - c.half_since_ > bounds.half_frame) {
      c.poison("a message that never became whole");
    } else if (c.finished_) {
      if (unused <= bounds.linger) return;
      c.stream_.close();
      drop(c);
    } else if (!c.open_.empty() || c.half_since_.count() > 0) {
      return;
    } else if (!c.poisoned_ && c.stream_.unread()) {
      return;  // its request is here, and is read in this round
    } else if (c.poisoned_ || (c.asked_to_close_ && !leaving_ && now - c.told_at_ > bounds.linger)) {
      c.finish();
    } else if (c.messages_ == 0 && unused > bounds.silent) {
      ++counters_.silent;
      c.finish();
    } else if (unused > bounds.idle || (idle_after_.count() > 0 && unused > idle_after_)) {
      c.let_go();
    }
  });
  thin_out();
  return next_sweep_;
}

// Asks the least wanted to go while there is room yet. Guards against closes in a full table, which cross
// requests that are on their way: who was told has stopped sending by the time its place is needed.
void server::thin_out() {
  const auto most =
      static_cast<std::size_t>(config_.bounds.kept * static_cast<double>(config_.bounds.connections));
  if (connections_.size() <= most) return;
  std::size_t told = 0;
  std::vector<std::pair<time_point, connection*>> unused;
  connections_.each([&](connection& c) {
    if (c.asked_to_close_) {
      ++told;
    } else if (const auto rank = c.dispensable()) {
      unused.emplace_back(*rank, &c);
    }
  });
  std::sort(unused.begin(), unused.end());
  for (const auto& [rank, c] : unused) {
    if (connections_.size() <= most + told) return;
    if (c->stream_.unread()) continue;
    c->let_go();
    ++told;
  }
}

bool server::end_connections() {
  bool all_ended = true;
  connections_.each([&](connection& c) {
    if (c.finished_) return;
    const bool owes = !c.open_.empty() || (!c.poisoned_ && c.stream_.unread());
    if (owes) {
      all_ended = false;
    } else {
      c.finish();
    }
  });
  return all_ended;
}

void server::leave() {
  if (std::exchange(leaving_, true)) return;
  listener_.close();
  connections_.each([](connection& c) { c.let_go(); });
}

}  // namespace marblewharf::thrift
