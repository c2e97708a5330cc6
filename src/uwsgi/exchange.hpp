// One request to a uwsgi server and its response: a connection of its own, ended with it.
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
  whole,        // a whole response
  unreadable,   // what came is none
  unconnected,  // nothing of the request can have arrived
  cut_off,      // a byte of it may have arrived, and no whole response came
};

class exchange : public net::stream::owner {
 public:
  // Reported once, unless close() was called first. The response is the whole of it, head included; head is
  // null unless it is whole.
  using report = std::function<void(exchange_end, const response_head*, std::string_view response)>;

  // Throws Poco::Exception where no connection can be begun.
  exchange(net::reactor& r, const limits& bounds, const endpoint& to, std::string packet, report done);
  ~exchange() override;

  void close();

  // net::stream::owner
  void on_open() override;
  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char* why) override;

 private:
  void end(exchange_end how);

  const limits& bounds_;
  std::string packet_;
  report done_;
  bool opened_ = false;
  bool over_ = false;
  std::string response_;
  std::optional<response_head> head_;
  std::unique_ptr<net::stream> stream_;
};

}  // namespace marblewharf::uwsgi
