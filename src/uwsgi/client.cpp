#include "uwsgi/client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

namespace marblewharf::uwsgi {

using outcome::effect_state;
using outcome::event;
using telemetry::log;

namespace {

// Response statuses of HTTP.
constexpr unsigned first_success_status = 200;
constexpr unsigned last_success_status = 299;
constexpr unsigned not_found_status = 404;
constexpr unsigned first_server_error_status = 500;

}  // namespace

struct client::attempt {
  attempt(request_id number, std::string bytes, bool safe)
      : id(number), payload(std::move(bytes)), repeatable(safe) {}
  // An inquiry about a request whose effect is unknown.
  attempt(request_id number, std::string bytes, const outcome::effect& inquired_effect)
      : id(number), payload(std::move(bytes)), repeatable(true), inquiry(true), effect(inquired_effect) {}

  const request_id id;
  const std::string payload;
  const bool repeatable;       // may be sent again although it may have arrived
  const bool inquiry = false;  // asks for the outcome of a request, does not run it
  const time_point started_at = net::steady_now();
  std::shared_ptr<exchange> current_exchange;
  std::size_t server = 0;
  bool server_is_named = false;  // only this server may be tried
  unsigned servers_tried = 0;
  bool sent_again = false;  // after it may have arrived at a server
  outcome::effect effect;   // of the request that is run or inquired about
};

client::client(net::reactor& reactor, const config& settings, dispatcher& requests,
               telemetry::counters& counters)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(requests),
      counters_(counters),
      load_(settings.uwsgi->servers.size()) {
  for (const endpoint& server : settings.uwsgi->servers) server_names_.push_back(name_of(server));
}

client::~client() = default;

std::optional<std::size_t> client::least_loaded(const std::vector<std::string>& excluded) const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < load_.size(); ++i) {
    const std::size_t next = (last_server_ + 1 + i) % load_.size();
    if (std::find(excluded.begin(), excluded.end(), server_names_[next]) != excluded.end()) continue;
    if (!best || load_[next] < load_[*best]) best = next;
  }
  return best;
}

std::optional<std::size_t> client::server_named(std::string_view name) const {
  const auto found = std::find(server_names_.begin(), server_names_.end(), name);
  if (found == server_names_.end()) return std::nullopt;
  return static_cast<std::size_t>(found - server_names_.begin());
}

std::optional<std::string> client::choose_server(const request&,
                                                 const std::vector<std::string>& unreachable) {
  const std::optional<std::size_t> chosen = least_loaded(unreachable);
  if (!chosen) return std::nullopt;
  last_server_ = *chosen;
  return server_names_[*chosen];
}

void client::run(request_id id, const request& details) {
  const bool safe =
      config_.policy_settings.classes[details.request_class].effect == admission_policy::request_effect::safe;
  begin(std::make_shared<attempt>(id, details.payload, safe), server_named(details.server));
}

bool client::inquire(request_id id, const request& details) {
  if (!config_.keyed || config_.keyed->inquiry_var.empty()) return false;
  const std::optional<packet> original = next_packet(details.payload, config_.bounds);
  if (!original) return false;
  const std::optional<std::size_t> server = server_named(details.server);
  if (!details.server.empty() && !server) {
    ++counters_.inquiries_without_server;
    log("uwsgi-server", "cannot inquire about a request: its server %s is not in the settings",
        details.server.c_str());
    return false;
  }
  std::vector<std::pair<std::string, std::string>> vars;
  for (const auto& [name, value] : original->vars) {
    if (name != "CONTENT_LENGTH" && name != config_.keyed->inquiry_var) vars.emplace_back(name, value);
  }
  vars.emplace_back(config_.keyed->inquiry_var, config_.keyed->inquiry_value);
  vars.emplace_back("CONTENT_LENGTH", "0");
  const auto inquired_effect = outcome::effect::recovered(details.server);
  begin(std::make_shared<attempt>(id, encode_packet(vars, {}), inquired_effect), server);
  return true;
}

void client::begin(const std::shared_ptr<attempt>& new_attempt, std::optional<std::size_t> server) {
  new_attempt->server_is_named = server.has_value();
  new_attempt->server = server.value_or(least_loaded({}).value_or(0));
  ++load_[new_attempt->server];
  attempts_.emplace(new_attempt->id, new_attempt);
  try_next_server(new_attempt);
}

