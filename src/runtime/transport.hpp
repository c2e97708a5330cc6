// The connection to the runtime, which carries lines in both directions. While the runtime moves to another
// address, a successor connection is opened next to the current one.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <string>
#include <string_view>

#include "config/limits.hpp"
#include "net/reactor.hpp"

namespace marblewharf::runtime {

// Callbacks of a transport to its owner, on the reactor's thread.
class transport_observer {
 public:
  virtual ~transport_observer() = default;
  // A connection is open. If it was the successor, it has replaced the previous connection.
  virtual void on_connected() = 0;
  // A complete line, without its newline. The observer may close the transport during the call.
  virtual void on_line(std::string_view line) = 0;
  // The connection failed, was lost, or delivered a line that is too long. The observer has to call close().
  virtual void on_connection_lost(const char* reason) = 0;
  // The successor failed before it was open. The observer has to call close_successor().
  virtual void on_successor_lost() = 0;
};

// Used only on the reactor's thread.
class transport {
 public:
  // All arguments outlive the transport.
  transport(net::reactor& reactor, const limits& bounds, transport_observer& observer);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  // Starts to connect; throws Poco::Exception if that fails at once.
  void connect(const Poco::Net::SocketAddress& address);
  // Starts a connection that replaces the current one as soon as it is open. Throws Poco::Exception if that
  // fails at once.
  void connect_successor(const Poco::Net::SocketAddress& address);
  bool has_successor() const { return successor_ != nullptr; }

  // Sends a line, which includes its newline. Does nothing without a connection, because an earlier send may
  // have found the connection lost.
  void send(const std::string& line);

  void close_successor();
  // Closes the connection and its successor.
  void close();

 private:
  class connection;
  void on_open(const connection& opened);
  std::size_t on_bytes(std::string_view bytes);
  void on_lost(const connection& lost, const char* reason);
  void close(std::shared_ptr<connection>& closed);

  net::reactor& reactor_;
  const limits& bounds_;
  transport_observer& observer_;
  std::shared_ptr<connection> connection_;
  std::shared_ptr<connection> successor_;
};

}  // namespace marblewharf::runtime
