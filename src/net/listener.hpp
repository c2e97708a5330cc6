// A listening socket that is registered with the reactor.
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

// Whether a second process may bind the same address. The fronts' addresses are shared with the successor of
// a hot restart (SO_REUSEPORT: the kernel distributes new connections over both processes). A console's
// address is not shared.
enum class port_sharing { shared, exclusive };

// The address of a listener with port_sharing::exclusive is in use by another socket (EADDRINUSE).
struct address_in_use : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class listener {
 public:
  using handler = std::function<void(const Poco::Net::StreamSocket&)>;

  // Calls `on_accept` for each accepted connection. `event_loop` and `bounds` must outlive the listener. If
  // it cannot listen, throws address_in_use if the address is in use and `sharing` is `exclusive`, otherwise
  // std::runtime_error, which names the address.
  listener(reactor& event_loop, const limits& bounds, const std::string& host, std::uint16_t port,
           handler on_accept, port_sharing sharing = port_sharing::shared);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  // Accepts the connections that wait in the backlog, then stops listening.
  void close();
  // Resumes accepting after a failed accept, e.g. for lack of a file descriptor. Has to be called
  // periodically; the period bounds the extra time that a client waits for its connection.
  void resume();

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void pause();
  bool connection_waiting() const;

  reactor& reactor_;
  const limits& bounds_;
  handler on_accept_;
  Poco::Net::ServerSocket socket_;
  bool open_ = true;
  bool paused_ = true;  // the socket is not registered with the reactor
};

}  // namespace marblewharf::net
