#include "net/event_loop_wakeup.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>

namespace marblewharf::net {

// One UDP socket on the loopback address, connected to itself: no Unix socket, which some platforms refuse.
event_loop_wakeup::event_loop_wakeup(reactor& r) : reactor_(r) {
  try {
    socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket_.connect(socket_.address());
    socket_.setBlocking(false);
    fd_ = socket_.impl()->sockfd();
  } catch (const Poco::Exception& e) {
    throw std::runtime_error("no socket to wake the reactor with: " + e.displayText());
  }
  reactor_.addEventHandler(socket_, Poco::NObserver<event_loop_wakeup, Poco::Net::ReadableNotification>(
                                        *this, &event_loop_wakeup::on_readable));
}

event_loop_wakeup::~event_loop_wakeup() {
  reactor_.removeEventHandler(socket_, Poco::NObserver<event_loop_wakeup, Poco::Net::ReadableNotification>(
                                           *this, &event_loop_wakeup::on_readable));
}

void event_loop_wakeup::wake() noexcept {
  const char one = 1;
  // The system call alone, not POCO's object, which the reactor's thread uses meanwhile. Where the buffer is
  // full the reactor has plenty to wake from.
  [[maybe_unused]] const ssize_t n = ::send(fd_, &one, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
}

void event_loop_wakeup::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  char some[64];
  try {
    // Datagrams of one byte each: take all that came, so that the reactor is not woken by them again.
    for (int i = 0; i < 256 && socket_.available() > 0; ++i) socket_.receiveBytes(some, sizeof some);
  } catch (const Poco::Exception&) {  // nothing there after all
  }
  reactor_.wake();
}

}  // namespace marblewharf::net
