#include "thrift/front.hpp"

#include <algorithm>
#include <optional>
#include <utility>

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
    stream_.send(encode_closing());
  }

  // Its sender broke the protocol: what is open is still answered, nothing more is read.
  void poison(const char* why);

  server& server_;
  net::stream stream_;
  std::unordered_map<std::int32_t, request_id> open_;  // by sequence number
  time_point last_used_ = net::steady_now();
  time_point half_since_{};  // 0 = nothing stands half-read
  bool asked_to_close_ = false;
  bool poisoned_ = false;

 private:
  void take(const message& m);
  void reject(std::int32_t seqid, app_error why, const std::string& text);
};

std::size_t server::connection::on_bytes(std::string_view bytes) {
  if (poisoned_) return bytes.size();  // read on, to see its end
  last_used_ = net::steady_now();
  half_since_ = {};
  try {
    const std::optional<frame> f = next_frame(bytes, server_.config_.bounds);
    if (!f) {
      half_since_ = last_used_;
      return 0;
    }
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
  if (open_.empty()) {
    stream_.close();
    server_.drop(*this);
  }
}

void server::connection::reject(std::int32_t seqid, app_error why, const std::string& text) {
  ++server_.counters_.bad_frames;
  log("bad-request", "message %d rejected: %s", seqid, text.c_str());
  send(encode_exception(seqid, "execute", why, text));
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
    server_.dispatcher_.on_gone(id);
  } else if (std::holds_alternative<check>(m.content)) {
    ++server_.counters_.checks;
    send(encode_health(m.seqid, server_.dispatcher_.healthy()));
  } else {
    const auto& u = std::get<undecodable>(m.content);
    if (u.answerable) {
      reject(m.seqid, u.why, u.text);
    } else {
      ++server_.counters_.bad_frames;
      log("bad-request", "oneway message ignored: %s", u.text.c_str());
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
      listener_(r, settings.bounds, settings.listen.host, settings.listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {
  d.add(*this);
}

server::~server() = default;

void server::accept(const Poco::Net::StreamSocket& socket) {
  // Guards the descriptors: one more than these and the program could not reach its runtime.
  if (connections_.size() >= config_.bounds.connections) {
    log("full", "connection closed at once, %zu stand", connections_.size());
    return;
  }
  ++counters_.connections;
  connection& added = connections_.add(std::make_shared<connection>(*this, socket));
  if (leaving_) added.let_go();
}

void server::read(connection& from, const execute& what, std::int32_t seqid) {
  request r;
  try {
    r = to_request(what, names_, net::unix_ms());
  } catch (const bad_field& e) {
    ++counters_.bad_requests;
    log("bad-request", "field %s is missing or wrong", e.what());
    from.send(encode_internal(seqid, {}));
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
  if (final.not_elsewhere) fields.emplace("giveup", "1");
  switch (final.how) {
    case verdict::served: to.from->send(encode_served(to.seqid, final.result)); break;
    case verdict::refused: to.from->send(encode_overloaded(to.seqid, fields)); break;
    case verdict::failed: to.from->send(encode_internal(to.seqid, fields)); break;
  }
}

void server::drop(connection& c) {
  for (const auto& [seqid, id] : c.open_) {
    open_.erase(id);
    dispatcher_.on_gone(id);
  }
  c.open_.clear();
  connections_.drop(c);
}

time_point server::step(time_point now) {
  if (now < next_sweep_) return next_sweep_;
  next_sweep_ = now + config_.bounds.longest_poll;
  connections_.each([&](connection& c) {
    const bool half = c.half_since_.count() > 0 && c.stream_.half_read();
    if (half && now - c.half_since_ > config_.bounds.half_frame) {
      c.poison("a message that never became whole");
    } else if (c.poisoned_ && c.open_.empty() && c.stream_.flushed()) {
      c.stream_.close();
      drop(c);
    } else if (idle_after_.count() > 0 && c.open_.empty() && now - c.last_used_ > idle_after_) {
      c.let_go();
    }
  });
  return next_sweep_;
}

void server::leave() {
  if (std::exchange(leaving_, true)) return;
  listener_.close();
  connections_.each([](connection& c) { c.let_go(); });
}

}  // namespace marblewharf::thrift
