#include "net/graceful_close.hpp"

#include <Poco/Exception.h>

#include <array>

namespace marblewharf::net {
namespace {

// Reads of what is thrown away, at the most: a sender that never pauses must not hold up the reactor.
constexpr int most_reads = 64;

void discard_unread(Poco::Net::StreamSocket& socket) {
  std::array<char, 16384> discarded;
  for (int reads = 0; reads < most_reads; ++reads) {
    // 0: the other side has ended, too; less: nothing is there.
    if (socket.receiveBytes(discarded.data(), static_cast<int>(discarded.size())) <= 0) return;
  }
}

}  // namespace

void close_gracefully(Poco::Net::StreamSocket& socket) {
  try {
    socket.setBlocking(false);
    socket.shutdownSend();
    discard_unread(socket);
  } catch (const Poco::Exception&) {  // not connected, or reset by the other side
  }
  try {
    socket.close();
  } catch (const Poco::Exception&) {  // it is gone either way
  }
}

void reject_connection(Poco::Net::StreamSocket socket, std::string_view last_word) {
  try {
    socket.setBlocking(false);
    socket.setNoDelay(true);
    socket.sendBytes(last_word.data(), static_cast<int>(last_word.size()));
  } catch (const Poco::Exception&) {  // the other side has gone
  }
  close_gracefully(socket);
}

}  // namespace marblewharf::net
