#include "uwsgi/client.hpp"

#include <Poco/Exception.h>

#include <utility>

namespace marblewharf::uwsgi {

using telemetry::log;

struct client::attempt {
  attempt(request_id number, std::string bytes, bool safe, bool asks_only)
      : id(number), payload(std::move(bytes)), repeatable(safe), inquiry(asks_only) {}

  const request_id id;
  const std::string payload;
  const bool repeatable;
  const bool inquiry;
  const time_point begun = net::steady_now();
  std::shared_ptr<exchange> talk;
  std::size_t server = 0;
  unsigned tries = 0;
  bool repeated = false;
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
  const bool safe =
      config_.settings.classes[what.request_class].effect == admission_policy::request_effect::safe;
  begin(std::make_shared<attempt>(id, what.payload, safe, false));
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
  begin(std::make_shared<attempt>(id, encode_packet(vars, {}), true, true));
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
      a->talk = std::make_shared<exchange>(
          reactor_, config_.bounds, config_.uwsgi->servers[a->server], a->payload,
          [this, id = a->id](exchange_end how, const response_head* head, std::string_view response) {
            on_end(attempts_.at(id), how, head, response);
          });
      return;
    } catch (const Poco::Exception& e) {
      log("uwsgi-server", "no connection: %s", e.displayText().c_str());
    }
  }
  finish(*a, run_end::never_started, {}, 0);
}

void client::on_end(const std::shared_ptr<attempt>& of, exchange_end how, const response_head* head,
                    std::string_view response) {
  // Keeps it alive while it is moved on: `of` may refer to the entry that goes.
  const auto a = of;  // NOLINT(performance-unnecessary-copy-initialization): the copy is the point
  switch (how) {
    case exchange_end::whole:
      // What a server says of its own failure is one.
      finish(*a, head->status < 500 ? run_end::succeeded : run_end::failed, response, head->status);
      return;
    case exchange_end::unreadable: finish(*a, run_end::lost, {}, 0); return;
    case exchange_end::unconnected: break;
    case exchange_end::cut_off:
      log("uwsgi-server", "an attempt ended without a whole response");
      // Guards against a second effect: a byte may have arrived, so only what is safe to repeat is.
      if (!a->repeatable || a->repeated || a->tries >= load_.size()) {
        finish(*a, run_end::lost, {}, 0);
        return;
      }
      a->repeated = true;
      break;
  }
  reactor_.retire(std::move(a->talk));
  try_next(a);
}

void client::finish(attempt& a, run_end how, std::string_view response, unsigned status) {
  const auto self = attempts_.at(a.id);
  const duration took = net::steady_now() - a.begun;
  if (a.talk) {
    a.talk->close();
    reactor_.retire(a.talk);
  }
  --load_[a.server];
  attempts_.erase(a.id);
  reactor_.retire(self);
  reactor_.wake();
  if (!a.inquiry) {
    dispatcher_.on_end(a.id, how, how == run_end::succeeded ? response : std::string_view(), took);
    return;
  }
  const bool fine = how == run_end::succeeded;
  const inquiry_end found = fine && status == 404                    ? inquiry_end::never_ran
                            : fine && status >= 200 && status <= 299 ? inquiry_end::result
                                                                     : inquiry_end::unknown;
  dispatcher_.on_inquired(a.id, found, response);
}

void client::pause(request_id id) {
  const auto at = attempts_.find(id);
  if (at != attempts_.end()) finish(*at->second, run_end::aborted, {}, 0);
}

}  // namespace marblewharf::uwsgi
