// A listening socket in the reactor.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <string>

#include "net/reactor.hpp"

namespace marblewharf::net {

class listener {
 public:
  using handler = std::function<void(const Poco::Net::StreamSocket&)>;

  // Throws std::runtime_error naming the address that cannot be listened on.
  listener(reactor& r, const limits& bounds, const std::string& host, std::uint16_t port, handler accepted);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  void close();

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  reactor& reactor_;
  const limits& bounds_;
  handler accepted_;
  Poco::Net::ServerSocket socket_;
  bool open_ = true;
};

}  // namespace marblewharf::net
