#include "transaction/state_machine.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::transaction {

state_machine::state_machine(std::vector<participant_kind> participants) {
  if (participants.empty()) throw std::invalid_argument("a transaction must have at least one participant");
  if (std::count(participants.begin(), participants.end(), participant_kind::one_phase) > 1)
    throw std::invalid_argument("a transaction must not have more than one participant that cannot prepare");
  for (const participant_kind kind : participants) participants_.push_back({.kind = kind});
}

bool state_machine::has_last_agent() const {
  return std::any_of(participants_.begin(), participants_.end(),
                     [](const participant& p) { return p.kind == participant_kind::one_phase; });
}

std::optional<action> state_machine::next_action() {
  if (actions_taken_ == actions_.size()) {
    actions_.clear();
    actions_taken_ = 0;
    return std::nullopt;
  }
  return actions_[actions_taken_++];
}

void state_machine::report(client_outcome outcome) {
  if (std::exchange(reported_, true)) return;
  push(report_outcome{outcome});
}

void state_machine::write(log_record record) {
  state_ = state::logging;
  pending_record_ = record;
  push(write_log_record{record});
}

// The begin record precedes all requests to participants, so that recovery can send them an abort after a
// crash.
void state_machine::begin() {
  write(log_record::begin);
}

void state_machine::recover(log_record last) {
  reported_ = true;  // the connection to the client was lost with the previous process
  for (participant& p : participants_) p.contacted = true;
  switch (last) {
    case log_record::begin:
    case log_record::abort:
      must_abort_ = true;
      enter_decision(state::aborting);
      break;
    case log_record::last_agent:
      for (participant& p : participants_) p.prepared = p.kind == participant_kind::two_phase;
      enter_decision(state::asking_last_agent);
      break;
    case log_record::commit:
      // The last agent has already committed: its yes was the decision.
      for (participant& p : participants_) p.acknowledged = p.kind == participant_kind::one_phase;
      enter_decision(state::committing);
      break;
    case log_record::end: state_ = state::ended; break;
  }
}

// ---- Log records ------------------------------------------------------------------------------------------

void state_machine::on_logged(log_record record, bool durable) {
  if (state_ != state::logging || record != pending_record_) return;
  switch (record) {
    case log_record::begin: on_begin_logged(durable); break;
    case log_record::last_agent: on_last_agent_logged(durable); break;
    case log_record::commit: on_commit_logged(durable); break;
    case log_record::abort: on_abort_logged(durable); break;
    case log_record::end: on_end_logged(durable); break;
  }
}

void state_machine::on_begin_logged(bool durable) {
  if (!durable) {  // no participant was contacted
    report(client_outcome::aborted);
    state_ = state::ended;
    return;
  }
  if (must_abort_) {
    decide_abort();
    return;
  }
  state_ = state::preparing;
  send_prepares();
  decide_if_prepared();
}

void state_machine::on_last_agent_logged(bool durable) {
  if (durable) {
    enter_decision(state::asking_last_agent);
  } else {
    decide_abort();  // the last agent was not asked, so the other participants can still abort
  }
}

// No participant may be sent a commit before the record is durable. If the last agent has committed, the
// transaction cannot be aborted either, so the record is written again.
void state_machine::on_commit_logged(bool durable) {
  if (durable) {
    enter_decision(state::committing);
  } else if (has_last_agent()) {
    rewrite_record_ = true;
  } else {
    decide_abort();
  }
}

// With presumed abort a lost abort record is harmless: no later record is on disk either, so recovery finds
// only the begin record and aborts. But if the write of a commit or last_agent record was attempted, that
// record may be on disk although the write failed, and recovery would continue from it. In that case the
// abort record must be durable.
void state_machine::on_abort_logged(bool durable) {
  if (!durable && decision_record_tried_) {
    rewrite_record_ = true;
    return;
  }
  report(client_outcome::aborted);
  enter_decision(state::aborting);
}

// Without this record recovery would resume the transaction, and its result could not be read.
void state_machine::on_end_logged(bool durable) {
  if (durable) {
    state_ = state::ended;
  } else {
    rewrite_record_ = true;
  }
}

// ---- Votes and the decision -------------------------------------------------------------------------------

void state_machine::send_prepares() {
  for (std::size_t i = 0; i < participants_.size(); ++i) {
    participant& p = participants_[i];
    if (p.kind != participant_kind::two_phase) continue;
    p.request_sent = true;
    p.contacted = true;
    push(send_request{i, participant_request::prepare});
  }
}

