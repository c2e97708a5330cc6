#include "uwsgi/client.hpp"

#include <Poco/Exception.h>

#include <utility>

namespace marblewharf::uwsgi {

using telemetry::log;

namespace {

// Response statuses of HTTP.
constexpr unsigned first_success_status = 200;
constexpr unsigned last_success_status = 299;
constexpr unsigned not_found_status = 404;
constexpr unsigned first_server_error_status = 500;

}  // namespace

struct client::attempt {
  attempt(request_id number, std::string bytes, bool safe, bool is_inquiry)
      : id(number), payload(std::move(bytes)), repeatable(safe), inquiry(is_inquiry) {}

  const request_id id;
  const std::string payload;
  const bool repeatable;  // may be sent again although it may have arrived
  const bool inquiry;     // asks for the outcome of a request, does not run it
  const time_point started_at = net::steady_now();
  std::shared_ptr<exchange> current_exchange;
  std::size_t server = 0;
  unsigned servers_tried = 0;
  unsigned servers_without_request = 0;  // inquiry: servers that never saw the request
  bool may_have_arrived = false;         // a byte of it may have arrived at a server
};

client::client(net::reactor& reactor, const config& settings, dispatcher& requests)
    : reactor_(reactor), config_(settings), dispatcher_(requests), load_(settings.uwsgi->servers.size()) {}

client::~client() = default;

std::size_t client::least_loaded() const {
  std::size_t best = (last_server_ + 1) % load_.size();
  for (std::size_t i = 0; i < load_.size(); ++i) {
    const std::size_t next = (last_server_ + 1 + i) % load_.size();
    if (load_[next] < load_[best]) best = next;
  }
  return best;
}

void client::run(request_id id, const request& details) {
  const bool safe =
      config_.policy_settings.classes[details.request_class].effect == admission_policy::request_effect::safe;
  begin(std::make_shared<attempt>(id, details.payload, safe, false));
}

bool client::inquire(request_id id, const request& details) {
  if (!config_.keyed || config_.keyed->inquiry_var.empty()) return false;
  const std::optional<packet> original = next_packet(details.payload, config_.bounds);
  if (!original) return false;
  std::vector<std::pair<std::string, std::string>> vars;
  for (const auto& [name, value] : original->vars) {
    if (name != "CONTENT_LENGTH" && name != config_.keyed->inquiry_var) vars.emplace_back(name, value);
  }
  vars.emplace_back(config_.keyed->inquiry_var, config_.keyed->inquiry_value);
  vars.emplace_back("CONTENT_LENGTH", "0");
  begin(std::make_shared<attempt>(id, encode_packet(vars, {}), true, true));
  return true;
}

void client::begin(const std::shared_ptr<attempt>& new_attempt) {
  new_attempt->server = least_loaded();
  ++load_[new_attempt->server];
  attempts_.emplace(new_attempt->id, new_attempt);
  try_next_server(new_attempt);
}

// Tries each server at most once, in turn, starting with the least loaded one.
void client::try_next_server(const std::shared_ptr<attempt>& current) {
  while (current->servers_tried < load_.size()) {
    if (current->servers_tried++ > 0) {
      --load_[current->server];
      current->server = (current->server + 1) % load_.size();
      ++load_[current->server];
    }
    last_server_ = current->server;
    try {
      current->current_exchange = std::make_shared<exchange>(
          reactor_, config_.bounds, config_.uwsgi->servers[current->server], current->payload,
          [this, id = current->id](exchange_end end, const response_head* head, std::string_view response) {
            on_end(attempts_.at(id), end, head, response);
          });
      return;
    } catch (const Poco::Exception& error) {
      log("uwsgi-server", "cannot connect to a server: %s", error.displayText().c_str());
    }
  }
  finish_unanswered(*current);
}

// Called when no server is left to try.
void client::finish_unanswered(attempt& finished) {
  if (!finished.inquiry) {
    finish(finished, finished.may_have_arrived ? run_end::lost : run_end::never_started, {});
    return;
  }
  const bool seen_by_none = finished.servers_without_request == load_.size();
  finish_inquiry(finished, seen_by_none ? inquiry_outcome::never_ran : inquiry_outcome::unknown, {});
}

void client::on_end(const std::shared_ptr<attempt>& ended, exchange_end end, const response_head* head,
                    std::string_view response) {
  // The copy keeps the attempt alive: `ended` may refer to the entry of attempts_ that is erased below.
  const auto current = ended;  // NOLINT(performance-unnecessary-copy-initialization): the copy is needed
  switch (end) {
    case exchange_end::complete:
      if (current->inquiry) {
        on_inquiry_response(current, head->status, response);
        return;
      }
      // A 5xx status is the server's report of its own failure.
      finish(*current, head->status < first_server_error_status ? run_end::succeeded : run_end::failed,
             response);
      return;
    case exchange_end::malformed:
      if (current->inquiry) break;
      finish(*current, run_end::lost, {});
      return;
    case exchange_end::not_connected: break;
    case exchange_end::incomplete: {
      log("uwsgi-server", "attempt ended without a complete response");
      const bool sent_again = std::exchange(current->may_have_arrived, true);
      if (current->inquiry || (current->repeatable && !sent_again)) break;
      finish(*current, run_end::lost, {});
      return;
    }
  }
  continue_at_next_server(current);
}

void client::continue_at_next_server(const std::shared_ptr<attempt>& current) {
  current->current_exchange->close();
  reactor_.retire(std::move(current->current_exchange));
  try_next_server(current);
}

void client::on_inquiry_response(const std::shared_ptr<attempt>& current, unsigned status,
                                 std::string_view response) {
  if (status >= first_success_status && status <= last_success_status) {
    finish_inquiry(*current, inquiry_outcome::completed, response);
    return;
  }
  if (status == not_found_status) ++current->servers_without_request;
  continue_at_next_server(current);
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

void client::finish(attempt& finished, run_end end, std::string_view response) {
  const duration elapsed = net::steady_now() - finished.started_at;
  const request_id id = finished.id;
  remove(finished);
  dispatcher_.on_run_ended(id, end, end == run_end::succeeded ? response : std::string_view(), elapsed);
}

void client::finish_inquiry(attempt& finished, inquiry_outcome outcome, std::string_view response) {
  const request_id id = finished.id;
  remove(finished);
  dispatcher_.on_inquiry_reply(id, outcome, response);
}

void client::pause(request_id id) {
  const auto found = attempts_.find(id);
  if (found != attempts_.end()) finish(*found->second, run_end::aborted, {});
}

}  // namespace marblewharf::uwsgi
