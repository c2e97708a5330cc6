#include "net/stream.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <algorithm>

#include "net/graceful_close.hpp"
#include "telemetry/exception_text.hpp"

namespace marblewharf::net {

const char* text_of(loss cause) {
  switch (cause) {
    case loss::cannot_connect: return "cannot connect";
    case loss::end_of_stream: return "closed by the peer";
    case loss::reset: return "reset";
    case loss::slow_peer: return "peer reads too slowly";
    case loss::internal_error: break;
  }
  return "internal error";
}

stream::stream(reactor& event_loop, const limits& bounds, observer& callbacks,
               const Poco::Net::StreamSocket& socket)
    : reactor_(event_loop), bounds_(bounds), owner_(callbacks), socket_(socket) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  register_handlers();
  try {
    traffic_observer_ = event_loop.observer();
    if (traffic_observer_ != nullptr)
      traffic_observer_->on_open(this, socket_.peerAddress().toString(), socket_.address().toString());
  } catch (const Poco::Exception&) {  // the peer has closed the connection; the first read reports it
    traffic_observer_ = nullptr;
  }
}

stream::stream(reactor& event_loop, const limits& bounds, observer& callbacks,
               const Poco::Net::SocketAddress& peer)
    : reactor_(event_loop), bounds_(bounds), owner_(callbacks), connecting_(true) {
  socket_.connectNB(peer);
  register_handlers();
  watch_writable(true);
}

stream::~stream() {
  close();
}

void stream::register_handlers() {
  reactor_.addEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ReadableNotification>(*this, &stream::on_readable));
  reactor_.addEventHandler(socket_,
                           Poco::NObserver<stream, Poco::Net::ErrorNotification>(*this, &stream::on_error));
}

// Registers for writability only while output is buffered, because a writable socket ends every poll at once.
// POCO 1.11 does not clear a socket's poll mode when one of several handlers is removed, but recomputes the
// mode when a handler is added. Another handler is therefore removed and added again. Otherwise a node spins
// on its connection to the runtime from the first connect on, and an idle node uses a whole core.
void stream::watch_writable(bool enabled) {
  if (enabled == watching_writable_) return;
  watching_writable_ = enabled;
  const Poco::NObserver<stream, Poco::Net::WritableNotification> writable_observer(*this,
                                                                                   &stream::on_writable);
  if (enabled) {
    reactor_.addEventHandler(socket_, writable_observer);
  } else {
    reactor_.removeEventHandler(socket_, writable_observer);
    if (!open_) return;
    const Poco::NObserver<stream, Poco::Net::ErrorNotification> other(*this, &stream::on_error);
    reactor_.removeEventHandler(socket_, other);
    reactor_.addEventHandler(socket_, other);
  }
}

void stream::close() {
  if (!open_) return;
  open_ = false;
  if (!connecting_) write_buffered_output();
  set_buffer(input_, {});
  set_buffer(output_, {});
  if (traffic_observer_ != nullptr) traffic_observer_->on_close(this);
  watch_writable(false);
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ReadableNotification>(*this, &stream::on_readable));
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ErrorNotification>(*this, &stream::on_error));
  close_gracefully(socket_);
}

// Writes as much of the buffered output as the socket accepts. The stream is being closed, so an error is
// ignored.
void stream::write_buffered_output() {
  if (output_.empty()) return;
  try {
    socket_.sendBytes(output_.data(), static_cast<int>(output_.size()));
  } catch (const Poco::Exception&) {  // the peer has closed the connection
  }
}

void stream::shutdown_output() {
  if (!open_ || discarding_) return;
  finishing_ = true;
  discarding_ = true;
  set_buffer(input_, {});
  if (!connecting_) flush();
}

bool stream::has_unread_input() const {
  try {
    return open_ && socket_.available() > 0;
  } catch (const Poco::Exception&) {  // the connection is lost
    return false;
  }
}

void stream::fail(loss cause) {
  if (!open_) return;
  close();
  owner_.on_lost(cause);
}

template <typename Operation>
void stream::fail_on_exception(Operation operation) {
  try {
    operation();
  } catch (...) {
    reactor_.report_internal_error(telemetry::describe_current_exception());
    fail(loss::internal_error);
  }
}

