#include "uwsgi/client.hpp"

#include <Poco/Exception.h>

#include <utility>

namespace marblewharf::uwsgi {

using telemetry::log;

class client::attempt : public net::stream::owner {
 public:
  attempt(client& c, request_id number, std::string bytes, bool safe, bool asks_only)
      : client_(c), id(number), payload(std::move(bytes)), repeatable(safe), inquiry(asks_only) {}

  void connect(const endpoint& to) {
    opened = false;
    response.clear();
    head.reset();
    stream = std::make_unique<net::stream>(client_.reactor_, client_.config_.bounds, *this,
                                           Poco::Net::SocketAddress(to.host, to.port));
  }
  void on_open() override {
    opened = true;
    stream->send(payload);
  }
  std::size_t on_bytes(std::string_view bytes) override {
    response += bytes;
    try {
      if (!head) head = read_head(response, client_.config_.bounds);
      if (head && response.size() > head->size + client_.config_.bounds.result)
        throw bad_response("a body of more than " + std::to_string(client_.config_.bounds.result) + " bytes");
      if (head && head->content && response.size() >= head->size + *head->content) {
        response.resize(head->size + *head->content);
        client_.finish(*this, end());
      }
    } catch (const bad_response& e) {
      log("bad-response", "uwsgi server: %s", e.what());
      client_.finish(*this, run_end::lost);
    }
    return bytes.size();
  }
  void on_lost(const char*) override { client_.on_lost(*this); }

  // Of a whole response: what a server says of its own failure is one.
  run_end end() const { return head->status < 500 ? run_end::fine : run_end::fault; }

 private:
  client& client_;

 public:
  const request_id id;
  const std::string payload;
  const bool repeatable;
  const bool inquiry;
  const time_point begun = net::steady_now();
  std::unique_ptr<net::stream> stream;
  std::size_t server = 0;
  unsigned tries = 0;
  bool opened = false;
  bool repeated = false;
  std::string response;
  std::optional<response_head> head;
};

client::client(net::reactor& r, const config& settings, dispatcher& d)
    : reactor_(r), config_(settings), dispatcher_(d), load_(settings.uwsgi->servers.size()) {}

client::~client() = default;

std::size_t client::least_loaded() const {
  std::size_t best = (last_ + 1) % load_.size();
  for (std::size_t i = 0; i < load_.size(); ++i) {
    const std::size_t next = (last_ + 1 + i) % load_.size();
    if (load_[next] < load_[best]) best = next;
  }
  return best;
}

void client::run(request_id id, const request& what) {
  const bool safe = config_.settings.classes[what.request_class].repeats == wrenrill::effect::safe;
  begin(std::make_shared<attempt>(*this, id, what.payload, safe, false));
}

bool client::inquire(request_id id, const request& what) {
  if (!config_.keyed || config_.keyed->inquiry_var.empty()) return false;
  const std::optional<packet> p = next_packet(what.payload, config_.bounds);
  if (!p) return false;
  std::vector<std::pair<std::string, std::string>> vars;
  for (const auto& [name, value] : p->vars) {
    if (name != "CONTENT_LENGTH" && name != config_.keyed->inquiry_var) vars.emplace_back(name, value);
  }
  vars.emplace_back(config_.keyed->inquiry_var, config_.keyed->inquiry_value);
  vars.emplace_back("CONTENT_LENGTH", "0");
  begin(std::make_shared<attempt>(*this, id, encode_packet(vars, {}), true, true));
  return true;
}

void client::begin(const std::shared_ptr<attempt>& a) {
  a->server = least_loaded();
  ++load_[a->server];
  attempts_.emplace(a->id, a);
  try_next(a);
}

// Each server is tried once at the most; from the first on, in turn.
void client::try_next(const std::shared_ptr<attempt>& a) {
  while (a->tries < load_.size()) {
    if (a->tries++ > 0) {
      --load_[a->server];
      a->server = (a->server + 1) % load_.size();
      ++load_[a->server];
    }
    last_ = a->server;
    try {
      a->connect(config_.uwsgi->servers[a->server]);
      return;
    } catch (const Poco::Exception& e) {
      log("uwsgi-server", "no connection: %s", e.displayText().c_str());
    }
  }
  finish(*a, run_end::never_started);
}

void client::on_lost(attempt& a) {
  const auto self = attempts_.at(a.id);  // keeps it alive while it is moved on
  if (a.opened && a.head && !a.head->content) {
    finish(a, a.end());  // its end is the end of the connection
    return;
  }
  if (a.opened) {
    log("uwsgi-server", "an attempt ended without a whole response");
    // Guards against a second effect: a byte may have arrived, so only what is safe to repeat is.
    if (!a.repeatable || a.repeated || a.tries >= load_.size()) {
      finish(a, run_end::lost);
      return;
    }
    a.repeated = true;
  }
  reactor_.retire(std::move(a.stream));
  try_next(self);
}

void client::finish(attempt& a, run_end how) {
  const auto self = attempts_.at(a.id);
  if (a.stream) {
    a.stream->close();
    reactor_.retire(std::move(a.stream));
  }
  --load_[a.server];
  attempts_.erase(a.id);
  reactor_.retire(self);
  reactor_.wake();
  if (a.inquiry) {
    const unsigned status = how == run_end::fine && a.head ? a.head->status : 0;
    const inquiry_end found = status == 404                    ? inquiry_end::never_ran
                              : status >= 200 && status <= 299 ? inquiry_end::result
                                                               : inquiry_end::unknown;
    dispatcher_.on_inquired(a.id, found, a.response);
    return;
  }
  dispatcher_.on_end(a.id, how, a.response, net::steady_now() - a.begun);
}

void client::pause(request_id id) {
  const auto at = attempts_.find(id);
  if (at != attempts_.end()) finish(*at->second, run_end::broken_off);
}

}  // namespace marblewharf::uwsgi
