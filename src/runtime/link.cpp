#include "runtime/link.hpp"

#include <Poco/Exception.h>

#include <chrono>
#include <utility>
#include <variant>

namespace marblewharf::runtime {

using outcome::effect_state;
using outcome::event;
using telemetry::log;

link::link(net::reactor& reactor, const config& settings, dispatcher& requests, telemetry::counters& counters)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(requests),
      counters_(counters),
      address_(net::resolve_address(settings.runtime, "runtime")),
      transport_(reactor, settings.bounds, *this),
      commands_(transport_, settings.bounds, settings.policy_settings.classes),
      runtime_start_(settings.bounds.start_estimate_tolerance) {}

link::~link() = default;

// The runtime identifies runs by label and accepts one run for each label. If a second request has the label
// of an open one, it is kept and not sent. If the runtime then answers that it does not know the first
// request, the second one is sent in its place; otherwise the second one ends as unknown, at once if the
// start of the first has already been confirmed. A request with an invented label can therefore not displace
// the genuine one by arriving first.
void link::run(request_id id, const request& details) {
  const auto [position, inserted] = runs_.try_emplace(details.operation);
  tracked_run& tracked = position->second;
  labels_.emplace(id, details.operation);
  if (!inserted) {
    log("bad-request", "label %s is already used by an open request", details.operation.c_str());
    tracked.conflicting_requests.push_back({id, details});
    if (tracked.effect.state() == effect_state::running) reject_conflicting_request(tracked, id);
    return;
  }
  tracked.id = id;
  tracked.label = details.operation;
  tracked.request_class = details.request_class;
  tracked.payload = details.payload;
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
    if (stop) reject_conflicting_request(tracked, id);
    return;
  }
  tracked.stop_wanted = stop;
  const effect_state known = tracked.effect.state();
  if (stop && known == effect_state::not_started) {
    finish(position, {}, {});
    return;
  }
  // A stop that is repeated before it is delivered would put off its delivery.
  const bool stop_in_flight =
      known == effect_state::unknown && stop && tracked.stop_sent && !tracked.last_command_delivered;
  if (state_ == state::up && !tracked.probing && !stop_in_flight) commands_.stop_or_continue(tracked);
}

// The conflicting request was never sent to the runtime, so it ends as unknown.
void link::reject_conflicting_request(tracked_run& run, request_id id) {
  std::erase_if(run.conflicting_requests,
                [&](const conflicting_request& candidate) { return candidate.id == id; });
  labels_.erase(id);
  reactor_.wake();
  dispatcher_.on_run_ended(id, run_end::unknown_request, {}, {});
}

// If the runtime did not know the finished run, one of the conflicting requests may be the genuine one, so
// they are started.
void link::finish(run_table::iterator position, std::string_view result, duration elapsed) {
  const tracked_run finished = std::move(position->second);
  const run_end end = finished.effect.conclusion();
  labels_.erase(finished.id);
  runs_.erase(position);
  reactor_.wake();
  dispatcher_.on_run_ended(finished.id, end, result, elapsed);
  for (const auto& [id, details] : finished.conflicting_requests) {
    labels_.erase(id);
    if (end == run_end::unknown_request) {
      run(id, details);
    } else {
      dispatcher_.on_run_ended(id, run_end::unknown_request, {}, {});
    }
  }
}

void link::lose_all_runs() {
  while (!runs_.empty()) {
    observe(runs_.begin()->second, event::server_restarted);
    finish(runs_.begin(), {}, {});
  }
  commands_.begin_incarnation();
}

// Returns whether the event of the connection in use proves something about the run.
bool link::observe(tracked_run& run, outcome::event what) {
  return run.effect.apply({what, commands_.origin()});
}

// Sends a gauge query whose answer confirms that all earlier commands have arrived. The state machine
// continues when on_notice() receives the answer.
void link::send_fence_query(time_point now) {
  fence_query_ = commands_.query_gauges(now);
}

// Sends the commands that were deferred while the link was not up. Stops if a send reveals that the
// connection is lost; the remaining commands stay deferred.
void link::send_deferred_commands() {
  state_ = state::up;
  for (auto& [label, run] : runs_) {
    if (state_ != state::up) return;
    const bool restarts = run.restart_wanted && !run.stop_wanted;
    if (run.effect.state() == effect_state::not_started || restarts) {
      commands_.start(run);
    } else if (run.stop_wanted != run.stop_sent && !run.probing) {
      commands_.stop_or_continue(run);
    }
  }
}

