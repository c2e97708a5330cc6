// The cluster's UDP socket on the reactor: sends and receives the datagrams of this member.
//
// The member's address is bound exclusively, so that only one of several processes configured with the
// address is the member. A second process (hot restart) uses a port of its own until the first process
// releases the address.
//
// Not thread-safe: used on the reactor's thread only. No function blocks: a datagram that cannot be sent
// immediately is dropped and counted.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/reactor.hpp"

namespace marblewharf::cluster {

// Receives the incoming datagrams; called on the reactor's thread.
class datagram_handler {
 public:
  virtual ~datagram_handler() = default;
  virtual void on_datagram(time_point now, std::string_view datagram) = 0;
  // Called after each batch of datagrams that were read in the same turn of the event loop.
  virtual void on_batch_end() = 0;
};

class transport {
 public:
  // `settings` and `handler` must outlive this object.
  transport(net::reactor& reactor, const fleet_config& settings, datagram_handler& handler);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  // Binds the member's address in place of the port bound by bind_own_port(), if any. Returns false if
  // another process has bound the address. Throws std::runtime_error with the address if it cannot be bound
  // for another reason.
  bool bind_member_address();
  // Binds any free port of the same host. Throws like bind_member_address().
  void bind_own_port();

  // The address at which other members reach this socket.
  std::string reachable_address() const;
  void send(const std::string& recipient, const std::string& bytes);
  std::uint64_t sent() const { return sent_; }
  std::uint64_t unsent() const { return unsent_; }

 private:
  bool try_bind(Poco::Net::DatagramSocket& socket, std::uint16_t port) const;
  void listen_on(const Poco::Net::DatagramSocket& socket);
  void stop_listening();
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  net::reactor& reactor_;
  const fleet_config& settings_;
  datagram_handler& handler_;
  Poco::Net::DatagramSocket socket_;
  bool listening_ = false;
  std::uint64_t sent_ = 0;
  std::uint64_t unsent_ = 0;
};

}  // namespace marblewharf::cluster