void stream::on_readable(const readable&) {
  if (!open_) return;
  reactor_.wake();
  fail_on_exception([this] { read_input(); });
}

void stream::read_input() {
  const std::size_t max_size = discarding_ ? bounds_.discard_chunk_bytes : bounds_.read_chunk_bytes;
  int size = 0;
  try {
    size = socket_.receiveBytes(reactor_.read_buffer().data(), static_cast<int>(max_size));
  } catch (const Poco::Exception& e) {
    fail(loss::reset);
    return;
  }
  if (size == 0) {
    fail(loss::end_of_stream);
  } else if (size > 0) {  // negative: no input is waiting
    process_input(static_cast<std::size_t>(size));
  }
}

// Keeps only the rest of an incomplete message in the stream's own buffer: all connections share one read
// buffer.
void stream::process_input(std::size_t size) {
  std::string_view bytes(reactor_.read_buffer().data(), size);
  if (traffic_observer_ != nullptr) traffic_observer_->on_read(this, bytes);
  std::string joined;
  if (!input_.empty()) {
    joined.swap(input_);
    reactor_.update_buffered_size(joined.size(), 0);
    bytes = joined.append(bytes);
  }
  while (open_ && !discarding_ && !bytes.empty()) {
    const std::size_t consumed = owner_.on_bytes(bytes);
    if (consumed == 0) break;
    bytes.remove_prefix(consumed);
  }
  if (open_ && !discarding_) set_buffer(input_, bytes);
}

// Assigns a new string, so that the buffer does not keep the capacity of its largest content. The total stays
// true if the string cannot be allocated.
void stream::set_buffer(std::string& buffer, std::string_view content) {
  std::string replacement(content);
  reactor_.update_buffered_size(buffer.size(), replacement.size());
  buffer = std::move(replacement);
}

// Allocates nothing that it needs: bytes that were written must never be written again.
void stream::remove_written(std::size_t size) {
  output_.erase(0, size);
  reactor_.update_buffered_size(size, 0);
  output_.shrink_to_fit();
}

void stream::on_writable(const writable&) {
  if (!open_) return;
  fail_on_exception([this] { handle_writable(); });
}

void stream::handle_writable() {
  if (connecting_) {
    connecting_ = false;
    if (socket_.impl()->socketError() != 0) {
      fail(loss::cannot_connect);
      return;
    }
    socket_.setNoDelay(true);
    owner_.on_open();
    if (!open_) return;
  }
  flush();
}

void stream::on_error(const error&) {
  fail(connecting_ ? loss::cannot_connect : loss::reset);
}

void stream::send(std::string_view bytes) {
  if (!open_) return;
  const bool idle = output_.empty();
  output_.append(bytes);  // has no effect if it throws
  reactor_.update_buffered_size(0, bytes.size());
  fail_on_exception([&] {
    if (traffic_observer_ != nullptr) traffic_observer_->on_written(this, bytes);
    if (idle && !connecting_) write_output();
  });
  // Bounds the memory used for peers that do not read their responses, for each connection and in total.
  const bool over_limit =
      output_.size() > bounds_.max_write_buffer_bytes || reactor_.buffered() > bounds_.max_buffered_bytes;
  if (open_ && !output_.empty() && over_limit) fail(loss::slow_peer);
}

void stream::flush() {
  fail_on_exception([this] { write_output(); });
}

void stream::write_output() {
  std::size_t written = 0;
  while (written < output_.size()) {
    int accepted = 0;
    try {
      accepted = socket_.sendBytes(output_.data() + written, static_cast<int>(output_.size() - written));
    } catch (const Poco::Exception&) {
      fail(loss::reset);
      return;
    }
    if (accepted <= 0) break;
    written += static_cast<std::size_t>(accepted);
  }
  if (written > 0) remove_written(written);
  watch_writable(!output_.empty());
  if (!finishing_ || !output_.empty()) return;
  finishing_ = false;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {  // the peer has closed the connection; the next read reports it
  }
}

}  // namespace marblewharf::net
