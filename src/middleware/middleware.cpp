#include "marblewharf/middleware.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <array>

#include "idempotency/fingerprint.hpp"
#include "middleware/buffered_exchange.hpp"
#include "middleware/gate.hpp"

namespace marblewharf::middleware {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// ---- gate -------------------------------------------------------------------------------------------------

gate::gate(const admission_policy::settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<detail::gate_impl>(settings, std::nullopt, seed)) {}
gate::gate(const admission_policy::settings& settings, keyed_settings keys, std::uint64_t seed)
    : impl_(std::make_unique<detail::gate_impl>(settings, std::move(keys), seed)) {}
gate::~gate() = default;

void gate::drain(std::chrono::nanoseconds time_left) {
  impl_->drain(time_left);
}

bool gate::healthy() const {
  return impl_->healthy();
}

tally gate::counts() const {
  return impl_->counts();
}

namespace {

using detail::attempt;
using detail::attempt_state;
using detail::failure_cause;

constexpr std::int64_t min_retry_after_seconds = 1;  // 0 would ask for an immediate retry
constexpr std::string_view fingerprint_protocol = "http";

// ---- Responses of the middleware itself -------------------------------------------------------------------

void set_status(HTTPServerResponse& response, HTTPResponse::HTTPStatus status) {
  response.setStatusAndReason(status);
  response.setContentType("text/plain");
}

void send_reason(HTTPServerResponse& response) {
  const std::string text = response.getReason() + "\n";
  response.setContentLength(static_cast<std::streamsize>(text.size()));
  response.send() << text;
}

void send_status(HTTPServerResponse& response, HTTPResponse::HTTPStatus status) {
  set_status(response, status);
  send_reason(response);
}

void send_unavailable(HTTPServerResponse& response, duration retry_after) {
  const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  set_status(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  response.set("Retry-After", std::to_string(std::max(min_retry_after_seconds, seconds)));
  send_reason(response);
}

void send_failure(HTTPServerResponse& response, failure_cause cause) {
  switch (cause) {
    case failure_cause::key_conflict: send_status(response, HTTPResponse::HTTP_UNPROCESSABLE_ENTITY); break;
    case failure_cause::outcome_unknown:
      response.set("Outcome", "unknown");
      send_status(response, HTTPResponse::HTTP_CONFLICT);
      break;
    case failure_cause::deadline_exceeded: send_status(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT); break;
  }
}

// Sends the response to an attempt whose handler did not run, or whose outcome is unknown.
void send_without_result(HTTPServerResponse& response, const attempt& final_attempt) {
  if (final_attempt.state == attempt_state::rejected) {
    send_unavailable(response, final_attempt.retry_after);
  } else {
    send_failure(response, final_attempt.cause);
  }
}

// ---- Handlers ---------------------------------------------------------------------------------------------

// Runs the wrapped handler after the gate has admitted the request. Created for one request and used only on
// its thread.
class admitted_handler : public Poco::Net::HTTPRequestHandler {
 public:
  admitted_handler(std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped, detail::gate_impl& gate,
                   const traits& request_traits)
      : wrapped_(std::move(wrapped)), gate_(gate), traits_(request_traits) {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    if (const keyed_settings* keys = gate_.keys_of(traits_.request_class)) {
      handle_keyed(*keys, request, response);
    } else {
      handle_unkeyed(request, response);
    }
  }

 private:
  void handle_unkeyed(HTTPServerRequest& request, HTTPServerResponse& response) {
    const attempt admitted = gate_.admit(traits_);
    if (admitted.state != attempt_state::running) {
      send_without_result(response, admitted);
      return;
    }
    try {
      wrapped_->handleRequest(request, response);
    } catch (...) {
      gate_.finish(admitted, false);
      throw;  // the server handles the exception as it does without the middleware
    }
    const bool succeeded = response.getStatus() < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    const bool in_time = gate_.finish(admitted, succeeded);
    if (!in_time && !response.sent()) send_status(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT);
  }

  // The handler runs at most once per key. Its response is sent only after it is stored.
  void handle_keyed(const keyed_settings& keys, HTTPServerRequest& request, HTTPServerResponse& response) {
    const std::string key = key_of(keys, request);
    if (idempotency::key_error(key, keys.longest_key) != nullptr) {
      send_status(response, HTTPResponse::HTTP_BAD_REQUEST);
      return;
    }
    std::optional<std::string> body = read_body(request, keys.largest_body);
    if (!body) {
      response.setKeepAlive(false);  // the rest of the body is not read
      send_status(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    const std::array<std::string_view, 4> content = {fingerprint_protocol, request.getMethod(),
                                                     request.getURI(), *body};
    attempt current = gate_.admit(traits_, key, idempotency::fingerprint_of(content));
    if (current.state == attempt_state::running)
      current = run_keyed(keys, current, request, std::move(*body));
    if (current.state == attempt_state::answered) {
      replay(current.result, response);
    } else {
      send_without_result(response, current);
    }
  }

  std::string key_of(const keyed_settings& keys, const HTTPServerRequest& request) const {
    if (!traits_.key.empty() || keys.header.empty()) return traits_.key;
    return request.get(keys.header, std::string());
  }

  attempt run_keyed(const keyed_settings& keys, const attempt& admitted, HTTPServerRequest& request,
                    std::string body) {
    captured_response captured;
    buffered_request buffered(request, std::move(body), captured);
    std::optional<std::string> stored_bytes;
    try {
      wrapped_->handleRequest(buffered, captured);
      stored_bytes = captured.serialize();
    } catch (...) {  // the handler may already have had an effect
      gate_.finish_keyed(admitted, std::nullopt);
      throw;
    }
    if (stored_bytes->size() > keys.largest_response) stored_bytes.reset();
    return gate_.finish_keyed(admitted, stored_bytes);
  }

  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped_;
  detail::gate_impl& gate_;
  traits traits_;
};

}  // namespace

handler_factory::handler_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped, gate& admission,
                                 classifier classify)
    : wrapped_(std::move(wrapped)), gate_(admission), classify_(std::move(classify)) {}

Poco::Net::HTTPRequestHandler* handler_factory::createRequestHandler(const HTTPServerRequest& request) {
  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped(wrapped_->createRequestHandler(request));
  if (!wrapped) return nullptr;  // the server answers 501
  const traits request_traits = classify_(request);
  return new admitted_handler(std::move(wrapped), *gate_.impl_, request_traits);
}

}  // namespace marblewharf::middleware
