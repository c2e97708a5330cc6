// Lets another thread have the reactor take its step now and not when its poll runs out.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include "net/reactor.hpp"

namespace marblewharf::net {

class waker {
 public:
  // Throws std::runtime_error where the system has no descriptors left.
  explicit waker(reactor& r);
  ~waker();
  waker(const waker&) = delete;
  waker& operator=(const waker&) = delete;

  // From any thread.
  void wake() noexcept;

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  reactor& reactor_;
  int from_ = -1;
  Poco::Net::StreamSocket to_;
};

}  // namespace marblewharf::net
