#include "uwsgi/exchange.hpp"

#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf::uwsgi {

exchange::exchange(net::reactor& r, const limits& bounds, const endpoint& to, std::string packet, report done)
    : bounds_(bounds), packet_(std::move(packet)), done_(std::move(done)) {
  stream_ = std::make_unique<net::stream>(r, bounds, *this, Poco::Net::SocketAddress(to.host, to.port));
}

exchange::~exchange() = default;

void exchange::close() {
  over_ = true;
  stream_->close();
}

void exchange::on_open() {
  opened_ = true;
  stream_->send(packet_);
  packet_.clear();
}

std::size_t exchange::on_bytes(std::string_view bytes) {
  response_ += bytes;
  try {
    if (!head_) head_ = read_head(response_, bounds_);
    if (head_ && response_.size() > head_->size + bounds_.result)
      throw bad_response("a body of more than " + std::to_string(bounds_.result) + " bytes");
  } catch (const bad_response& e) {
    telemetry::log("bad-response", "uwsgi server: %s", e.what());
    end(exchange_end::unreadable);
    return bytes.size();
  }
  if (head_ && head_->content && response_.size() >= head_->size + *head_->content) {
    response_.resize(head_->size + *head_->content);
    end(exchange_end::whole);
  }
  return bytes.size();
}

void exchange::on_lost(const char*) {
  if (opened_ && head_ && !head_->content) {
    end(exchange_end::whole);  // its end is the end of the connection
  } else {
    end(opened_ ? exchange_end::cut_off : exchange_end::unconnected);
  }
}

void exchange::end(exchange_end how) {
  if (std::exchange(over_, true)) return;
  done_(how, how == exchange_end::whole ? &*head_ : nullptr, response_);
}

}  // namespace marblewharf::uwsgi
