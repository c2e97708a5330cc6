#include "net/graceful_close.hpp"

#include <Poco/Exception.h>

#include <array>

namespace marblewharf::net {
namespace {

// Limits the reads of discarded input, so that a peer that sends continuously cannot block the reactor.
constexpr int max_reads = 64;

void discard_unread(Poco::Net::StreamSocket& socket) {
  std::array<char, 16384> discarded;
  for (int reads = 0; reads < max_reads; ++reads) {
    // 0: the peer has shut down its sending side; negative: no input is waiting.
    if (socket.receiveBytes(discarded.data(), static_cast<int>(discarded.size())) <= 0) return;
  }
}

}  // namespace

void close_gracefully(Poco::Net::StreamSocket& socket) {
  try {
    socket.setBlocking(false);
    socket.shutdownSend();
    discard_unread(socket);
  } catch (const Poco::Exception&) {  // not connected, or reset by the peer
  }
  try {
    socket.close();
  } catch (const Poco::Exception&) {  // the connection is closed in any case
  }
}

void reject_connection(Poco::Net::StreamSocket socket, std::string_view final_message) {
  try {
    socket.setBlocking(false);
    socket.setNoDelay(true);
    socket.sendBytes(final_message.data(), static_cast<int>(final_message.size()));
  } catch (const Poco::Exception&) {  // the peer has closed the connection
  }
  close_gracefully(socket);
}

}  // namespace marblewharf::net
