// Wakes the reactor from another thread, so that its next step runs now and not when its poll times out. Uses
// a UDP socket on 127.0.0.1 that is connected to itself, because some platforms refuse Unix sockets.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include "net/reactor.hpp"

namespace marblewharf::net {

class event_loop_wakeup {
 public:
  // Throws std::runtime_error if the socket cannot be opened (no free file descriptor, no loopback address).
  // `event_loop` outlives this object.
  explicit event_loop_wakeup(reactor& event_loop);
  ~event_loop_wakeup();
  event_loop_wakeup(const event_loop_wakeup&) = delete;
  event_loop_wakeup& operator=(const event_loop_wakeup&) = delete;

  // Can be called from any thread.
  void wake() noexcept;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  reactor& reactor_;
  Poco::Net::DatagramSocket socket_;
  int fd_ = -1;  // descriptor of socket_, for wake() from other threads
};

}  // namespace marblewharf::net
