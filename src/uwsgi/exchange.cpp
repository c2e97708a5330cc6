#include "uwsgi/exchange.hpp"

#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf::uwsgi {

exchange::exchange(net::reactor& reactor, const limits& bounds, const endpoint& server, std::string packet,
                   report on_end)
    : bounds_(bounds), packet_(std::move(packet)), report_(std::move(on_end)) {
  stream_ = std::make_unique<net::stream>(reactor, bounds, *this,
                                          Poco::Net::SocketAddress(server.host, server.port));
}

exchange::~exchange() = default;

void exchange::close() {
  ended_ = true;
  stream_->close();
}

void exchange::on_open() {
  connected_ = true;
  stream_->send(packet_);
  packet_.clear();
}

// Also if the Content-Length says so: then the rest is not waited for.
bool exchange::is_too_long(const response_head& head) const {
  const std::size_t received = response_.size() - head.size;
  return head.content_length.value_or(received) > bounds_.max_result_bytes;
}

std::size_t exchange::on_bytes(std::string_view bytes) {
  response_ += bytes;
  try {
    if (!head_) head_ = decode_response_head(response_, bounds_);
    if (head_ && is_too_long(*head_))
      throw bad_response("body is longer than " + std::to_string(bounds_.max_result_bytes) + " bytes");
  } catch (const bad_response& error) {
    telemetry::log("bad-response", "uwsgi server: %s", error.what());
    end(exchange_end::malformed);
    return bytes.size();
  }
  if (head_ && head_->content_length && response_.size() >= head_->size + *head_->content_length) {
    response_.resize(head_->size +
                     *head_->content_length);  // bytes beyond the body are not part of the response
    end(exchange_end::complete);
  }
  return bytes.size();
}

// Without a Content-Length, the body ends where the server ends the connection in order. A connection that
// broke may have lost the rest of the body.
void exchange::on_lost(net::loss cause) {
  const bool body_ends_here = head_ && !head_->content_length && cause == net::loss::end_of_stream;
  if (!connected_) {
    end(exchange_end::not_connected);
  } else {
    end(body_ends_here ? exchange_end::complete : exchange_end::incomplete);
  }
}

void exchange::end(exchange_end result) {
  if (std::exchange(ended_, true)) return;
  report_(result, result == exchange_end::complete ? &*head_ : nullptr, response_);
}

}  // namespace marblewharf::uwsgi
