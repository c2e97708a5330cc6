// Admission in front of the handlers of a Poco::Net::HTTPServer. A request waits until the policy admits it,
// then the wrapped handler runs in the server's own thread. Responses that no handler wrote:
//
//   400  a keyed request without a usable key
//   409  with `Outcome: unknown`: a keyed run began and nobody knows how it ended
//   413  the body of a keyed request is too large
//   422  the key was used with other content
//   503  with Retry-After: rejected, the handler did not run
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

// What the policy is told of a request.
struct traits {
  unsigned request_class = 0;       // its index in the settings
  unsigned tenant = 0;              // its index in the settings
  double held_kb = 0;               // memory reserved while it is queued
  std::chrono::nanoseconds work{};  // expected work on one core; 0 = not known
  std::string key{};                // of a keyed class; empty: the header that the settings name
};
// Called once for each request, on the server's thread that handles it.
using classifier = std::function<traits(const Poco::Net::HTTPServerRequest&)>;

// Counts since the start.
struct tally {
  std::uint64_t taken_in = 0, started = 0, served = 0, refused = 0, failed = 0;
};

// Idempotency: results of keyed requests are stored in a folder, across restarts. A duplicate gets the first
// response again, and its handler does not run; while the first one waits or runs, the duplicate waits for it
// in its own thread. A response is stored before it is sent, so the handlers of a keyed class write into
// memory and their responses have a bound.
struct keyed_settings {
  std::string folder;                                // of this process alone, on a durable disk
  std::vector<std::chrono::nanoseconds> windows;     // by class: how long a duplicate may come; 0 = not keyed
  std::string header = "Idempotency-Key";            // empty: only the classifier tells keys
  std::size_t longest_key = 255;                     // bytes; 400 where it is longer, or missing
  std::size_t largest_body = std::size_t{64} << 10;  // bytes of a keyed request; 413 where it is larger
  // Bytes with its head. A larger response is not stored: the outcome counts as unknown.
  std::size_t largest_response = std::size_t{64} << 10;
  std::uint64_t space = std::uint64_t{1} << 30;  // bytes of the folder
  std::uint64_t entries = 1'000'000;             // keys known at once
};

namespace detail {
class gate_impl;
}

// The admission of one server: all its handlers share the cores. All functions are safe to call from any
// thread.
class gate {
 public:
  // The server's threads wait in the gate, so it needs more of them than handlers are to run at once. Throws
  // std::invalid_argument, naming the setting, when the settings cannot be used.
  explicit gate(const admission_policy::settings& settings, std::uint64_t seed = 0);
  // Reads the folder first: throws std::runtime_error, naming file and reason, where it cannot be used.
  gate(const admission_policy::settings& settings, keyed_settings keys, std::uint64_t seed = 0);
  ~gate();
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  // The process is to be stopped after this long: what cannot end by then is rejected.
  void drain(std::chrono::nanoseconds left);
  bool healthy() const;
  tally counts() const;

 private:
  friend class handler_factory;
  std::unique_ptr<detail::gate_impl> impl_;
};

// Wraps the factory of a server's handlers so that they run only when the gate admits them. The gate outlives
// the server.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped, gate& g, classifier classify);
  Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

 private:
  Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped_;
  gate& gate_;
  classifier classify_;
};

}  // namespace marblewharf::middleware
