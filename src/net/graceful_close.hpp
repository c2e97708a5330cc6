// Graceful close of a connection: the peer receives everything that was written, followed by the end of the
// stream.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <string_view>

namespace marblewharf::net {

// Shuts down the sending side, discards unread input and closes the socket. Closing a socket with unread
// input would reset the connection, and a reset can discard data that the peer has not read yet. Never blocks
// and never throws; closes the socket even if the shutdown fails.
void close_gracefully(Poco::Net::StreamSocket& socket);

// Sends `final_message` on an accepted connection that exceeds the connection limit, and closes it
// gracefully. The message is truncated if it does not fit into the socket's send buffer.
void reject_connection(Poco::Net::StreamSocket socket, std::string_view final_message);

}  // namespace marblewharf::net
