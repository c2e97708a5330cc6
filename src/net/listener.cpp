#include "net/listener.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

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
    if (sharing == port_sharing::alone && e.code() == EADDRINUSE) throw address_held("listen: " + where + ": held");
    throw std::runtime_error("listen: " + host + ":" + std::to_string(port) + ": " + e.displayText());
  }
  reactor_.addEventHandler(
      socket_, Poco::NObserver<listener, Poco::Net::ReadableNotification>(*this, &listener::on_readable));
}

listener::~listener() {
  accepted_ = [](const Poco::Net::StreamSocket&) {};  // its owner is on its way out
  close();
}

void listener::close() {
  if (!open_) return;
  open_ = false;
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<listener, Poco::Net::ReadableNotification>(*this, &listener::on_readable));
  try {
    // Guards against requests lost on connections that the system accepted and nobody has taken yet.
    while (socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      accepted_(socket_.acceptConnection());
    socket_.close();
  } catch (const Poco::Exception&) {  // it is gone either way
  }
}

void listener::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  if (!open_) return;
  reactor_.wake();
  try {
    // More than one a round: hundreds that open at once must not keep others waiting behind them.
    unsigned taken = 0;
    do {
      accepted_(socket_.acceptConnection());
    } while (open_ && ++taken < bounds_.accepts && socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ));
  } catch (const Poco::Exception& e) {
    telemetry::log("accept", "no connection: %s", e.displayText().c_str());
  }
}

}  // namespace marblewharf::net
