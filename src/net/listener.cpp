#include "net/listener.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <poll.h>

#include <cerrno>
#include <stdexcept>

#include "telemetry/telemetry.hpp"

namespace marblewharf::net {

listener::listener(reactor& event_loop, const limits& bounds, const std::string& host, std::uint16_t port,
                   handler on_accept, port_sharing sharing)
    : reactor_(event_loop), bounds_(bounds), on_accept_(std::move(on_accept)) {
  try {
    // SO_REUSEADDR in both cases: a restart must not wait for the previous process's connections in
    // TIME_WAIT.
    socket_.bind(Poco::Net::SocketAddress(host, port), true, sharing == port_sharing::shared);
    socket_.listen(bounds.listen_backlog);
  } catch (const Poco::Exception& error) {
    const std::string address = host + ":" + std::to_string(port);
    if (sharing == port_sharing::exclusive && error.code() == EADDRINUSE)
      throw address_in_use("listen: " + address + ": address already in use");
    throw std::runtime_error("listen: " + host + ":" + std::to_string(port) + ": " + error.displayText());
  }
  resume();
}

listener::~listener() {
  on_accept_ = [](const Poco::Net::StreamSocket&) {};  // the owner is being destroyed
  close();
}

void listener::close() {
  if (!open_) return;
  pause();
  open_ = false;
  try {
    // Connections in the backlog may already carry requests, which closing the socket would lose.
    while (connection_waiting()) on_accept_(socket_.acceptConnection());
  } catch (const Poco::Exception& error) {
    telemetry::log("accept", "cannot accept the connections left in the backlog: %s",
                   error.displayText().c_str());
  }
  try {
    socket_.close();
  } catch (const Poco::Exception&) {  // the socket is closed in any case
  }
}

void listener::pause() {
  if (paused_) return;
  paused_ = true;
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<listener, Poco::Net::ReadableNotification>(*this, &listener::on_readable));
}

void listener::resume() {
  if (!open_ || !paused_) return;
  paused_ = false;
  reactor_.addEventHandler(
      socket_, Poco::NObserver<listener, Poco::Net::ReadableNotification>(*this, &listener::on_readable));
}

// Calls poll() directly, because POCO's poll opens a file descriptor and none may be free.
bool listener::connection_waiting() const {
  pollfd polled{socket_.impl()->sockfd(), POLLIN, 0};
  return ::poll(&polled, 1, 0) > 0 && (polled.revents & POLLIN) != 0;
}

void listener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  if (!open_ || paused_) return;
  reactor_.wake();
  try {
    // Accepts several connections per dispatch round, so that a burst of hundreds does not delay later ones.
    unsigned accepted = 0;
    do {
      on_accept_(socket_.acceptConnection());
    } while (open_ && ++accepted < bounds_.accepts_per_round && connection_waiting());
  } catch (const Poco::Exception& error) {
    // The connection remains in the backlog and would end every poll at once, so the reactor would spin.
    pause();
    telemetry::log("accept", "accepting paused: %s", error.displayText().c_str());
  }
}

}  // namespace marblewharf::net
