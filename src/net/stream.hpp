// One TCP connection in the reactor. Passes input to its owner as it arrives, writes output at once and keeps
// output that the socket does not accept in a bounded buffer.
#pragma once

#include <Poco/AutoPtr.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

#include "net/reactor.hpp"

namespace marblewharf::net {

// How a connection was lost.
enum class loss {
  cannot_connect,
  end_of_stream,   // the peer has ended its output in order
  reset,           // the peer or the network has broken the connection
  slow_peer,       // closed by this side, because the peer reads too slowly
  internal_error,  // closed by this side, because of an exception: the state of the connection is not known
};
// The loss as a text for logs.
const char* text_of(loss cause);

class stream {
 public:
  // An exception out of on_bytes() or on_open() is reported to the reactor, and the connection is lost. An
  // owner that can still answer what it has read catches its exceptions itself.
  class observer {
   public:
    virtual ~observer() = default;
    // `bytes` are all unconsumed input bytes. Returns the number of bytes consumed; 0 if the message is
    // incomplete. May close the stream.
    virtual std::size_t on_bytes(std::string_view bytes) = 0;
    // The connection is established. Not called for an accepted connection.
    virtual void on_open() {}
    // The connection was lost, and the stream has been closed. Called once, unless close() is called first.
    virtual void on_lost(loss cause) = 0;
  };

  // An accepted connection. The references outlive the stream.
  stream(reactor& event_loop, const limits& bounds, observer& callbacks,
         const Poco::Net::StreamSocket& socket);
  // Starts a new connection; on_open() reports that it is established. Throws Poco::Exception if connecting
  // fails at once.
  stream(reactor& event_loop, const limits& bounds, observer& callbacks,
         const Poco::Net::SocketAddress& peer);
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  // Sends bytes. Closes the connection and reports it as lost if the unsent output exceeds
  // `max_write_buffer_bytes`, or the buffers of all connections together exceed `buffered`. Throws
  // std::bad_alloc, and sends nothing, if the bytes cannot be buffered; any other internal error loses the
  // connection.
  void send(std::string_view bytes);
  // Closes the connection gracefully and at once (net/graceful_close.hpp).
  void close();
  // Closes the connection and reports it as lost to the owner. Does nothing if it is closed.
  void fail(loss cause);
  // Ends the output: the peer sees the end of the stream after all buffered output. Further input is read and
  // discarded, because closing with unread input would reset the connection and the last answer could be
  // lost.
  void shutdown_output();
  bool is_open() const { return open_; }
  // Whether an incomplete message is buffered.
  bool has_incomplete_message() const { return !input_.empty(); }
  // Whether unread input is waiting in the socket; closing now could lose a request.
  bool has_unread_input() const;
  // Whether all output has been written to the socket.
  bool flushed() const { return output_.empty(); }

 private:
  using readable = Poco::AutoPtr<Poco::Net::ReadableNotification>;
  using writable = Poco::AutoPtr<Poco::Net::WritableNotification>;
  using error = Poco::AutoPtr<Poco::Net::ErrorNotification>;

  void register_handlers();
  void read_input();
  void handle_writable();
  // Passes the first `size` bytes of the reactor's read buffer to the owner.
  void process_input(std::size_t size);
  // Replaces the content of a buffer and updates the reactor's total.
  void set_buffer(std::string& buffer, std::string_view content);
  void on_readable(const readable&);
  void on_writable(const writable&);
  void on_error(const error&);
  // Calls the operation. If it throws, the exception is reported to the reactor and the connection is lost.
  template <typename Operation>
  void fail_on_exception(Operation operation);
  // Writes the buffered output as far as the socket accepts it. An internal error loses the connection.
  void flush();
  void write_output();
  // Removes the first `size` bytes of the output buffer, which were written, and releases their memory.
  void remove_written(std::size_t size);
  void write_buffered_output();
  void watch_writable(bool enabled);

  reactor& reactor_;
  const limits& bounds_;
  observer& owner_;
  Poco::Net::StreamSocket socket_;
  std::string input_;
  std::string output_;
  bool open_ = true;
  bool connecting_ = false;
  bool watching_writable_ = false;
  bool finishing_ = false;
  bool discarding_ = false;
  traffic_observer* traffic_observer_ = nullptr;  // only for accepted connections; null: none
};

}  // namespace marblewharf::net
