// Admission in front of the handlers of a Poco::Net::HTTPServer. A request waits here until the decision
// module lets it run, then the wrapped handler runs in the server's own thread; what is turned away is
// answered 503 with Retry-After, what waited past its time 504. Of keyed requests also: 400 no usable key,
// 409 with Outcome: unknown where a run began and nobody knows how it ended, 413, 422 the key was used with
// other content.
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

// What a request is to the module.
struct traits {
  unsigned request_class = 0;  // its place in the settings
  unsigned tenant = 0;
  double held_kb = 0;               // memory that it takes while it waits
  std::chrono::nanoseconds work{};  // expected, on one core; 0 = not known
  std::string key{};                // of a keyed class; empty: the header that the settings name
};
using classifier = std::function<traits(const Poco::Net::HTTPServerRequest&)>;

struct tally {
  std::uint64_t taken_in = 0, started = 0, served = 0, refused = 0, failed = 0;
};

// Results of keyed requests kept in a folder, across restarts: a repeat gets the first response again, and
// its handler does not run. A repeat while the first waits or runs waits for it in its own thread. The
// response is on disk before it is sent, so a handler of a keyed class writes into memory: its response has a
// bound.
struct keyed_settings {
  std::string folder;                                // this process's alone, on a lasting disk
  std::vector<std::chrono::nanoseconds> windows;     // by class: how long a repeat may come; 0 = not keyed
  std::string header = "Idempotency-Key";            // empty: only the classifier tells keys
  std::size_t longest_key = 255;                     // bytes; 400 where it is longer, or missing
  std::size_t largest_body = std::size_t{64} << 10;  // of a keyed request; 413 where it is larger
  std::size_t largest_response = std::size_t{64}
                                 << 10;          // with its head; what is larger is not kept: in doubt
  std::uint64_t space = std::uint64_t{1} << 30;  // bytes of the folder
  std::uint64_t entries = 1'000'000;             // keys known at once
};

namespace detail {
class gate_impl;
}

// One for a server: all its handlers share these cores. Safe to use from all threads of the server.
class gate {
 public:
  // Threads of the server wait here, so it needs more of them than handlers are to run at once. Throws
  // std::invalid_argument, naming the setting, when the settings cannot be used.
  explicit gate(admission_policy::settings settings, std::uint64_t seed = 0);
  // Reads the folder first: throws std::runtime_error, naming file and reason, where it cannot be used.
  gate(admission_policy::settings settings, keyed_settings keys, std::uint64_t seed = 0);
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
