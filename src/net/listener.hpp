// A listening socket in the reactor.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include "net/reactor.hpp"

namespace marblewharf::net {

// Whether a second process may bind the same address: the clients' address is shared with a successor
// (SO_REUSEPORT, the kernel spreads new connections over both), a console is the process's own.
enum class port_sharing { shared, alone };

// Thrown where a listener `alone` finds its address held by another socket (EADDRINUSE).
struct address_held : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class listener {
 public:
  using handler = std::function<void(const Poco::Net::StreamSocket&)>;

  // Throws address_held (alone, address in use) or std::runtime_error naming the address that cannot be
  // listened on.
  listener(reactor& r, const limits& bounds, const std::string& host, std::uint16_t port, handler accepted,
           port_sharing sharing = port_sharing::shared);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  // Takes what waits in the backlog, then listens no more.
  void close();
  // Accepts again where the system had no descriptor for a connection. To be called now and then, about as
  // often as a caller may be kept waiting for one.
  void resume();

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void pause();
  bool connection_waits() const;

  reactor& reactor_;
  const limits& bounds_;
  handler accepted_;
  Poco::Net::ServerSocket socket_;
  bool open_ = true;
  bool paused_ = true;  // the reactor does not watch it
};

}  // namespace marblewharf::net
