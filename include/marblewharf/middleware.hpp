// Admission control for the handlers of a Poco::Net::HTTPServer. A request waits until the policy admits it;
// then the wrapped handler runs in the server's own thread. The middleware itself sends these responses:
//
//   400  a keyed request without a usable key
//   409  with `Outcome: unknown`: a keyed run started and its outcome is unknown
//   413  the body of a keyed request is too large
//   422  the key was used before with different content
//   503  with Retry-After: the request was rejected and the handler did not run
//   504  the deadline has passed
#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"

namespace marblewharf::middleware {

// Properties of a request that the policy uses.
struct traits {
  unsigned request_class = 0;       // index of the class in the settings
  unsigned tenant = 0;              // index of the tenant in the settings
  double held_kb = 0;               // memory reserved while the request is queued, in KB
  std::chrono::nanoseconds work{};  // expected work on one core; 0: unknown
  std::string key{};                // idempotency key of a keyed class; empty: taken from the header
};
// Called once per request, on the server's thread that handles the request.
using classifier = std::function<traits(const Poco::Net::HTTPServerRequest&)>;

// Request counts since the gate was created.
struct tally {
  std::uint64_t taken_in = 0, started = 0, served = 0, refused = 0, failed = 0;
};

// Idempotency: responses to keyed requests are stored in a folder and survive restarts. A duplicate gets the
// stored response, and its handler does not run. While the first request waits or runs, the duplicate waits
// on the server's thread that handles it. A response is stored before it is sent, so the handlers of keyed
// classes write into memory, and the size of their responses is bounded.
struct keyed_settings {
  std::string folder;                             // on a durable disk, used by this process only
  std::vector<std::chrono::nanoseconds> windows;  // by class: how long duplicates are detected; 0: not keyed
  std::string header = "Idempotency-Key";         // header with the key; empty: only the classifier sets keys
  std::size_t longest_key = 255;                  // bytes; a longer or missing key is answered with 400
  std::size_t largest_body = std::size_t{64} << 10;  // bytes of a keyed request; larger: answered with 413
  // Bytes, including the response head. A larger response is not stored, and the outcome counts as unknown.
  std::size_t largest_response = std::size_t{64} << 10;
  std::uint64_t space = std::uint64_t{1} << 30;  // maximum size of the folder in bytes
  std::uint64_t entries = 1'000'000;             // maximum number of stored keys
};

namespace detail {
class gate_impl;
}

// Admission control of one server, whose handlers share the cores. All functions are safe to call from any
// thread.
class gate {
 public:
  // Requests wait in the gate on the server's threads, so the server needs more threads than handlers that
  // run concurrently. Throws std::invalid_argument, which names the setting, if the settings are invalid.
  explicit gate(const admission_policy::settings& settings, std::uint64_t seed = 0);
  // Also loads the stored responses from the folder. Throws std::runtime_error, which names file and reason,
  // if the folder cannot be used.
  gate(const admission_policy::settings& settings, keyed_settings keys, std::uint64_t seed = 0);
  ~gate();
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  // Announces that the process will stop after `time_left`. Requests that cannot finish by then are rejected.
  void drain(std::chrono::nanoseconds time_left);
  bool healthy() const;
  tally counts() const;

 private:
  friend class handler_factory;
  std::unique_ptr<detail::gate_impl> impl_;
};

// Wraps the factory of a server's handlers so that a handler runs only after the gate admits its request. The
// gate must outlive the server.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped, gate& admission, classifier classify);
  Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

 private:
  Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped_;
  gate& gate_;
  classifier classify_;
};

}  // namespace marblewharf::middleware
