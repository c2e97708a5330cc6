#include "net/stream.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <algorithm>

#include "net/graceful_close.hpp"

namespace marblewharf::net {

stream::stream(reactor& r, const limits& bounds, owner& o, const Poco::Net::StreamSocket& socket)
    : reactor_(r), bounds_(bounds), owner_(o), socket_(socket) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  watch();
  try {
    tap_ = r.listener();
    if (tap_ != nullptr) tap_->on_open(this, socket_.peerAddress().toString(), socket_.address().toString());
  } catch (const Poco::Exception&) {  // its other side has gone already, which its first read will tell
    tap_ = nullptr;
  }
}

stream::stream(reactor& r, const limits& bounds, owner& o, const Poco::Net::SocketAddress& to)
    : reactor_(r), bounds_(bounds), owner_(o), connecting_(true) {
  socket_.connectNB(to);
  watch();
  watch_writable(true);
}

stream::~stream() {
  close();
}

void stream::watch() {
  reactor_.addEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ReadableNotification>(*this, &stream::on_readable));
  reactor_.addEventHandler(socket_,
                           Poco::NObserver<stream, Poco::Net::ErrorNotification>(*this, &stream::on_error));
}

// Subscribed only while something waits: a socket that could be written to ends every poll at once. POCO 1.11
// takes back a poll mode only with a socket's last handler, but works it out anew with each that is added: so
// another handler is taken out and put in. Guards against a node that spins on the runtime's link from its
// first connect on (seen as a whole core used by an idle node).
void stream::watch_writable(bool wanted) {
  if (wanted == watching_writable_) return;
  watching_writable_ = wanted;
  const Poco::NObserver<stream, Poco::Net::WritableNotification> observer(*this, &stream::on_writable);
  if (wanted) {
    reactor_.addEventHandler(socket_, observer);
  } else {
    reactor_.removeEventHandler(socket_, observer);
    if (!open_) return;
    const Poco::NObserver<stream, Poco::Net::ErrorNotification> other(*this, &stream::on_error);
    reactor_.removeEventHandler(socket_, other);
    reactor_.addEventHandler(socket_, other);
  }
}

void stream::close() {
  if (!open_) return;
  open_ = false;
  if (!connecting_) write_rest();
  keep(in_, {});
  keep(out_, {});
  if (tap_ != nullptr) tap_->on_close(this);
  watch_writable(false);
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ReadableNotification>(*this, &stream::on_readable));
  reactor_.removeEventHandler(
      socket_, Poco::NObserver<stream, Poco::Net::ErrorNotification>(*this, &stream::on_error));
  close_gracefully(socket_);
}

// What still waits to be written goes as far as the system takes it; nobody hears of a failure any more.
void stream::write_rest() {
  if (out_.empty()) return;
  try {
    socket_.sendBytes(out_.data(), static_cast<int>(out_.size()));
  } catch (const Poco::Exception&) {  // the other side has gone
  }
}

void stream::finish() {
  if (!open_ || discarding_) return;
  finishing_ = true;
  discarding_ = true;
  keep(in_, {});
  if (!connecting_) flush();
}

bool stream::unread() const {
  try {
    return open_ && socket_.available() > 0;
  } catch (const Poco::Exception&) {  // it is gone
    return false;
  }
}

void stream::lose(const char* why) {
  if (!open_) return;
  close();
  owner_.on_lost(why);
}

void stream::on_readable(const readable&) {
  if (!open_) return;
  reactor_.wake();
  const std::size_t most = discarding_ ? bounds_.discard_chunk : bounds_.read_chunk;
  int got = 0;
  try {
    got = socket_.receiveBytes(reactor_.scratch().data(), static_cast<int>(most));
  } catch (const Poco::Exception& e) {
    lose("reset");
    return;
  }
  if (got == 0) {
    lose("closed by the other side");
  } else if (got > 0) {  // else nothing there after all
    take(static_cast<std::size_t>(got));
  }
}

// Only what is left of an unfinished message is kept: hundreds of connections share one buffer.
void stream::take(std::size_t got) {
  std::string_view bytes(reactor_.scratch().data(), got);
  if (tap_ != nullptr) tap_->on_read(this, bytes);
  std::string joined;
  if (!in_.empty()) {
    joined.swap(in_);
    reactor_.buffer(joined.size(), 0);
    bytes = joined.append(bytes);
  }
  while (open_ && !discarding_ && !bytes.empty()) {
    const std::size_t more = owner_.on_bytes(bytes);
    if (more == 0) break;
    bytes.remove_prefix(more);
  }
  if (open_ && !discarding_) keep(in_, bytes);
}

// Guards the memory against buffers that keep the room they once needed.
void stream::keep(std::string& buffer, std::string_view bytes) {
  reactor_.buffer(buffer.size(), bytes.size());
  buffer = std::string(bytes);
}

void stream::on_writable(const writable&) {
  if (!open_) return;
  if (connecting_) {
    connecting_ = false;
    if (socket_.impl()->socketError() != 0) {
      lose("cannot connect");
      return;
    }
    socket_.setNoDelay(true);
    owner_.on_open();
    if (!open_) return;
  }
  flush();
}

void stream::on_error(const error&) {
  lose(connecting_ ? "cannot connect" : "socket error");
}

void stream::send(std::string_view bytes) {
  if (!open_) return;
  if (tap_ != nullptr) tap_->on_written(this, bytes);
  const bool idle = out_.empty();
  reactor_.buffer(0, bytes.size());
  out_.append(bytes);
  if (idle && !connecting_) flush();
  // Guards the process's memory against peers that send and never read, one or all of them together.
  const bool too_much = out_.size() > bounds_.write_buffer || reactor_.buffered() > bounds_.buffered;
  if (open_ && !out_.empty() && too_much) lose("reads too slowly");
}

void stream::flush() {
  std::size_t written = 0;
  while (written < out_.size()) {
    int more = 0;
    try {
      more = socket_.sendBytes(out_.data() + written, static_cast<int>(out_.size() - written));
    } catch (const Poco::Exception&) {
      lose("reset");
      return;
    }
    if (more <= 0) break;
    written += static_cast<std::size_t>(more);
  }
  if (written > 0) keep(out_, std::string_view(out_).substr(written));
  watch_writable(!out_.empty());
  if (!finishing_ || !out_.empty()) return;
  finishing_ = false;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {  // the other side has gone, which its end will tell
  }
}

}  // namespace marblewharf::net