time_point link::step(time_point now) {
  const limits& bounds = config_.bounds;
  if (state_ == state::down && now >= next_attempt_at_) connect(now);
  if (state_ == state::connecting && now > attempt_started_at_ + bounds.connect_timeout)
    on_connection_lost("connect timed out");
  if (state_ == state::handing_over && now > attempt_started_at_ + bounds.runtime_address_timeout)
    keep_current_connection(now);
  if (state_ == state::up && address_changed_ && now >= next_attempt_at_) begin_hand_over(now);
  if (state_ == state::up && now >= commands_.queries().next_due()) commands_.query_gauges(now);
  if (state_ == state::down) return next_attempt_at_;
  return state_ == state::up ? commands_.queries().next_due() : now + bounds.max_poll_wait;
}

void link::connect(time_point now) {
  next_attempt_at_ = now + config_.bounds.reconnect_interval;
  state_ = state::connecting;
  attempt_started_at_ = now;
  try {
    transport_.connect(address_);
  } catch (const Poco::Exception& error) {
    log("link-lost", "runtime: %s", error.displayText().c_str());
    state_ = state::down;
  }
}

void link::set_address(const Poco::Net::SocketAddress& address) {
  if (address == address_) return;
  address_ = address;
  transport_.close_successor();  // left over from an unfinished earlier move
  address_changed_ = connected();
  if (state_ == state::handing_over) keep_current_connection(net::steady_now());
  next_attempt_at_ = {};
  // While the link is not up, the connection has carried only sync and gauge queries, which the next
  // connection repeats.
  if (!address_changed_ && state_ != state::down) on_connection_lost("address changed");
  reactor_.wake();
}

void link::begin_hand_over(time_point now) {
  state_ = state::handing_over;
  attempt_started_at_ = now;
  send_fence_query(now);
}

// Called once all commands on the old connection have arrived.
void link::connect_successor(time_point now) {
  if (transport_.has_successor()) return;
  try {
    transport_.connect_successor(address_);
  } catch (const Poco::Exception& error) {
    log("link-lost", "runtime's new address: %s", error.displayText().c_str());
    keep_current_connection(now);
  }
}

// Called if the new address does not answer yet: deferred commands are sent on the old connection, which
// stays in use until it is lost or an attempt succeeds.
void link::keep_current_connection(time_point now) {
  transport_.close_successor();
  next_attempt_at_ = now + config_.bounds.reconnect_interval;
  send_deferred_commands();
}

void link::on_connected() {
  address_changed_ = false;
  state_ = state::syncing;
  commands_.begin_connection();
  sync_sent_at_ = net::steady_now();
  commands_.sync(last_serial_);
}

void link::on_successor_lost() {
  keep_current_connection(net::steady_now());
}

void link::on_connection_lost(const char* reason) {
  if (state_ != state::connecting) {
    ++counters_.lost_runtime_connections;
    log("link-lost", "runtime: %s; %zu runs open", reason, runs_.size());
  }
  state_ = state::down;
  address_changed_ = false;
  transport_.close();
}

void link::on_line(std::string_view line) {
  try {
    if (const auto decoded = decode(line))
      std::visit([this](const auto& notice) { on_notice(notice); }, *decoded);
  } catch (const bad_line& error) {
    ++counters_.invalid_frames;
    log("bad-line", "runtime: %s", error.what());
  }
}

void link::on_notice(const ready_notice& notice) {
  using finding = start_estimate::finding;
  const time_point now = net::steady_now();
  const finding found = runtime_start_.on_ready(sync_sent_at_, now, notice.uptime);
  log("runtime", "%s, up for %lld ms, %zu runs open", notice.starting ? "starting" : "running",
      static_cast<long long>(notice.uptime / std::chrono::milliseconds(1)), runs_.size());
  if (found == finding::first_start) dispatcher_.on_server_up(notice.starting, now - notice.uptime);
  if (found == finding::restarted) {
    last_serial_ = 0;  // the restarted runtime may restart its serial numbers
    lose_all_runs();
  }
  state_ = state::catching_up;
  send_fence_query(net::steady_now());
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
  tracked_run& run = position->second;
  if (notice.result.size() > config_.bounds.max_result_bytes) {
    log("bad-line", "runtime: result of %zu bytes exceeds the limit; run reported as lost",
        notice.result.size());
    if (observe(run, event::response_unusable)) finish(position, {}, notice.elapsed);
    return;
  }
  const bool probed = std::exchange(run.probing, false);
  if (probed && notice.reported == event::run_aborted && !run.stop_wanted) {
    // The stop command of the probe has paused this run, and no stop is wanted: the run is continued.
    observe(run, event::run_paused);
    run.stop_sent = true;
    if (state_ == state::up) commands_.stop_or_continue(run);
    return;
  }
  if (observe(run, notice.reported)) finish(position, notice.result, notice.elapsed);
}

