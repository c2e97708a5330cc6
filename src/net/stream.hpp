// One TCP connection in the reactor: reads as it comes, writes at once and keeps the rest in a bounded
// buffer.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

#include "net/reactor.hpp"

namespace marblewharf::net {

class stream {
 public:
  class owner {
   public:
    virtual ~owner() = default;
    // All bytes not yet taken; returns how many are taken now. May close the stream.
    virtual std::size_t on_bytes(std::string_view bytes) = 0;
    virtual void on_open() {}
    // Reported once, unless close() was called first. The stream is closed by then.
    virtual void on_lost(const char* why) = 0;
  };

  // An accepted connection.
  stream(reactor& r, const limits& bounds, owner& o, const Poco::Net::StreamSocket& socket);
  // A new connection; on_open() tells when it stands.
  stream(reactor& r, const limits& bounds, owner& o, const Poco::Net::SocketAddress& to);
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  void send(std::string_view bytes);
  // Closes now, in order (net/closing.hpp).
  void close();
  // Nothing more will be sent: the other side sees the end once all is written. What still comes is thrown
  // away unseen: a close with bytes unread would reset the connection, and the last answer could be lost with
  // it.
  void finish();
  bool is_open() const { return open_; }
  // Bytes of an unfinished message wait for the rest.
  bool half_read() const { return !in_.empty(); }
  // Bytes have come that nobody has read yet: whoever closes now may lose a request.
  bool unread() const;
  bool flushed() const { return out_.empty(); }

 private:
  using readable = Poco::AutoPtr<Poco::Net::ReadableNotification>;
  using writable = Poco::AutoPtr<Poco::Net::WritableNotification>;
  using error = Poco::AutoPtr<Poco::Net::ErrorNotification>;

  void watch();
  void take(std::size_t got);
  void keep(std::string& buffer, std::string_view bytes);
  void on_readable(const readable&);
  void on_writable(const writable&);
  void on_error(const error&);
  void flush();
  void write_rest();
  void watch_writable(bool wanted);
  void lose(const char* why);

  reactor& reactor_;
  const limits& bounds_;
  owner& owner_;
  Poco::Net::StreamSocket socket_;
  std::string in_;
  std::string out_;
  bool open_ = true;
  bool connecting_ = false;
  bool watching_writable_ = false;
  bool finishing_ = false;
  bool discarding_ = false;
  traffic_observer* tap_ = nullptr;  // where it was accepted and somebody listens in
};

}  // namespace marblewharf::net
