// The connection to the runtime: lines both ways, and a second connection while the runtime moves.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <string>
#include <string_view>

#include "config/limits.hpp"
#include "net/reactor.hpp"

namespace marblewharf::runtime {

// What the owner of a transport is told, on the reactor's thread.
class transport_observer {
 public:
  virtual ~transport_observer() = default;
  // The connection is open; a successor has taken the place of the connection before it.
  virtual void on_connected() = 0;
  // A whole line, without its newline. The observer may close the transport meanwhile.
  virtual void on_line(std::string_view line) = 0;
  // The connection failed or was lost, or brought a line that is too long. It is still to be closed.
  virtual void on_connection_lost(const char* reason) = 0;
  // The same of a successor that was not open yet.
  virtual void on_successor_lost() = 0;
};

// Owned by the reactor's thread.
class transport {
 public:
  // All that is passed in by reference outlives the transport.
  transport(net::reactor& reactor, const limits& bounds, transport_observer& observer);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  // Begins a connection; throws Poco::Exception where none can be begun.
  void connect(const Poco::Net::SocketAddress& address);
  // Begins a connection that replaces the present one once it is open; throws the same.
  void connect_successor(const Poco::Net::SocketAddress& address);
  bool has_successor() const { return successor_ != nullptr; }

  // Sends a line that has its newline, or nothing where there is no connection: a send may find that the
  // connection is lost, also between two lines.
  void send(const std::string& line);

  void close_successor();
  // Closes both.
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
