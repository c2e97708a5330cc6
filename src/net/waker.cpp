#include "net/waker.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

namespace marblewharf::net {

waker::waker(reactor& r) : reactor_(r) {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends) != 0)
    throw std::runtime_error(std::string("no socket pair: ") + std::strerror(errno));
  from_ = ends[0];
  to_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[1]));
  to_.setBlocking(false);
  reactor_.addEventHandler(to_,
                           Poco::NObserver<waker, Poco::Net::ReadableNotification>(*this, &waker::on_readable));
}

waker::~waker() {
  reactor_.removeEventHandler(
      to_, Poco::NObserver<waker, Poco::Net::ReadableNotification>(*this, &waker::on_readable));
  ::close(from_);
}

void waker::wake() noexcept {
  const char one = 1;
  // Where the pair is full the reactor has plenty to wake from.
  [[maybe_unused]] const ssize_t n = ::send(from_, &one, 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void waker::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  char some[256];
  try {
    to_.receiveBytes(some, sizeof some);
  } catch (const Poco::Exception&) {  // nothing there after all
  }
  reactor_.wake();
}

}  // namespace marblewharf::net
