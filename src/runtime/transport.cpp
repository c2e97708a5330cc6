#include "runtime/transport.hpp"

#include <utility>

#include "net/stream.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::runtime {

class transport::connection : public net::stream::observer {
 public:
  connection(transport& transport, const Poco::Net::SocketAddress& address)
      : transport_(transport), stream_(transport.reactor_, transport.bounds_, *this, address) {}

  std::size_t on_bytes(std::string_view bytes) override { return transport_.on_bytes(bytes); }
  void on_open() override { transport_.on_open(*this); }
  void on_lost(net::loss cause) override { transport_.on_lost(*this, net::text_of(cause)); }

  void send(const std::string& line) { stream_.send(line); }
  void close() { stream_.close(); }

 private:
  transport& transport_;
  net::stream stream_;
};

transport::transport(net::reactor& reactor, const limits& bounds, transport_observer& observer)
    : reactor_(reactor), bounds_(bounds), observer_(observer) {}

transport::~transport() = default;

void transport::connect(const Poco::Net::SocketAddress& address) {
  connection_ = std::make_shared<connection>(*this, address);
}

void transport::connect_successor(const Poco::Net::SocketAddress& address) {
  successor_ = std::make_shared<connection>(*this, address);
}

void transport::send(const std::string& line) {
  if (connection_) connection_->send(line);
}

void transport::close_successor() {
  close(successor_);
}

void transport::close() {
  close(successor_);
  close(connection_);
}

// A connection can be closed from its own callbacks, so the reactor destroys it only after the dispatch
// round.
void transport::close(std::shared_ptr<connection>& closed) {
  if (!closed) return;
  closed->close();
  reactor_.retire(std::move(closed));
  closed = nullptr;
}

void transport::on_open(const connection& opened) {
  if (&opened == successor_.get()) {
    close(connection_);
    connection_ = std::move(successor_);
  }
  observer_.on_connected();
}

std::size_t transport::on_bytes(std::string_view bytes) {
  const std::size_t newline = bytes.find('\n');
  if (newline == std::string_view::npos) {
    if (bytes.size() <= bounds_.max_runtime_line_bytes) return 0;
    telemetry::log("bad-line", "runtime: line too long; closing the connection");
    observer_.on_connection_lost("line too long");
    return 0;
  }
  observer_.on_line(bytes.substr(0, newline));
  return newline + 1;
}

void transport::on_lost(const connection& lost, const char* reason) {
  if (&lost == successor_.get()) {
    observer_.on_successor_lost();
  } else {
    observer_.on_connection_lost(reason);
  }
}

}  // namespace marblewharf::runtime
