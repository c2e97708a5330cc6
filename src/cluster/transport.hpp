// The cluster's UDP socket on the reactor: sends and receives datagrams of this member.
//
// The member's address is bound alone, so of all processes that are given it on a machine one is the member:
// a second one (a hot restart) uses a port of its own until the first releases the address.
//
// Owned by the reactor's thread. Nothing blocks: a datagram that cannot be sent at once is dropped and
// counted.
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

// Receives what arrives; called on the reactor's thread.
class datagram_handler {
 public:
  virtual ~datagram_handler() = default;
  virtual void on_datagram(time_point now, std::string_view datagram) = 0;
  // After the datagrams that had arrived at once.
  virtual void on_batch_end() = 0;
};

class transport {
 public:
  // `handler` outlives this.
  transport(net::reactor& reactor, const fleet_config& settings, datagram_handler& handler);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  // Returns false where another process holds the member's address. Throws std::runtime_error naming the
  // address where it cannot be bound for another reason. Replaces a port of its own.
  bool bind_member_address();
  // Binds any free port of the same host; throws as bind_member_address().
  void bind_own_port();

  // Where others reach this socket.
  std::string reachable_address() const;
  void send(const std::string& to, const std::string& bytes);
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
