#include "admin/console_server.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace marblewharf::admin {

using telemetry::log;

class console_server::connection : public net::stream::owner {
 public:
  connection(console_server& s, const Poco::Net::StreamSocket& socket)
      : server_(s), stream_(s.reactor_, s.bounds_, *this, socket) {}

  std::size_t on_bytes(std::string_view bytes) override;
  void on_lost(const char*) override { server_.drop(*this); }

  // Answers once and ends the connection; the other side sees all of the answer before the end.
  void say(const std::string& text) {
    if (std::exchange(answered_, true)) return;
    answered_at_ = net::steady_now();
    stream_.send(text);
    stream_.finish();
  }
  void refuse(const char* why) {
    ++server_.counters_.console_bad;
    log("console", "400: %s", why);
    say(std::string("400 ") + why + "\n");
  }

  // The least goes first where room is needed: those answered, then those without a whole line, the oldest of
  // each.
  std::pair<bool, time_point> rank() const { return {!answered_, answered_ ? answered_at_ : since_}; }

  console_server& server_;
  net::stream stream_;
  time_point since_ = net::steady_now();
  time_point answered_at_{};
  bool answered_ = false;
};

std::size_t console_server::connection::on_bytes(std::string_view bytes) {
  if (answered_) return bytes.size();
  const std::size_t end = bytes.find('\n');
  if (end == std::string_view::npos) {
    // Guards against a line that never ends: what can be no call is told so at once.
    if (bytes.size() > server_.bounds_.console_line) refuse("line too long");
    return 0;
  }
  if (end > server_.bounds_.console_line) {
    refuse("line too long");
    return bytes.size();
  }
  const std::optional<admin::console_command> call = admin::parse_console_command(bytes.substr(0, end));
  if (!call) {
    refuse("unknown call");
  } else {
    say(server_.answer(*call));
  }
  return bytes.size();
}

console_server::console_server(net::reactor& r, const limits& bounds, const endpoint& at, admin_handler& d,
                               telemetry::counters& counters)
    : reactor_(r), bounds_(bounds), desk_(d), counters_(counters), connections_(r), at_(at) {
  try_listen(net::steady_now());
}

void console_server::try_listen(time_point now) {
  try {
    listener_.emplace(
        reactor_, bounds_, at_.host, at_.port,
        [this](const Poco::Net::StreamSocket& socket) { accept(socket); }, net::port_sharing::alone);
    if (next_bind_ != time_point::max())
      log("console", "%s:%u let go: listening", at_.host.c_str(), unsigned{at_.port});
    next_bind_ = time_point::max();
  } catch (const net::address_held&) {
    // Guards a replacement: the process before this one keeps its console until it leaves.
    if (next_bind_ == time_point::max())
      log("console", "%s:%u held by another process; trying again until it lets go", at_.host.c_str(),
          unsigned{at_.port});
    next_bind_ = now + bounds_.console_bind_retry;
  }
}

console_server::~console_server() = default;

void console_server::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= bounds_.console_connections) make_room();
  connections_.add(std::make_shared<connection>(*this, socket));
}

// Closes one that was answered and whose caller has not closed, the longest answered first; else the one that
// has waited longest without a whole line. Guards the console against callers that hold connections, and the
// process's descriptors against the console.
void console_server::make_room() {
  connection* first = nullptr;
  connections_.each([&](connection& c) {
    if (first == nullptr || c.rank() < first->rank()) first = &c;
  });
  if (!first->answered_) first->refuse("no whole line in time");
  drop(*first);
}

void console_server::drop(connection& c) {
  c.stream_.close();
  connections_.drop(c);
}

std::string console_server::answer(admin::console_command call) {
  ++counters_.console_calls;
  switch (call) {
    case admin::console_command::ready: return desk_.ready() ? "200 yes\n" : "200 no\n";
    case admin::console_command::show_stat: return "200 figures follow\n" + desk_.figures() + "EOF\n";
    case admin::console_command::drain: return "200 " + desk_.drain() + "\n";
    case admin::console_command::resume: return "200 " + desk_.resume() + "\n";
    case admin::console_command::show_members: {
      const std::optional<std::string> lines = desk_.members();
      return lines ? "200 members follow\n" + *lines + "EOF\n" : "400 no fleet\n";
    }
    case admin::console_command::show_zones: {
      const std::optional<std::string> lines = desk_.zones();
      return lines ? "200 zones follow\n" + *lines + "EOF\n" : "400 no fleet\n";
    }
    case admin::console_command::show_budgets: {
      const std::optional<std::string> lines = desk_.budgets();
      return lines ? "200 budgets follow\n" + *lines + "EOF\n" : "400 no budgets\n";
    }
  }
  return "400 unknown call\n";
}

time_point console_server::step(time_point now) {
  if (now >= next_bind_) try_listen(now);
  if (now < next_sweep_) return std::min(next_sweep_, next_bind_);
  if (listener_) listener_->resume();
  next_sweep_ = now + bounds_.sweep_every;
  connections_.each([&](connection& c) {
    if (!c.answered_) {
      if (now - c.since_ > bounds_.console_wait) c.refuse("no whole line in time");
    } else if (now - c.answered_at_ > bounds_.linger || (c.stream_.flushed() && !c.stream_.is_open())) {
      drop(c);
    }
  });
  return std::min(next_sweep_, next_bind_);
}

}  // namespace marblewharf::admin
