// Lets another thread have the reactor take its step now and not when its poll runs out. Holds one UDP socket
// on 127.0.0.1, connected to itself; no Unix socket.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include "net/reactor.hpp"

namespace marblewharf::net {

class event_loop_wakeup {
 public:
  // Throws std::runtime_error where no socket can be had (no descriptors left, no loopback address).
  explicit event_loop_wakeup(reactor& r);
  ~event_loop_wakeup();
  event_loop_wakeup(const event_loop_wakeup&) = delete;
  event_loop_wakeup& operator=(const event_loop_wakeup&) = delete;

  // From any thread.
  void wake() noexcept;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  reactor& reactor_;
  Poco::Net::DatagramSocket socket_;
  int fd_ = -1;  // its descriptor, for wake() from other threads
};

}  // namespace marblewharf::net
