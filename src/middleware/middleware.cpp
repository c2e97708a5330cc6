#include "marblewharf/middleware.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <array>

#include "idempotency/fingerprint.hpp"
#include "middleware/exchange.hpp"
#include "middleware/gate.hpp"

namespace marblewharf::middleware {

using Poco::Net::HTTPResponse;

gate::gate(admission_policy::settings settings, std::uint64_t seed)
    : impl_(std::make_unique<detail::gate_impl>(std::move(settings), std::nullopt, seed)) {}
gate::gate(admission_policy::settings settings, keyed_settings keys, std::uint64_t seed)
    : impl_(std::make_unique<detail::gate_impl>(std::move(settings), std::move(keys), seed)) {}
gate::~gate() = default;
void gate::drain(std::chrono::nanoseconds left) {
  impl_->drain(left);
}
bool gate::healthy() const {
  return impl_->healthy();
}
tally gate::counts() const {
  return impl_->counts();
}

namespace {

using state = detail::gate_impl::state;

void respond(Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status,
             duration retry_after = {}) {
  response.setStatusAndReason(status);
  response.setContentType("text/plain");
  // Whole seconds, as HTTP has it, and at least one: 0 would ask for a retry at once.
  if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
    response.set("Retry-After", std::to_string(std::max<std::int64_t>(
                                    1, std::chrono::ceil<std::chrono::seconds>(retry_after).count())));
  const std::string text = response.getReason() + "\n";
  response.setContentLength(static_cast<std::streamsize>(text.size()));
  response.send() << text;
}

// What was not let run, or is not known to have ended.
void respond(Poco::Net::HTTPServerResponse& response, const detail::gate_impl::visit& v) {
  if (v.where == state::refused) {
    respond(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, v.retry_after);
  } else if (v.conflict) {
    respond(response, HTTPResponse::HTTP_UNPROCESSABLE_ENTITY);
  } else if (v.in_doubt) {
    response.set("Outcome", "unknown");
    respond(response, HTTPResponse::HTTP_CONFLICT);
  } else {
    respond(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT);
  }
}

class guarded : public Poco::Net::HTTPRequestHandler {
 public:
  guarded(std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped, detail::gate_impl& g, const traits& t)
      : wrapped_(std::move(wrapped)), gate_(g), traits_(t) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    if (const keyed_settings* keys = gate_.keys_of(traits_.request_class)) {
      handle_keyed(*keys, request, response);
      return;
    }
    const detail::gate_impl::visit v = gate_.enter(traits_);
    if (v.where != state::running) {
      respond(response, v);
      return;
    }
    try {
      wrapped_->handleRequest(request, response);
    } catch (...) {
      gate_.leave(v, false);
      throw;  // the server answers as it does without us
    }
    const bool owed = gate_.leave(v, response.getStatus() < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    if (!owed && !response.sent()) respond(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT);
  }

 private:
  // The handler runs at most once for a key, and nothing of its response is sent before that is on disk.
  void handle_keyed(const keyed_settings& keys, Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response) {
    const std::string key =
        !traits_.key.empty() || keys.header.empty() ? traits_.key : request.get(keys.header, std::string());
    if (idempotency::fault_of_key(key, keys.longest_key) != nullptr) {
      respond(response, HTTPResponse::HTTP_BAD_REQUEST);
      return;
    }
    std::optional<std::string> body = read_body(request, keys.largest_body);
    if (!body) {
      response.setKeepAlive(false);  // the rest of it is not read
      respond(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    const std::array<std::string_view, 4> asked = {"http", request.getMethod(), request.getURI(), *body};
    detail::gate_impl::visit v = gate_.enter(traits_, key, idempotency::fingerprint_of(asked));
    if (v.where == state::running) {
      captured_response captured;
      buffered_request buffered(request, std::move(*body), captured);
      std::optional<std::string> whole;
      try {
        wrapped_->handleRequest(buffered, captured);
        whole = captured.whole();
      } catch (...) {  // what it had done by then, nobody knows
        gate_.leave_keyed(v, std::nullopt);
        throw;
      }
      if (whole->size() > keys.largest_response) whole.reset();
      v = gate_.leave_keyed(v, whole);
    }
    if (v.where == state::answered) {
      replay(v.result, response);
    } else {
      respond(response, v);
    }
  }

  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped_;
  detail::gate_impl& gate_;
  traits traits_;
};

}  // namespace

handler_factory::handler_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped, gate& g,
                                 classifier classify)
    : wrapped_(std::move(wrapped)), gate_(g), classify_(std::move(classify)) {}

Poco::Net::HTTPRequestHandler* handler_factory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& request) {
  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped(wrapped_->createRequestHandler(request));
  if (!wrapped) return nullptr;  // the server says 501 to what nobody handles
  const traits t = classify_(request);
  return new guarded(std::move(wrapped), *gate_.impl_, t);
}

}  // namespace marblewharf::middleware