// Decides to commit once all participants have voted yes, and to abort as soon as one has not or the deadline
// has passed.
void state_machine::decide_if_prepared() {
  if (state_ != state::preparing) return;
  if (must_abort_) {
    decide_abort();
    return;
  }
  const bool all_prepared = std::all_of(participants_.begin(), participants_.end(), [](const participant& p) {
    return p.kind == participant_kind::one_phase || p.prepared;
  });
  if (!all_prepared) return;
  decision_record_tried_ = true;
  write(has_last_agent() ? log_record::last_agent : log_record::commit);
}

void state_machine::decide_commit() {
  write(log_record::commit);
}

void state_machine::decide_abort() {
  if (!decision_record_tried_) report(client_outcome::aborted);
  write(log_record::abort);
}

void state_machine::on_vote(participant& voter, participant_reply reply) {
  if (state_ == state::preparing) {
    if (reply == participant_reply::yes) {
      voter.prepared = true;
    } else {
      must_abort_ = true;  // also if the vote is unknown; this participant is sent an abort as well
    }
    decide_if_prepared();
  } else if (state_ == state::aborting) {
    // The participant may have processed the abort before this prepare, so the abort is sent again.
    voter.acknowledged = false;
    send_decision();
  }
}

void state_machine::on_last_agent_reply(participant& agent, participant_reply reply) {
  if (reply == participant_reply::unknown) {
    agent.awaiting_retry = true;  // its decision is not known: the request is repeated until it answers
    return;
  }
  agent.acknowledged = true;
  if (reply == participant_reply::yes) {
    decide_commit();
  } else {
    decide_abort();
  }
}

void state_machine::on_reply(std::size_t participant_index, participant_request request,
                             participant_reply reply) {
  participant& sender = participants_.at(participant_index);
  sender.request_sent = false;
  if (request == participant_request::prepare) {
    on_vote(sender, reply);
    return;
  }
  if (state_ == state::asking_last_agent) {
    on_last_agent_reply(sender, reply);
    return;
  }
  if (state_ != state::committing && state_ != state::aborting) return;
  // A prepared participant must follow the decision, so the request is repeated unless it answers yes.
  if (reply == participant_reply::yes) {
    sender.acknowledged = true;
  } else {
    sender.awaiting_retry = true;
  }
  send_decision();
}

// ---- Requests of the decision -----------------------------------------------------------------------------

void state_machine::enter_decision(state decision_state) {
  state_ = decision_state;
  send_decision();
}

bool state_machine::must_receive(const participant& receiver, participant_request request) const {
  if (state_ == state::asking_last_agent) return receiver.kind == participant_kind::one_phase;
  if (request == participant_request::abort)
    return receiver.contacted && receiver.kind == participant_kind::two_phase;
  return true;
}

// Sends the request of the current state (commit or abort) to each participant that has not acknowledged it
// yet. Logs the end record once all participants have acknowledged it.
void state_machine::send_decision() {
  const participant_request request =
      state_ == state::aborting ? participant_request::abort : participant_request::commit;
  bool all_acknowledged = true;
  for (std::size_t i = 0; i < participants_.size(); ++i) {
    participant& p = participants_[i];
    if (!must_receive(p, request) || p.acknowledged) continue;
    all_acknowledged = false;
    if (p.request_sent || p.awaiting_retry) continue;
    p.request_sent = true;
    p.contacted = true;
    push(send_request{i, request});
  }
  if (!all_acknowledged) return;
  if (state_ == state::committing) report(client_outcome::committed);
  write(log_record::end);
}

void state_machine::retry() {
  if (state_ == state::logging && std::exchange(rewrite_record_, false))
    push(write_log_record{pending_record_});
  for (participant& p : participants_) p.awaiting_retry = false;
  if (state_ == state::committing || state_ == state::asking_last_agent || state_ == state::aborting)
    send_decision();
}

void state_machine::on_deadline() {
  switch (state_) {
    case state::preparing:
      must_abort_ = true;
      decide_if_prepared();
      break;
    case state::logging:
      if (pending_record_ == log_record::begin) {
        must_abort_ = true;
        report(client_outcome::aborted);
      } else if (pending_record_ != log_record::end) {
        // It is not known yet whether the decision record is on disk, so neither outcome is certain.
        report(client_outcome::in_doubt);
      }
      break;
    case state::asking_last_agent:
    case state::committing: report(client_outcome::in_doubt); break;
    case state::idle:
    case state::aborting:
    case state::ended: break;
  }
}

}  // namespace marblewharf::transaction
