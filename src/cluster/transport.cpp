#include "cluster/transport.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <array>
#include <cerrno>
#include <stdexcept>

#include "cluster/member_addresses.hpp"
#include "membership/wire.hpp"

namespace marblewharf::cluster {

namespace {

using readable_observer = Poco::NObserver<transport, Poco::Net::ReadableNotification>;

// Maximum number of datagrams read in one turn of the event loop, so that a flood of datagrams does not delay
// the client sockets.
constexpr int max_datagrams_per_turn = 64;

constexpr std::uint16_t any_port = 0;

// Throws std::exception if `address` is not of the form "host:port".
Poco::Net::SocketAddress parse_address(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const int port = std::stoi(address.substr(colon + 1));
  return {address.substr(0, colon), static_cast<Poco::UInt16>(port)};
}

}  // namespace

transport::transport(net::reactor& reactor, const fleet_config& settings, datagram_handler& handler)
    : reactor_(reactor), settings_(settings), handler_(handler) {}

transport::~transport() {
  stop_listening();
}

// Binds without SO_REUSEADDR: if two sockets shared a UDP address, the later one would receive all datagrams,
// and the process with the earlier one would declare all other members dead.
bool transport::try_bind(Poco::Net::DatagramSocket& socket, std::uint16_t port) const {
  try {
    const Poco::Net::SocketAddress address(settings_.listen.host, port);
    socket.bind(address, /*reuseAddress*/ false, /*reusePort*/ false);
    socket.setBlocking(false);
    return true;
  } catch (const Poco::Exception& fault) {
    if (fault.code() == EADDRINUSE) return false;
    throw std::runtime_error("fleet: cannot bind " + address_of(settings_.listen) + ": " +
                             fault.displayText());
  }
}

void transport::listen_on(const Poco::Net::DatagramSocket& socket) {
  stop_listening();
  socket_ = socket;
  reactor_.addEventHandler(socket_, readable_observer(*this, &transport::on_readable));
  listening_ = true;
}

void transport::stop_listening() {
  if (!listening_) return;
  reactor_.removeEventHandler(socket_, readable_observer(*this, &transport::on_readable));
  listening_ = false;
}

bool transport::bind_member_address() {
  Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress::IPv4);
  if (!try_bind(socket, settings_.listen.port)) return false;
  listen_on(socket);
  return true;
}

void transport::bind_own_port() {
  Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress::IPv4);
  try_bind(socket, any_port);
  listen_on(socket);
}

std::string transport::reachable_address() const {
  const bool any_host = settings_.listen.host == "0.0.0.0";
  const std::string& host = any_host ? settings_.advertise.host : settings_.listen.host;
  return host + ":" + std::to_string(socket_.address().port());
}

void transport::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  std::array<char, membership::max_datagram_bytes + 1> buffer{};
  const time_point now = net::steady_now();
  for (int i = 0; i < max_datagrams_per_turn; ++i) {
    int received = 0;
    try {
      if (socket_.available() <= 0) break;
      Poco::Net::SocketAddress sender;
      received = socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
    } catch (const Poco::Exception&) {
      break;
    }
    if (received <= 0) break;
    handler_.on_datagram(now, {buffer.data(), static_cast<std::size_t>(received)});
  }
  handler_.on_batch_end();
  reactor_.wake();
}

void transport::send(const std::string& recipient, const std::string& bytes) {
  try {
    const int sent = socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), parse_address(recipient));
    if (sent > 0) {
      ++sent_;
      return;
    }
  } catch (const std::exception&) {  // the socket buffer is full, or `recipient` is not a valid address
  }
  ++unsent_;
}

}  // namespace marblewharf::cluster
