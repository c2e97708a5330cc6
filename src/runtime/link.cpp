#include "runtime/link.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>

namespace marblewharf::runtime {

using telemetry::log;

class link::connection : public net::stream::owner {
 public:
  connection(link& l, const Poco::Net::SocketAddress& to)
      : link_(l), stream(l.reactor_, l.config_.bounds, *this, to) {}
  std::size_t on_bytes(std::string_view bytes) override { return link_.on_bytes(bytes); }
  void on_open() override { link_.on_open(*this); }
  void on_lost(const char* why) override { link_.on_lost(*this, why); }

 private:
  link& link_;

 public:
  net::stream stream;
};

link::link(net::reactor& r, const config& settings, dispatcher& d, telemetry::counters& counters)
    : reactor_(r),
      config_(settings),
      dispatcher_(d),
      counters_(counters),
      to_(net::address_of(settings.runtime, "runtime")) {}

link::~link() = default;

void link::run(request_id id, const request& what) {
  const auto [at, added] = calls_.try_emplace(what.label);
  call& c = at->second;
  labels_.emplace(id, what.label);
  if (!added) {
    // The runtime knows runs by label, and only one request of that name: whoever has made up the other is
    // told apart by the runtime's answer. Guards an honest request against one that took its name and came
    // first.
    log("bad-request", "a label that is open already: %s", what.label.c_str());
    c.rivals.emplace_back(id, what);
    if (c.start == sent::arrived) withdraw(c, id);
    return;
  }
  c.id = id;
  c.label = what.label;
  c.request_class = what.request_class;
  c.payload = what.payload;
  if (state_ == state::up) send_start(c);
}

// It did not run, and never will.
void link::withdraw(call& c, request_id rival) {
  std::erase_if(c.rivals, [&](const auto& r) { return r.first == rival; });
  labels_.erase(rival);
  reactor_.wake();
  dispatcher_.on_end(rival, run_end::unknown_request, {}, {});
}

// A write may find that the link is lost, also halfway through a round of commands.
void link::say(const std::string& line) {
  if (connection_) connection_->stream.send(line);
}

void link::send_start(call& c) {
  c.start = sent::on_its_way;
  c.fence = questions_ + 1;
  say(encode_start(c.label, config_.settings.classes[c.request_class].name, c.payload));
}

void link::pause(request_id id) {
  set_stopped(id, true);
}

void link::resume(request_id id) {
  set_stopped(id, false);
}

void link::set_stopped(request_id id, bool stopped) {
  const auto known = labels_.find(id);
  if (known == labels_.end()) return;
  const auto at = calls_.find(known->second);
  call& c = at->second;
  if (c.id != id) {
    if (stopped) withdraw(c, id);
    return;
  }
  c.stopped = stopped;
  if (stopped && c.start == sent::no) {  // it never left this process
    finish(at, run_end::never_started, {}, {});
  } else if (state_ == state::up && !c.probing) {
    say_stopped(c);
  }
}

void link::say_stopped(call& c) {
  c.told_stopped = c.stopped;
  c.sure = false;
  c.fence = questions_ + 1;
  say(c.stopped ? encode_stop(c.label) : encode_cont(c.label));
}

void link::finish(calls::iterator at, run_end how, std::string_view result, duration elapsed) {
  const call done = std::move(at->second);
  labels_.erase(done.id);
  calls_.erase(at);
  reactor_.wake();
  dispatcher_.on_end(done.id, how, result, elapsed);
  for (const auto& [id, what] : done.rivals) {
    labels_.erase(id);
    if (how == run_end::unknown_request) {
      run(id, what);
    } else {
      dispatcher_.on_end(id, run_end::unknown_request, {}, {});
    }
  }
}

void link::move(const Poco::Net::SocketAddress& to) {
  if (to == to_) return;
  to_ = to;
  drop(successor_);  // of an earlier move that is not done
  moving_ = state_ == state::up || state_ == state::handing_over;
  if (state_ == state::handing_over) stay(net::steady_now());
  next_try_ = {};
  // Nothing was said on a link that is not up but its sync: the next one says it anew.
  if (!moving_ && state_ != state::down) lose("moved");
  reactor_.wake();
}

time_point link::step(time_point now) {
  if (state_ == state::down && now >= next_try_) {
    next_try_ = now + config_.bounds.reconnect_every;
    state_ = state::connecting;
    since_ = now;
    try {
      connection_ = std::make_shared<connection>(*this, to_);
    } catch (const Poco::Exception& e) {
      log("link-lost", "runtime: %s", e.displayText().c_str());
      state_ = state::down;
    }
  }
  if (state_ == state::connecting && now > since_ + config_.bounds.connect) lose("no answer to a connect");
  if (state_ == state::handing_over && now > since_ + config_.bounds.hand_over) stay(now);
  if (state_ == state::up && moving_ && now >= next_try_) {
    state_ = state::handing_over;
    since_ = now;
    ask(now);
    settle_at_ = questions_;
  }
  if (state_ == state::up && now >= next_question_) ask(now);
  if (state_ == state::down) return next_try_;
  return state_ == state::up ? next_question_ : now + config_.bounds.longest_poll;
}

// All that was said on the old link has arrived.
void link::hand_over(time_point now) {
  if (successor_) return;
  try {
    successor_ = std::make_shared<connection>(*this, to_);
  } catch (const Poco::Exception& e) {
    log("link-lost", "runtime's new address: %s", e.displayText().c_str());
    stay(now);
  }
}

// The new address does not answer yet: what was held back goes to the old one as long as that stands.
void link::stay(time_point now) {
  drop(successor_);
  next_try_ = now + config_.bounds.reconnect_every;
  say_held_back();
}

void link::drop(std::shared_ptr<connection>& which) {
  if (!which) return;
  which->stream.close();
  reactor_.retire(std::move(which));
  which = nullptr;
}

void link::ask(time_point now) {
  next_question_ = now + config_.bounds.gauges_every;
  say(encode_gauges(std::to_string(++questions_)));
}

std::vector<double> link::gauges(time_point now) const {
  return now - gauges_at_ > config_.bounds.gauges_stale ? std::vector<double>{} : gauges_;
}

void link::on_open(const connection& which) {
  if (&which == successor_.get()) {
    drop(connection_);
    connection_ = std::move(successor_);
    moving_ = false;
  }
  state_ = state::syncing;
  synced_at_ = net::steady_now();
  say(encode_sync(last_serial_));
}

void link::on_lost(const connection& which, const char* why) {
  if (&which == successor_.get()) {
    stay(net::steady_now());
  } else {
    lose(why);
  }
}

void link::lose(const char* why) {
  if (state_ != state::connecting) {
    ++counters_.links_lost;
    log("link-lost", "runtime: %s; %zu runs", why, calls_.size());
  }
  state_ = state::down;
  moving_ = false;
  drop(successor_);
  drop(connection_);
}

std::size_t link::on_bytes(std::string_view bytes) {
  const std::size_t newline = bytes.find('\n');
  if (newline == std::string_view::npos) {
    if (bytes.size() <= config_.bounds.runtime_line) return 0;
    log("bad-line", "runtime: a line without end");
    lose("a line without end");
    return 0;
  }
  try {
    if (const auto n = decode(bytes.substr(0, newline)))
      std::visit([this](const auto& what) { on(what); }, *n);
  } catch (const bad_line& e) {
    ++counters_.bad_frames;
    log("bad-line", "runtime: %s", e.what());
  }
  return newline + 1;
}

void link::on(const ready& n) {
  // `ready` was said after our sync and read now: the runtime started no earlier than `earliest`, no later
  // than `start`. Guards against the time in which this process stood still, taken for a later start.
  const time_point earliest = synced_at_ - n.up;
  const time_point start = net::steady_now() - n.up;
  const bool first = runtime_start_.count() == 0;
  const bool restarted = !first && earliest > runtime_start_ + config_.bounds.same_start;
  log("runtime", "%s, up for %lld ms, %zu runs", n.starting ? "starting" : "running",
      static_cast<long long>(n.up / std::chrono::milliseconds(1)), calls_.size());
  if (first || restarted) runtime_start_ = start;
  runtime_start_ = std::min(runtime_start_, start);
  if (first) dispatcher_.on_server_up(n.starting, start);
  if (restarted) {
    // Its runs died with it, and its serial numbers may begin anew.
    last_serial_ = 0;
    while (!calls_.empty()) {
      const bool ran = calls_.begin()->second.start != sent::no;
      finish(calls_.begin(), ran ? run_end::lost : run_end::never_started, {}, {});
    }
  }
  state_ = state::catching_up;
  ask(net::steady_now());
  settle_at_ = questions_;
}

bool link::fresh(std::uint64_t serial) {
  if (serial <= last_serial_) return false;  // replayed, and read before
  last_serial_ = serial;
  return true;
}

void link::on(const end& n) {
  if (!fresh(n.serial)) return;
  const auto at = calls_.find(n.call);
  if (at == calls_.end()) return;
  if (n.result.size() > config_.bounds.result) {
    log("bad-line", "a result of %zu bytes", n.result.size());
    finish(at, run_end::lost, {}, n.elapsed);
    return;
  }
  call& c = at->second;
  if (std::exchange(c.probing, false) && n.how == run_end::aborted && !c.stopped) {
    c.start = sent::arrived;  // it runs, and goes on
    c.told_stopped = true;
    if (state_ == state::up) say_stopped(c);
    return;
  }
  finish(at, n.how, n.result, n.elapsed);
}

void link::on(const load& n) {
  std::uint64_t asked = 0;
  std::from_chars(n.cookie.data(), n.cookie.data() + n.cookie.size(), asked);
  gauges_ = n.stats;
  gauges_at_ = net::steady_now();
  if (state_ != state::catching_up)
    on_arrived(asked);  // else it was said on a link that is gone: settled below
  if (state_ == state::catching_up && asked >= settle_at_) settle();
  if (state_ == state::handing_over && asked >= settle_at_) hand_over(gauges_at_);
}

// All that was said before that question has been carried out.
void link::on_arrived(std::uint64_t asked) {
  std::vector<std::string> labels;
  for (const auto& [label, c] : calls_) {
    if (c.fence <= asked && (c.start == sent::on_its_way || !c.sure)) labels.push_back(label);
  }
  for (const std::string& label : labels) {
    const auto at = calls_.find(label);
    if (at == calls_.end()) continue;
    call& c = at->second;
    c.sure = true;
    if (std::exchange(c.probing, false)) {  // a stop that ended nothing: it never started
      if (c.stopped) {
        finish(at, run_end::never_started, {}, {});
      } else if (state_ == state::up) {
        send_start(c);
      } else {
        c.start = sent::no;
      }
      continue;
    }
    if (c.start != sent::on_its_way) continue;
    c.start = sent::arrived;
    c.payload.clear();
    while (!c.rivals.empty()) withdraw(c, c.rivals.back().first);
  }
}

// Every end until now is known. A start that may have been lost with the link cannot just be said again: the
// run may end as it is said, and would begin anew. So it is stopped first where that only pauses it. If it
// runs, the runtime says so and it goes on; if not, it is started. Where a stop is for good, only what is
// safe is started again; an effect is stopped and counts as failed.
void link::settle() {
  const bool pauses = config_.settings.halt == admission_policy::halt_mode::pause;
  state_ = state::up;
  std::vector<std::string> doubtful;
  for (auto& [label, c] : calls_) {
    if (state_ != state::up)
      return;  // lost while it is said: the next link settles anew what this one left open
    if (c.start == sent::on_its_way && pauses) {
      c.probing = true;
      c.sure = false;
      c.fence = questions_ + 1;
      say(encode_stop(label));
    } else if (c.start == sent::on_its_way && !c.stopped &&
               config_.settings.classes[c.request_class].effect == admission_policy::request_effect::safe) {
      c.start = sent::no;
    } else if (c.start == sent::on_its_way) {
      doubtful.push_back(label);
    } else if (c.start == sent::arrived && !c.sure) {
      say_stopped(c);
    }
  }
  for (const std::string& label : doubtful) {
    if (state_ != state::up) return;
    say(encode_stop(label));
    finish(calls_.find(label), run_end::lost, {}, {});
  }
  if (state_ != state::up) return;
  say_held_back();
  if (state_ == state::up) ask(net::steady_now());
}

// What was decided while nothing could be said.
void link::say_held_back() {
  state_ = state::up;
  for (auto& [label, c] : calls_) {
    if (state_ != state::up) return;  // lost while it is said: still held back
    if (c.start == sent::no) {
      send_start(c);
    } else if (c.stopped != c.told_stopped && !c.probing) {
      say_stopped(c);
    }
  }
}

void link::on(const nack& n) {
  ++counters_.nacks;
  log("nack", "runtime: %s of %s", n.command.c_str(), n.call.c_str());
  const auto at = calls_.find(n.call);
  if (n.command == "start" && at != calls_.end()) finish(at, run_end::unknown_request, {}, {});
}

void link::on(const info& n) {
  if (fresh(n.serial)) log("runtime", "%s", n.text.c_str());
}

}  // namespace marblewharf::runtime