// Tries each server at most once, in turn, starting with the least loaded one, or only the named server.
void client::try_next_server(const std::shared_ptr<attempt>& current) {
  const std::size_t max_servers = current->server_is_named ? 1 : load_.size();
  while (current->servers_tried < max_servers) {
    if (current->servers_tried++ > 0) {
      --load_[current->server];
      current->server = (current->server + 1) % load_.size();
      ++load_[current->server];
    }
    last_server_ = current->server;
    if (!current->inquiry) observe(*current, event::start_sent);
    try {
      current->current_exchange = std::make_shared<exchange>(
          reactor_, config_.bounds, config_.uwsgi->servers[current->server], current->payload,
          [this, id = current->id](exchange_end end, const response_head* head, std::string_view response) {
            on_end(attempts_.at(id), end, head, response);
          });
      return;
    } catch (const Poco::Exception& error) {
      log("uwsgi-server", "cannot connect to a server: %s", error.displayText().c_str());
      observe(*current, event::server_unreachable);
    }
  }
  finish_unanswered(*current);
}

// Records what an event of the attempt's current server proves about the effect.
void client::observe(attempt& current, outcome::event what) const {
  current.effect.apply({what, {{server_names_[current.server], 0}, 0}});
}

// Called when no server is left to try.
void client::finish_unanswered(attempt& finished) {
  if (finished.inquiry) {
    if (finished.server_is_named) ++counters_.inquiries_without_server;
    finish_inquiry(finished, {});
    return;
  }
  if (finished.server_is_named && !finished.effect.may_have_started()) {
    const request_id id = finished.id;
    remove(finished);
    dispatcher_.on_server_unreachable(id);
    return;
  }
  finish(finished, {});
}

void client::on_end(const std::shared_ptr<attempt>& ended, exchange_end end, const response_head* head,
                    std::string_view response) {
  // The copy keeps the attempt alive: `ended` may refer to the entry of attempts_ that is erased below.
  const auto current = ended;  // NOLINT(performance-unnecessary-copy-initialization): the copy is needed
  if (end == exchange_end::incomplete) log("uwsgi-server", "attempt ended without a complete response");
  if (current->inquiry) {
    on_inquiry_end(current, end, head, response);
  } else {
    on_run_end(current, end, head, response);
  }
}

void client::on_run_end(const std::shared_ptr<attempt>& current, exchange_end end, const response_head* head,
                        std::string_view response) {
  bool try_another_server = false;
  switch (end) {
    case exchange_end::complete:
      // A 5xx status is the server's report of its own failure.
      observe(*current, head->status < first_server_error_status ? event::run_succeeded : event::run_failed);
      break;
    case exchange_end::malformed: observe(*current, event::response_unusable); break;
    case exchange_end::not_connected:
      observe(*current, event::server_unreachable);
      try_another_server = true;
      break;
    case exchange_end::incomplete:
      observe(*current, event::connection_lost);
      try_another_server = current->repeatable && !std::exchange(current->sent_again, true);
      break;
  }
  if (try_another_server) {
    continue_at_next_server(current);
  } else {
    finish(*current, response);
  }
}

void client::on_inquiry_end(const std::shared_ptr<attempt>& current, exchange_end end,
                            const response_head* head, std::string_view response) {
  if (end != exchange_end::complete) {
    continue_at_next_server(current);
    return;
  }
  const unsigned status = head->status;
  if (status >= first_success_status && status <= last_success_status)
    observe(*current, event::run_succeeded);
  if (status == not_found_status) observe(*current, event::not_run);
  const bool answered = current->effect.state() != effect_state::unknown;
  if (answered || current->server_is_named) {
    finish_inquiry(*current, response);
  } else {
    continue_at_next_server(current);
  }
}

void client::continue_at_next_server(const std::shared_ptr<attempt>& current) {
  current->current_exchange->close();
  reactor_.retire(std::move(current->current_exchange));
  try_next_server(current);
}

void client::remove(attempt& finished) {
  const auto kept_alive = attempts_.at(finished.id);
  if (finished.current_exchange) {
    finished.current_exchange->close();
    reactor_.retire(finished.current_exchange);
  }
  --load_[finished.server];
  attempts_.erase(finished.id);
  reactor_.retire(kept_alive);
  reactor_.wake();
}

void client::finish(attempt& finished, std::string_view response) {
  const duration elapsed = net::steady_now() - finished.started_at;
  const request_id id = finished.id;
  const run_end end = finished.effect.conclusion();
  remove(finished);
  dispatcher_.on_run_ended(id, end, end == run_end::succeeded ? response : std::string_view(), elapsed);
}

void client::finish_inquiry(attempt& finished, std::string_view response) {
  const request_id id = finished.id;
  const inquiry_outcome reply = finished.effect.inquiry_conclusion();
  remove(finished);
  dispatcher_.on_inquiry_reply(id, reply,
                               reply == inquiry_outcome::completed ? response : std::string_view());
}

void client::pause(request_id id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  observe(*found->second, event::abandoned);
  finish(*found->second, {});
}

}  // namespace marblewharf::uwsgi
