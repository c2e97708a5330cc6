#include "uwsgi/front.hpp"

#include <algorithm>
#include <utility>

#include "net/graceful_close.hpp"
#include "uwsgi/request.hpp"

namespace marblewharf::uwsgi {

using telemetry::log;

class server::connection : public net::stream::owner {
 public:
  connection(server& s, const Poco::Net::StreamSocket& socket)
      : server_(s), stream_(s.reactor_, s.config_.bounds, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char*) override { server_.drop(*this); }

  // The one response: then the caller is to close.
  void finish(std::string_view response) {
    id_ = 0;
    done_ = true;
    since_ = net::steady_now();
    stream_.send(response);
    stream_.finish();
  }

  // Those answered first, then those that have not sent a byte, the oldest of each.
  std::optional<time_point> dispensable() const {
    if (id_ != 0 || (!done_ && (arriving_ || stream_.half_read()))) return std::nullopt;
    return done_ ? time_point::min() + since_ : since_;
  }

  server& server_;
  net::stream stream_;
  request_id id_ = 0;      // while its answer is owed
  bool arriving_ = false;  // brought bytes that are not read yet
  bool done_ = false;
  time_point since_ = net::steady_now();  // of the connection, or of its response
};

std::size_t server::connection::on_bytes(std::string_view bytes) {
  arriving_ = false;
  if (done_ || id_ != 0) return bytes.size();  // read on, to see its end
  try {
    const std::optional<packet> p = next_packet(bytes, server_.config_.bounds);
    if (!p) return 0;
    const std::size_t size = p->whole.size();
    id_ = server_.read(*p);
    server_.open_.emplace(id_, this);
    return size;
  } catch (const bad_packet& e) {
    ++server_.counters_.bad_frames;
    log("bad-packet", "uwsgi: %s", e.what());
    finish(encode_response(e.status));
    return bytes.size();
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
      listener_(r, settings.bounds, settings.uwsgi->listen.host, settings.uwsgi->listen.port,
                [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {
  d.add(*this);
}

server::~server() = default;

void server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.bounds.uwsgi_connections) {
    connection* const unused = connections_.spare();
    if (unused == nullptr) {
      ++counters_.turned_away;
      log("full", "uwsgi connection closed at once, %zu stand", connections_.size());
      net::reject_connection(socket, encode_response(503, "Retry-After: 1\r\n"));
      return;
    }
    ++counters_.made_room;
    unused->stream_.close();
    drop(*unused);
  }
  ++counters_.connections;
  connections_.add(std::make_shared<connection>(*this, socket));
}

request_id server::read(const packet& p) {
  return dispatcher_.on_arrival(
      *this, backend_, to_request(p, *config_.uwsgi, names_, config_.keyed ? &*config_.keyed : nullptr));
}

void server::respond(request_id id, const answer& final) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  connection& to = *found->second;
  open_.erase(found);
  switch (final.status) {
    case response_status::served: to.finish(final.result); break;
    case response_status::rejected: {
      // Whole seconds, as HTTP has it, and at least one: 0 would ask for a retry at once.
      const auto seconds =
          std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(final.retry_after).count());
      to.finish(encode_response(503, "Retry-After: " + std::to_string(seconds) + "\r\n"));
      break;
    }
    case response_status::failed:
      if (final.key_conflict) {
        to.finish(encode_response(422));
      } else if (final.outcome_unknown) {
        // It may have run and will not run again. Past its time it may yet end: its key tells then.
        to.finish(encode_response(final.deadline_exceeded ? 504 : 409, "Outcome: unknown\r\n"));
      } else {
        to.finish(encode_response(final.deadline_exceeded ? 504 : 502));
      }
      break;
  }
}

void server::drop(connection& c) {
  if (c.id_ != 0) {
    open_.erase(c.id_);
    dispatcher_.on_client_cancelled(std::exchange(c.id_, 0));
  }
  connections_.drop(c);
}

time_point server::step(time_point now) {
  if (now < next_sweep_) return next_sweep_;
  listener_.resume();
  // A sweep that comes late was held up with all else: what came meanwhile is read before anybody is judged.
  const bool stalled = next_sweep_.count() > 0 && now > next_sweep_ + config_.bounds.sweep_every;
  next_sweep_ = now + config_.bounds.sweep_every;
  if (stalled) return next_sweep_;
  connections_.each([&](connection& c) {
    const duration patience = c.done_ ? config_.bounds.linger : config_.bounds.half_frame;
    if (c.id_ != 0 || now - c.since_ <= patience) return;
    if (!c.done_ && c.stream_.unread()) return;  // its bytes are here, and are read in this round
    if (!c.done_) {
      ++counters_.bad_frames;
      log("bad-packet", "uwsgi: a packet that never became whole");
    }
    c.stream_.close();
    drop(c);
  });
  return next_sweep_;
}

bool server::end_connections() {
  bool all_ended = true;
  connections_.each([&](connection& c) {
    if (c.done_) return;
    const bool owes = c.id_ != 0 || c.stream_.unread();
    if (owes) {
      all_ended = false;
    } else {
      c.finish({});
    }
  });
  return all_ended;
}

void server::leave() {
  listener_.close();
}

}  // namespace marblewharf::uwsgi
