// How a connection is closed: in order, so that the other side gets all that was written and then the end.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <string_view>

namespace marblewharf::net {

// Ends the sending side, throws away what has come and was not read, and closes. A close over unread bytes
// would reset the connection, and the reset can take along what the other side has not read yet. Never blocks
// and never throws: what cannot be ended in order is closed all the same.
void close_gracefully(Poco::Net::StreamSocket& socket);

// The same for an accepted connection that there is no room for: says `last_word` first. Where that does not
// fit into the system's buffer it is cut off.
void reject_connection(Poco::Net::StreamSocket socket, std::string_view last_word);

}  // namespace marblewharf::net