void link::on_notice(const gauges_notice& notice) {
  const time_point now = net::steady_now();
  const std::uint64_t query = commands_.queries().on_answer(notice, now);
  // While catching up, undelivered commands are those sent on the lost connection; finish_catching_up()
  // recovers their runs.
  if (state_ != state::catching_up) on_delivered(query);
  if (state_ == state::catching_up && query >= fence_query_) finish_catching_up();
  if (state_ == state::handing_over && query >= fence_query_) connect_successor(now);
}

// Whether commands for this run were sent on the connection in use and have not been confirmed.
bool link::awaits_confirmation(const tracked_run& run) const {
  const effect_state known = run.effect.state();
  const bool start_unconfirmed = (known == effect_state::in_flight || known == effect_state::unknown) &&
                                 run.effect.sent_to() == commands_.origin();
  return start_unconfirmed || !run.last_command_delivered;
}

void link::on_delivered(std::uint64_t query) {
  std::vector<std::string> labels;
  for (const auto& [label, run] : runs_) {
    if (run.fence <= query && awaits_confirmation(run)) labels.push_back(label);
  }
  for (const std::string& label : labels) {
    const auto position = runs_.find(label);
    if (position != runs_.end()) mark_delivered(position);
  }
}

void link::mark_delivered(run_table::iterator position) {
  tracked_run& run = position->second;
  run.last_command_delivered = true;
  run.probing = false;
  if (!observe(run, event::start_confirmed)) {
    if (run.effect.state() == effect_state::unknown) on_stop_without_effect(position);
    return;
  }
  run.payload.clear();
  while (!run.conflicting_requests.empty())
    reject_conflicting_request(run, run.conflicting_requests.back().id);
}

void link::on_stop_without_effect(run_table::iterator position) {
  tracked_run& run = position->second;
  observe(run, event::stop_without_effect);
  switch (action_after_silence(run, may_run_twice(run))) {
    case unconfirmed_action::start_again:
      run.restart_wanted = true;
      if (state_ == state::up) commands_.start(run);
      return;
    case unconfirmed_action::wait_for_event: return;
    case unconfirmed_action::report_lost: finish(position, {}, {}); return;
  }
}

bool link::may_run_twice(const tracked_run& run) const {
  const auto effect = config_.policy_settings.classes[run.request_class].effect;
  return effect == admission_policy::request_effect::safe;
}

// Called when all run ends up to now are known. If the connection is lost during the recovery, the recovery
// after the next reconnect handles the remaining runs.
void link::finish_catching_up() {
  state_ = state::up;
  const std::vector<std::string> lost_labels = recover_runs();
  for (const std::string& label : lost_labels) {
    if (state_ != state::up) return;
    commands_.stop(label);
    finish(runs_.find(label), {}, {});
  }
  if (state_ != state::up) return;
  send_deferred_commands();
  if (state_ == state::up) commands_.query_gauges(net::steady_now());
}

// Returns the labels of the runs to report as lost.
std::vector<std::string> link::recover_runs() {
  const bool stops_pause = config_.policy_settings.halt == admission_policy::halt_mode::pause;
  std::vector<std::string> lost_labels;
  for (auto& [label, run] : runs_) {
    if (state_ != state::up) return lost_labels;
    mark_unconfirmed_start(run);
    const recovery action = recovery_action_for(run, stops_pause, may_run_twice(run));
    if (action == recovery::report_lost) lost_labels.push_back(label);
    recover(run, action);
  }
  return lost_labels;
}

// A start that was sent on an earlier connection and is not confirmed may have been lost with it.
void link::mark_unconfirmed_start(tracked_run& run) {
  const outcome::origin sent_to = run.effect.sent_to();
  if (sent_to == commands_.origin() || !run.effect.apply({event::connection_lost, sent_to})) return;
  ++counters_.unconfirmed_starts;
  log("runtime", "the start of %s is unconfirmed: the connection was lost behind it", run.label.c_str());
}

void link::recover(tracked_run& run, recovery action) {
  switch (action) {
    case recovery::none:
    case recovery::report_lost: return;
    case recovery::probe: commands_.probe(run); return;
    case recovery::restart:
      run.restart_wanted = true;  // sent with the deferred commands
      return;
    case recovery::repeat_stop: commands_.stop_or_continue(run); return;
  }
}

void link::on_notice(const nack_notice& notice) {
  ++counters_.rejected_runtime_commands;
  log("nack", "runtime rejected %s of %s", notice.command.c_str(), notice.label.c_str());
  const auto position = runs_.find(notice.label);
  const bool is_of_a_start = notice.command == start_command_name && position != runs_.end();
  if (is_of_a_start && observe(position->second, event::request_refused)) finish(position, {}, {});
}

void link::on_notice(const info_notice& notice) {
  if (is_new(notice.serial)) log("runtime", "%s", notice.text.c_str());
}

}  // namespace marblewharf::runtime
