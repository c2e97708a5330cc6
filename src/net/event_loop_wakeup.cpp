#include "net/event_loop_wakeup.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>

namespace marblewharf::net {

event_loop_wakeup::event_loop_wakeup(reactor& event_loop) : reactor_(event_loop) {
  try {
    socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket_.connect(socket_.address());
    socket_.setBlocking(false);
    fd_ = socket_.impl()->sockfd();
  } catch (const Poco::Exception& error) {
    throw std::runtime_error("cannot open the socket that wakes the reactor: " + error.displayText());
  }
  reactor_.addEventHandler(socket_, Poco::NObserver<event_loop_wakeup, Poco::Net::ReadableNotification>(
                                        *this, &event_loop_wakeup::on_readable));
}

event_loop_wakeup::~event_loop_wakeup() {
  reactor_.removeEventHandler(socket_, Poco::NObserver<event_loop_wakeup, Poco::Net::ReadableNotification>(
                                           *this, &event_loop_wakeup::on_readable));
}

void event_loop_wakeup::wake() noexcept {
  const char datagram = 1;
  // A plain system call, because the reactor's thread may be using the POCO socket object. An error is
  // ignored: if the buffer is full, datagrams that will wake the reactor are already waiting.
  [[maybe_unused]] const ssize_t sent = ::send(fd_, &datagram, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
}

void event_loop_wakeup::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  char discarded[64];
  try {
    // Reads all waiting datagrams (one byte each), so that they do not wake the reactor again. The bound
    // keeps a busy sender from blocking the reactor.
    for (int i = 0; i < 256 && socket_.available() > 0; ++i)
      socket_.receiveBytes(discarded, sizeof discarded);
  } catch (const Poco::Exception&) {  // no datagram is waiting
  }
  reactor_.wake();
}

}  // namespace marblewharf::net
