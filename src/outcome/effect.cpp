#include "outcome/effect.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace marblewharf::outcome {
namespace {

using enum effect_state;
using enum event;

constexpr std::array all_transitions{
    transition{not_started, start_sent, requirement::none, in_flight},
    // An earlier process of this node may have sent a start of the same request.
    transition{not_started, run_succeeded, requirement::none, completed},
    transition{not_started, run_failed, requirement::none, completed},
    transition{not_started, run_aborted, requirement::none, unknown},
    transition{not_started, not_run, requirement::none, failed_before_effect},

    transition{in_flight, server_unreachable, requirement::same_server, not_started},
    transition{in_flight, start_confirmed, requirement::same_connection, running},
    transition{in_flight, run_succeeded, requirement::same_server, completed},
    transition{in_flight, run_failed, requirement::same_server, completed},
    transition{in_flight, run_aborted, requirement::same_server, unknown},
    transition{in_flight, run_paused, requirement::same_server, running},
    transition{in_flight, not_run, requirement::same_server, failed_before_effect},
    transition{in_flight, request_refused, requirement::same_server, failed_before_effect},
    transition{in_flight, connection_lost, requirement::same_connection, unknown},
    transition{in_flight, response_unusable, requirement::none, unknown},
    transition{in_flight, stop_without_effect, requirement::none, unknown},
    transition{in_flight, server_restarted, requirement::same_server, unknown},
    transition{in_flight, abandoned, requirement::none, unknown},

    transition{running, run_succeeded, requirement::same_server, completed},
    transition{running, run_failed, requirement::same_server, completed},
    transition{running, run_aborted, requirement::same_server, unknown},
    transition{running, not_run, requirement::sole_server, failed_before_effect},
    transition{running, request_refused, requirement::sole_server, failed_before_effect},
    transition{running, response_unusable, requirement::none, unknown},
    transition{running, server_restarted, requirement::same_server, unknown},
    transition{running, abandoned, requirement::none, unknown},

    // A repeated start, of a request that may run twice: what became of the earlier start stays unknown.
    transition{unknown, start_sent, requirement::none, unknown},
    transition{unknown, start_confirmed, requirement::same_connection, running},
    transition{unknown, run_succeeded, requirement::none, completed},
    transition{unknown, run_failed, requirement::same_server, completed},
    transition{unknown, run_aborted, requirement::same_server, unknown},
    transition{unknown, run_paused, requirement::same_server, running},
    transition{unknown, not_run, requirement::sole_server, failed_before_effect},
    transition{unknown, request_refused, requirement::sole_server, failed_before_effect},
    transition{unknown, abandoned, requirement::none, unknown},
};

// A start that may have arrived is never taken back, except by the server that it was sent to.
constexpr bool keeps_possible_start(const transition& row) {
  const bool clears = row.to == not_started || row.to == failed_before_effect;
  if (!clears || row.from == not_started) return true;
  if (row.from == unknown) return row.needs == requirement::sole_server && row.to == failed_before_effect;
  return row.needs != requirement::none;
}
static_assert(std::ranges::all_of(all_transitions, keeps_possible_start));

}  // namespace

std::span<const transition> transitions() {
  return all_transitions;
}

effect effect::recovered(std::string recipient) {
  effect restored;
  restored.state_ = unknown;
  restored.sent_to_several_ = recipient.empty();
  restored.sent_to_.server.name = std::move(recipient);
  return restored;
}

bool effect::satisfies(requirement needed, const origin& from) const {
  switch (needed) {
    case requirement::none: return true;
    case requirement::same_server: return from.server == sent_to_.server;
    case requirement::same_connection: return from == sent_to_;
    case requirement::sole_server: return !sent_to_several_ && from.server == sent_to_.server;
  }
  return false;
}

void effect::on_start_sent(const origin& to) {
  const bool another_server = state_ == unknown && to.server != sent_to_.server;
  sent_to_several_ = sent_to_several_ || another_server;
  sent_to_ = to;
}

bool effect::apply(const evidence& observed) {
  const auto row = std::ranges::find_if(all_transitions, [&](const transition& candidate) {
    return candidate.from == state_ && candidate.on == observed.what &&
           satisfies(candidate.needs, observed.from);
  });
  if (row == all_transitions.end()) return false;
  if (observed.what == start_sent) on_start_sent(observed.from);
  state_ = row->to;
  last_event_ = observed.what;
  return true;
}

bool effect::may_have_started() const {
  return state_ != not_started && state_ != failed_before_effect;
}

run_end effect::conclusion() const {
  switch (state_) {
    case not_started: return run_end::never_started;
    case failed_before_effect:
      return last_event_ == request_refused ? run_end::unknown_request : run_end::never_started;
    case completed: return last_event_ == run_succeeded ? run_end::succeeded : run_end::failed;
    case in_flight:
    case running: break;
    case unknown:
      if (last_event_ == run_aborted || last_event_ == abandoned) return run_end::aborted;
      break;
  }
  return run_end::lost;
}

inquiry_outcome effect::inquiry_conclusion() const {
  if (state_ == completed && last_event_ == run_succeeded) return inquiry_outcome::completed;
  if (state_ == failed_before_effect) return inquiry_outcome::never_ran;
  return inquiry_outcome::unknown;
}

run_end end_of_decision(bool committed) {
  return committed ? run_end::succeeded : run_end::never_started;
}

run_end end_of_handler(bool has_response) {
  return has_response ? run_end::succeeded : run_end::lost;
}

key_disposition disposition_of(run_end end) {
  switch (end) {
    case run_end::succeeded:
    case run_end::failed: return key_disposition::record_result;
    case run_end::never_started:
    case run_end::unknown_request: return key_disposition::release;
    case run_end::lost:
    case run_end::aborted: break;
  }
  return key_disposition::keep_unknown;
}

key_disposition disposition_of(inquiry_outcome reply) {
  switch (reply) {
    case inquiry_outcome::completed: return key_disposition::record_result;
    case inquiry_outcome::never_ran: return key_disposition::release;
    case inquiry_outcome::unknown: break;
  }
  return key_disposition::keep_unknown;
}

}  // namespace marblewharf::outcome
