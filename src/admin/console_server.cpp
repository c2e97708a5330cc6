#include "admin/console_server.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace marblewharf::admin {
namespace {

// Formats the answer to a command that lists lines. `unavailable_reason`: why `lines` is none, if so.
std::string answer_lines(const char* title, const std::optional<std::string>& lines,
                         const char* unavailable_reason) {
  if (!lines) return std::string("400 ") + unavailable_reason + "\n";
  return std::string("200 ") + title + " follow\n" + *lines + "EOF\n";
}

}  // namespace

// A connection of a console caller: reads one line, answers the line and waits until the caller closes.
class console_server::connection : public net::stream::observer {
 public:
  connection(console_server& server, const Poco::Net::StreamSocket& socket)
      : server_(server), stream_(server.reactor_, server.bounds_, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(net::loss) override { server_.drop(*this); }

  // Answers 400 with the reason, unless the connection was already answered.
  void reject(const char* reason);

  bool answered() const { return answered_; }
  // Whether no complete line arrived within `limits::console_line_timeout`.
  bool line_overdue(time_point now) const {
    return !answered_ && now - opened_at_ > server_.bounds_.console_line_timeout;
  }
  // Whether the connection was answered, and the caller has closed it or `limits::linger_timeout` has passed.
  bool finished(time_point now) const {
    if (!answered_) return false;
    return now - answered_at_ > server_.bounds_.linger_timeout || (stream_.flushed() && !stream_.is_open());
  }
  // Whether this connection is evicted before `other`. Answered connections are evicted first, in the order
  // of their answers; then the others, in the order in which they were opened.
  bool evicted_before(const connection& other) const {
    if (answered_ != other.answered_) return answered_;
    return answered_ ? answered_at_ < other.answered_at_ : opened_at_ < other.opened_at_;
  }
  void close() { stream_.close(); }

 private:
  // Sends the answer and ends the connection after it, so that the caller receives the complete answer.
  void respond(const std::string& text);

  console_server& server_;
  net::stream stream_;
  time_point opened_at_ = net::steady_now();
  time_point answered_at_{};
  bool answered_ = false;
};

std::size_t console_server::connection::on_bytes(std::string_view bytes) {
  if (answered_) return bytes.size();
  const std::size_t max_line_bytes = server_.bounds_.max_console_line_bytes;
  const std::size_t line_end = bytes.find('\n');
  if (line_end == std::string_view::npos) {
    // Bounds the memory for a line without an end.
    if (bytes.size() > max_line_bytes) reject("line too long");
    return 0;
  }
  if (line_end > max_line_bytes) {
    reject("line too long");
    return bytes.size();
  }
  const std::optional<console_command> command = parse_console_command(bytes.substr(0, line_end));
  if (command) {
    respond(server_.answer(*command));
  } else {
    reject("unknown call");
  }
  return bytes.size();
}

void console_server::connection::reject(const char* reason) {
  ++server_.counters_.console_errors;
  telemetry::log("console", "command answered with 400: %s", reason);
  respond(std::string("400 ") + reason + "\n");
}

void console_server::connection::respond(const std::string& text) {
  if (std::exchange(answered_, true)) return;
  answered_at_ = net::steady_now();
  stream_.send(text);
  stream_.shutdown_output();
}

console_server::console_server(net::reactor& reactor, const limits& bounds, const endpoint& address,
                               admin_handler& handler, telemetry::counters& counters)
    : reactor_(reactor),
      bounds_(bounds),
      handler_(handler),
      counters_(counters),
      connections_(reactor),
      address_(address) {
  try_listen(net::steady_now());
}

console_server::~console_server() = default;

void console_server::try_listen(time_point now) {
  const bool retrying = next_bind_ != time_point::max();
  try {
    listener_.emplace(
        reactor_, bounds_, address_.host, address_.port,
        [this](const Poco::Net::StreamSocket& socket) { accept(socket); }, net::port_sharing::exclusive);
    if (retrying)
      telemetry::log("console", "listening on %s:%u, which the other process has released",
                     address_.host.c_str(), unsigned{address_.port});
    next_bind_ = time_point::max();
  } catch (const net::address_in_use&) {
    // In a hot restart the predecessor keeps its console until it ends.
    if (!retrying)
      telemetry::log("console", "%s:%u is in use by another process; retrying the bind until it is released",
                     address_.host.c_str(), unsigned{address_.port});
    next_bind_ = now + bounds_.console_bind_retry;
  }
}

void console_server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= bounds_.console_connections) evict_connection();
  connections_.add(std::make_shared<connection>(*this, socket));
}

// Evicts a connection in favour of a new one: callers that keep connections open must not block the console,
// nor may the console exhaust the file descriptors of the process.
void console_server::evict_connection() {
  connection* evicted = nullptr;
  connections_.each([&](connection& candidate) {
    if (evicted == nullptr || candidate.evicted_before(*evicted)) evicted = &candidate;
  });
  if (!evicted->answered()) evicted->reject("no whole line in time");
  drop(*evicted);
}

void console_server::drop(connection& closed) {
  closed.close();
  connections_.drop(closed);
}

std::string console_server::answer(console_command command) {
  ++counters_.console_commands;
  switch (command) {
    case console_command::ready: return handler_.ready() ? "200 yes\n" : "200 no\n";
    case console_command::show_stat: return "200 figures follow\n" + handler_.statistics() + "EOF\n";
    case console_command::drain: return "200 " + handler_.drain() + "\n";
    case console_command::resume: return "200 " + handler_.resume() + "\n";
    case console_command::show_members: return answer_lines("members", handler_.members(), "no fleet");
    case console_command::show_zones: return answer_lines("zones", handler_.zones(), "no fleet");
    case console_command::show_quotas: return answer_lines("budgets", handler_.quotas(), "no budgets");
  }
  return "400 unknown call\n";
}

time_point console_server::step(time_point now) {
  if (now >= next_bind_) try_listen(now);
  if (now < next_sweep_) return std::min(next_sweep_, next_bind_);
  if (listener_) listener_->resume();
  next_sweep_ = now + bounds_.sweep_interval;
  connections_.each([&](connection& candidate) { close_if_due(candidate, now); });
  return std::min(next_sweep_, next_bind_);
}

void console_server::close_if_due(connection& candidate, time_point now) {
  if (candidate.line_overdue(now)) {
    candidate.reject("no whole line in time");
  } else if (candidate.finished(now)) {
    drop(candidate);
  }
}

}  // namespace marblewharf::admin
