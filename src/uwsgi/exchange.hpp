// One request to a uwsgi server and its response, on a connection of its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/stream.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::uwsgi {

enum class exchange_end {
  complete,       // a complete response was received; without a Content-Length, it ended with the connection
  malformed,      // the received bytes are no valid response, or its body is or would be too long
  not_connected,  // no connection was established: no byte of the request can have arrived
  incomplete,  // the connection was lost or broken before a complete response; the request may have arrived
};

class exchange : public net::stream::observer {
 public:
  // Called once, unless close() is called first. `response` includes the head. `head` is null unless the
  // response is complete.
  using report = std::function<void(exchange_end, const response_head*, std::string_view response)>;

  // Starts to connect; throws Poco::Exception if that fails at once. `reactor` and `bounds` outlive the
  // exchange.
  exchange(net::reactor& reactor, const limits& bounds, const endpoint& server, std::string packet,
           report on_end);
  ~exchange() override;

  // Closes the connection without a report.
  void close();

  // net::stream::observer
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(net::loss cause) override;

 private:
  void end(exchange_end result);
  bool is_too_long(const response_head& head) const;

  const limits& bounds_;
  std::string packet_;
  report report_;
  bool connected_ = false;
  bool ended_ = false;
  std::string response_;
  std::optional<response_head> head_;
  std::unique_ptr<net::stream> stream_;
};

}  // namespace marblewharf::uwsgi
