#include "net/listener.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <poll.h>

#include <cerrno>
#include <stdexcept>

#include "telemetry/telemetry.hpp"

namespace marblewharf::net {

listener::listener(reactor& r, const limits& bounds, const std::string& host, std::uint16_t port,
                   handler accepted, port_sharing sharing)
    : reactor_(r), bounds_(bounds), accepted_(std::move(accepted)) {
  try {
    // SO_REUSEADDR either way: a restart must not wait for the last process's connections in TIME_WAIT.
    socket_.bind(Poco::Net::SocketAddress(host, port), true, sharing == port_sharing::shared);
    socket_.listen(bounds.backlog);
  } catch (const Poco::Exception& e) {
    const std::string where = host + ":" + std::to_string(port);
    if (sharing == port_sharing::alone && e.code() == EADDRINUSE)
      throw address_held("listen: " + where + ": held");
    throw std::runtime_error("listen: " + host + ":" + std::to_string(port) + ": " + e.displayText());
  }
  resume();
}

listener::~listener() {
  accepted_ = [](const Poco::Net::StreamSocket&) {};  // its owner is on its way out
  close();
}

void listener::close() {
  if (!open_) return;
  pause();
  open_ = false;
  try {
    // Guards against requests lost on connections that the system accepted and nobody has taken yet.
    while (connection_waits()) accepted_(socket_.acceptConnection());
  } catch (const Poco::Exception& e) {
    telemetry::log("accept", "no connection: %s", e.displayText().c_str());
  }
  try {
    socket_.close();
  } catch (const Poco::Exception&) {  // it is gone either way
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

// The system's own poll: POCO's opens a descriptor for it, and there may be none.
bool listener::connection_waits() const {
  pollfd waits{socket_.impl()->sockfd(), POLLIN, 0};
  return ::poll(&waits, 1, 0) > 0 && (waits.revents & POLLIN) != 0;
}

void listener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  if (!open_ || paused_) return;
  reactor_.wake();
  try {
    // More than one a round: hundreds that open at once must not keep others waiting behind them.
    unsigned taken = 0;
    do {
      accepted_(socket_.acceptConnection());
    } while (open_ && ++taken < bounds_.accepts && connection_waits());
  } catch (const Poco::Exception& e) {
    // Guards against a reactor that spins: the connection keeps waiting, and would end every poll at once.
    pause();
    telemetry::log("accept", "no connection: %s", e.displayText().c_str());
  }
}

}  // namespace marblewharf::net
