#include "runtime/link.hpp"

#include <Poco/Exception.h>

#include <chrono>
#include <utility>
#include <variant>

namespace marblewharf::runtime {

using telemetry::log;

link::link(net::reactor& reactor, const config& settings, dispatcher& requests, telemetry::counters& counters)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(requests),
      counters_(counters),
      address_(net::address_of(settings.runtime, "runtime")),
      transport_(reactor, settings.bounds, *this),
      commands_(transport_, settings.bounds, settings.settings.classes),
      runtime_start_(settings.bounds.same_start) {}

link::~link() = default;

// The runtime knows runs by label, and only one of each name. Of two requests with one label, the runtime's
// answer shows which one made it up: this guards the honest one where the other came first.
void link::run(request_id id, const request& what) {
  const auto [position, added] = runs_.try_emplace(what.label);
  tracked_run& tracked = position->second;
  labels_.emplace(id, what.label);
  if (!added) {
    log("bad-request", "a label that is open already: %s", what.label.c_str());
    tracked.rivals.push_back({id, what});
    if (tracked.start == start_progress::delivered) withdraw_rival(tracked, id);
    return;
  }
  tracked.id = id;
  tracked.label = what.label;
  tracked.request_class = what.request_class;
  tracked.payload = what.payload;
  if (state_ == state::up) commands_.start(tracked);
}

void link::pause(request_id id) {
  set_stop_wanted(id, true);
}

void link::resume(request_id id) {
  set_stop_wanted(id, false);
}

void link::set_stop_wanted(request_id id, bool stop) {
  const auto label = labels_.find(id);
  if (label == labels_.end()) return;
  const auto position = runs_.find(label->second);
  tracked_run& tracked = position->second;
  if (tracked.id != id) {
    if (stop) withdraw_rival(tracked, id);
    return;
  }
  tracked.stop_wanted = stop;
  if (stop && tracked.start == start_progress::not_sent) {
    finish(position, run_end::never_started, {}, {});
  } else if (state_ == state::up && !tracked.probing) {
    commands_.stop_or_continue(tracked);
  }
}

// The rival did not run, and never will.
void link::withdraw_rival(tracked_run& run, request_id rival) {
  std::erase_if(run.rivals, [&](const label_rival& candidate) { return candidate.id == rival; });
  labels_.erase(rival);
  reactor_.wake();
  dispatcher_.on_end(rival, run_end::unknown_request, {}, {});
}

// Where the runtime did not know the run, its rivals may be the honest ones.
void link::finish(run_table::iterator position, run_end how, std::string_view result, duration elapsed) {
  const tracked_run finished = std::move(position->second);
  labels_.erase(finished.id);
  runs_.erase(position);
  reactor_.wake();
  dispatcher_.on_end(finished.id, how, result, elapsed);
  for (const auto& [rival, what] : finished.rivals) {
    labels_.erase(rival);
    if (how == run_end::unknown_request) {
      run(rival, what);
    } else {
      dispatcher_.on_end(rival, run_end::unknown_request, {}, {});
    }
  }
}

void link::lose_all_runs() {
  while (!runs_.empty()) {
    const bool may_have_run = runs_.begin()->second.start != start_progress::not_sent;
    finish(runs_.begin(), may_have_run ? run_end::lost : run_end::never_started, {}, {});
  }
}

// What waits for all commands to arrive goes on with the answer.
void link::ask_and_settle(time_point now) {
  settling_question_ = commands_.ask_for_gauges(now);
}

// What was decided while nothing could be sent. Ends where the connection is lost meanwhile: the rest stays
// held back.
void link::send_held_back() {
  state_ = state::up;
  for (auto& [label, run] : runs_) {
    if (state_ != state::up) return;
    if (run.start == start_progress::not_sent) {
      commands_.start(run);
    } else if (run.stop_wanted != run.stop_told && !run.probing) {
      commands_.stop_or_continue(run);
    }
  }
}

time_point link::step(time_point now) {
  const limits& bounds = config_.bounds;
  if (state_ == state::down && now >= next_attempt_) connect(now);
  if (state_ == state::connecting && now > attempt_began_ + bounds.connect)
    on_connection_lost("no answer to a connect");
  if (state_ == state::handing_over && now > attempt_began_ + bounds.hand_over) keep_current_connection(now);
  if (state_ == state::up && moving_ && now >= next_attempt_) begin_hand_over(now);
  if (state_ == state::up && now >= commands_.questions().due()) commands_.ask_for_gauges(now);
  if (state_ == state::down) return next_attempt_;
  return state_ == state::up ? commands_.questions().due() : now + bounds.longest_poll;
}

void link::connect(time_point now) {
  next_attempt_ = now + config_.bounds.reconnect_every;
  state_ = state::connecting;
  attempt_began_ = now;
  try {
    transport_.connect(address_);
  } catch (const Poco::Exception& error) {
    log("link-lost", "runtime: %s", error.displayText().c_str());
    state_ = state::down;
  }
}

void link::move(const Poco::Net::SocketAddress& address) {
  if (address == address_) return;
  address_ = address;
  transport_.close_successor();  // of an earlier move that is not done
  moving_ = up();
  if (state_ == state::handing_over) keep_current_connection(net::steady_now());
  next_attempt_ = {};
  // On a connection that is not up only the sync was sent, which the next one repeats.
  if (!moving_ && state_ != state::down) on_connection_lost("moved");
  reactor_.wake();
}

void link::begin_hand_over(time_point now) {
  state_ = state::handing_over;
  attempt_began_ = now;
  ask_and_settle(now);
}

// All commands on the old connection have arrived.
void link::connect_successor(time_point now) {
  if (transport_.has_successor()) return;
  try {
    transport_.connect_successor(address_);
  } catch (const Poco::Exception& error) {
    log("link-lost", "runtime's new address: %s", error.displayText().c_str());
    keep_current_connection(now);
  }
}

// The new address does not answer yet: what was held back goes to the old one as long as that lasts.
void link::keep_current_connection(time_point now) {
  transport_.close_successor();
  next_attempt_ = now + config_.bounds.reconnect_every;
  send_held_back();
}

void link::on_connected() {
  moving_ = false;
  state_ = state::syncing;
  sync_sent_at_ = net::steady_now();
  commands_.sync(last_serial_);
}

void link::on_successor_lost() {
  keep_current_connection(net::steady_now());
}

void link::on_connection_lost(const char* reason) {
  if (state_ != state::connecting) {
    ++counters_.links_lost;
    log("link-lost", "runtime: %s; %zu runs", reason, runs_.size());
  }
  state_ = state::down;
  moving_ = false;
  transport_.close();
}

void link::on_line(std::string_view line) {
  try {
    if (const auto decoded = decode(line))
      std::visit([this](const auto& notice) { on_notice(notice); }, *decoded);
  } catch (const bad_line& error) {
    ++counters_.bad_frames;
    log("bad-line", "runtime: %s", error.what());
  }
}

void link::on_notice(const ready_notice& notice) {
  using finding = start_estimate::finding;
  const time_point now = net::steady_now();
  const finding found = runtime_start_.on_ready(sync_sent_at_, now, notice.uptime);
  log("runtime", "%s, up for %lld ms, %zu runs", notice.starting ? "starting" : "running",
      static_cast<long long>(notice.uptime / std::chrono::milliseconds(1)), runs_.size());
  if (found == finding::first_start) dispatcher_.on_server_up(notice.starting, now - notice.uptime);
  if (found == finding::restarted) {
    last_serial_ = 0;  // its serials may begin anew
    lose_all_runs();
  }
  state_ = state::catching_up;
  ask_and_settle(net::steady_now());
}

bool link::is_new(std::uint64_t serial) {
  if (serial <= last_serial_) return false;
  last_serial_ = serial;
  return true;
}

void link::on_notice(const end_notice& notice) {
  if (!is_new(notice.serial)) return;
  const auto position = runs_.find(notice.label);
  if (position == runs_.end()) return;
  if (notice.result.size() > config_.bounds.result) {
    log("bad-line", "a result of %zu bytes", notice.result.size());
    finish(position, run_end::lost, {}, notice.elapsed);
    return;
  }
  tracked_run& run = position->second;
  const bool probed = std::exchange(run.probing, false);
  if (probed && notice.how == run_end::aborted && !run.stop_wanted) {  // the probe paused it: it goes on
    run.start = start_progress::delivered;
    run.stop_told = true;
    if (state_ == state::up) commands_.stop_or_continue(run);
    return;
  }
  finish(position, notice.how, notice.result, notice.elapsed);
}

void link::on_notice(const gauges_notice& notice) {
  const time_point now = net::steady_now();
  const std::uint64_t question = commands_.questions().on_answer(notice, now);
  // While catching up, earlier commands went over a connection that is lost: settle() decides on them.
  if (state_ != state::catching_up) on_delivered(question);
  if (state_ == state::catching_up && question >= settling_question_) settle();
  if (state_ == state::handing_over && question >= settling_question_) connect_successor(now);
}

// All commands sent before the question have been carried out.
void link::on_delivered(std::uint64_t question) {
  std::vector<std::string> labels;
  for (const auto& [label, run] : runs_) {
    const bool undelivered = run.start == start_progress::sent || !run.last_command_delivered;
    if (run.fence <= question && undelivered) labels.push_back(label);
  }
  for (const std::string& label : labels) {
    const auto position = runs_.find(label);
    if (position != runs_.end()) mark_delivered(position);
  }
}

void link::mark_delivered(run_table::iterator position) {
  tracked_run& run = position->second;
  run.last_command_delivered = true;
  if (std::exchange(run.probing, false)) {  // the stop ended nothing: the run never started
    if (run.stop_wanted) {
      finish(position, run_end::never_started, {}, {});
    } else if (state_ == state::up) {
      commands_.start(run);
    } else {
      run.start = start_progress::not_sent;
    }
    return;
  }
  if (run.start != start_progress::sent) return;
  run.start = start_progress::delivered;
  run.payload.clear();
  while (!run.rivals.empty()) withdraw_rival(run, run.rivals.back().id);
}

// Every end until now is known. Where the connection is lost meanwhile, the next one settles what this one
// left open.
void link::settle() {
  state_ = state::up;
  const std::vector<std::string> given_up = recover_runs();
  for (const std::string& label : given_up) {
    if (state_ != state::up) return;
    commands_.stop(label);
    finish(runs_.find(label), run_end::lost, {}, {});
  }
  if (state_ != state::up) return;
  send_held_back();
  if (state_ == state::up) commands_.ask_for_gauges(net::steady_now());
}

// Returns the labels of those to give up.
std::vector<std::string> link::recover_runs() {
  const bool stops_pause = config_.settings.halt == admission_policy::halt_mode::pause;
  std::vector<std::string> given_up;
  for (auto& [label, run] : runs_) {
    if (state_ != state::up) return given_up;
    const auto effect = config_.settings.classes[run.request_class].effect;
    const bool may_run_twice = effect == admission_policy::request_effect::safe;
    const recovery how = recovery_of(run, stops_pause, may_run_twice);
    if (how == recovery::give_up) given_up.push_back(label);
    recover(run, how);
  }
  return given_up;
}

void link::recover(tracked_run& run, recovery how) {
  switch (how) {
    case recovery::nothing:
    case recovery::give_up: return;
    case recovery::probe: commands_.probe(run); return;
    case recovery::start_again:
      run.start = start_progress::not_sent;  // sent with all that was held back
      return;
    case recovery::repeat_stop: commands_.stop_or_continue(run); return;
  }
}

void link::on_notice(const nack_notice& notice) {
  ++counters_.nacks;
  log("nack", "runtime: %s of %s", notice.command.c_str(), notice.label.c_str());
  const auto position = runs_.find(notice.label);
  if (notice.command == start_command_name && position != runs_.end())
    finish(position, run_end::unknown_request, {}, {});
}

void link::on_notice(const info_notice& notice) {
  if (is_new(notice.serial)) log("runtime", "%s", notice.text.c_str());
}

}  // namespace marblewharf::runtime
