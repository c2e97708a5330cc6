// Admission in front of the handlers of a Poco::Net::HTTPServer. A request waits here until the decision
// module lets it run, then the wrapped handler runs in the server's own thread; what is turned away is
// answered 503 with Retry-After, what waited past its time 504.
#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "wrenrill/policy.hpp"

namespace marblewharf::middleware {

// What a request is to the module.
struct traits {
  unsigned request_class = 0;  // its place in the settings
  unsigned tenant = 0;
  double held_kb = 0;               // memory that it takes while it waits
  std::chrono::nanoseconds work{};  // expected, on one core; 0 = not known
};
using classifier = std::function<traits(const Poco::Net::HTTPServerRequest&)>;

struct tally {
  std::uint64_t taken_in = 0, started = 0, served = 0, refused = 0, failed = 0;
};

namespace detail {
class gate_impl;
}

// One for a server: all its handlers share these cores. Safe to use from all threads of the server.
class gate {
 public:
  // Threads of the server wait here, so it needs more of them than handlers are to run at once. Throws
  // std::invalid_argument, naming the setting, when the settings cannot be used.
  explicit gate(wrenrill::settings settings, std::uint64_t seed = 0);
  ~gate();
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  // The process is to be stopped after this long: what comes too late is refused.
  void drain(std::chrono::nanoseconds left);
  bool healthy() const;
  tally counts() const;

 private:
  friend class handler_factory;
  std::unique_ptr<detail::gate_impl> impl_;
};

// Wraps a factory; its handlers only run when the gate lets them. The gate must outlive the server.
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
