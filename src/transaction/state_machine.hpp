// State machine of one distributed transaction: two-phase commit with presumed abort (Mohan, Lindsay and
// Obermarck, 1986), with at most one participant that cannot prepare. That participant is asked last, and its
// yes is the decision to commit (last agent optimization; Gray and Reuter, 1993). Free of I/O and clocks:
// callers report events and carry out the resulting actions in their order. Not thread-safe.
//
// | state             | event                                    | next state        | action              |
// | ----------------- | ---------------------------------------- | ----------------- | ------------------- |
// | idle              | begin()                                  | logging           | log begin           |
// | idle              | recover(begin or abort)                  | aborting          | send abort          |
// | idle              | recover(last_agent)                      | asking_last_agent | send commit to it   |
// | idle              | recover(commit)                          | committing        | send commit         |
// | idle              | recover(end)                             | ended             |                     |
// | logging begin     | durable                                  | preparing         | send prepare        |
// | logging begin     | durable, after the deadline              | logging           | log abort           |
// | logging begin     | not durable                              | ended             | report aborted      |
// | preparing         | all prepared, no last agent              | logging           | log commit          |
// | preparing         | all prepared, a last agent remains       | logging           | log last_agent      |
// | preparing         | a no vote, no answer, or the deadline    | logging           | log abort           |
// | logging last_agent| durable                                  | asking_last_agent | send commit to it   |
// | logging last_agent| not durable (last agent not asked yet)   | logging           | log abort           |
// | asking_last_agent | yes                                      | logging           | log commit          |
// | asking_last_agent | no                                       | logging           | log abort           |
// | logging commit    | durable                                  | committing        | send commit         |
// | logging commit    | not durable, no last agent               | logging           | log abort           |
// | logging commit    | not durable, last agent has committed    | logging           | log commit on retry |
// | logging abort     | durable, or no earlier decision record   | aborting          | send abort          |
// | logging abort     | not durable, earlier decision record     | logging           | log abort on retry  |
// | committing        | all have committed                       | logging           | log end             |
// | aborting          | all have aborted                         | logging           | log end             |
// | logging end       | durable                                  | ended             |                     |
// | logging end       | not durable                              | logging           | log end on retry    |
//
// An "earlier decision record" is a commit or last_agent record whose write was attempted.
//
// Recovery continues from the last record on disk. Without any record the transaction never started, and all
// participants presume abort. Requests are repeated until they are answered. Participants identify the
// transaction by its id, so a repeated request has no further effect.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace marblewharf::transaction {

// Which protocol a participant supports.
enum class participant_kind {
  two_phase,  // prepares, then commits or aborts
  one_phase,  // the last agent: cannot prepare, only commit; at most one per transaction, asked last
};

// A request to a participant.
enum class participant_request { prepare, commit, abort };

// A participant's vote on a prepare, or its acknowledgement of a commit or abort. `unknown`: no answer, or an
// answer that is neither yes nor no; the request may have been carried out.
enum class participant_reply { yes, no, unknown };

// A record of the transaction log. The values are part of the disk format.
enum class log_record : std::uint8_t {
  begin = 1,       // participants may be asked to prepare
  last_agent = 2,  // the last agent may be asked to commit
  commit = 3,      // decision to commit; with a last agent: the last agent has committed
  abort = 4,       // decision to abort
  end = 5,         // all participants have acknowledged the decision
};

// The outcome that is reported to the client, exactly once.
enum class client_outcome {
  committed,  // committed at all participants
  aborted,    // certainly committed at no participant: all have aborted or will abort
  in_doubt,   // not certain yet; the client can inquire later with the request's key
};

// Actions.
struct send_request {
  std::size_t participant = 0;
  participant_request request{};
};
// The record must be durable before any later action is carried out; on_logged() reports the result.
struct write_log_record {
  log_record record{};
};
struct report_outcome {
  client_outcome outcome{};
};
using action = std::variant<send_request, write_log_record, report_outcome>;

class state_machine {
 public:
  enum class state { idle, logging, preparing, asking_last_agent, committing, aborting, ended };

  // Throws std::invalid_argument if there is no participant, or more than one is one_phase.
  explicit state_machine(std::vector<participant_kind> participants);

  void begin();
  // Replaces begin() after a crash. `last`: the last record on disk.
  void recover(log_record last);

  // A request ended, with or without an answer.
  void on_reply(std::size_t participant_index, participant_request request, participant_reply reply);
  // The write of a record ended. `durable`: the record is on disk; false: it may or may not be.
  void on_logged(log_record record, bool durable);
  // The deadline of the decision has passed: aborts the transaction if its decision has not begun, and
  // reports an outcome to the client (in_doubt if a commit is possible).
  void on_deadline();
  // Repeats requests that were not acknowledged, and the write of a record that is not durable.
  void retry();

  // Returns the next action to carry out. None: there is nothing to do until the next event.
  std::optional<action> next_action();

  state current_state() const { return state_; }
  std::size_t participants() const { return participants_.size(); }

 private:
  struct participant {
    participant_kind kind{};
    bool prepared = false;
    bool contacted = false;       // was sent a request, so it may have prepared
    bool acknowledged = false;    // has acknowledged the decision
    bool request_sent = false;    // a request is in flight
    bool awaiting_retry = false;  // its last request was not acknowledged
  };

  void push(action next) { actions_.push_back(next); }
  void report(client_outcome outcome);
  void write(log_record record);
  void send_prepares();
  void decide_if_prepared();
  void decide_commit();
  void decide_abort();
  void on_begin_logged(bool durable);
  void on_last_agent_logged(bool durable);
  void on_commit_logged(bool durable);
  void on_abort_logged(bool durable);
  void on_end_logged(bool durable);
  void on_vote(participant& voter, participant_reply reply);
  void on_last_agent_reply(participant& agent, participant_reply reply);
  bool must_receive(const participant& receiver, participant_request request) const;
  void enter_decision(state decision_state);
  void send_decision();
  bool has_last_agent() const;

  std::vector<participant> participants_;
  state state_ = state::idle;
  log_record pending_record_{};  // in state logging
  bool reported_ = false;
  bool must_abort_ = false;  // a participant did not vote yes, or the deadline has passed
  // The write of a commit or last_agent record was attempted. It may be on disk even if the write failed, so
  // the outcome is certainly `aborted` only once the abort record is durable.
  bool decision_record_tried_ = false;
  bool rewrite_record_ = false;  // the pending record is not durable and must be written again
  std::vector<action> actions_;
  std::size_t actions_taken_ = 0;  // number of actions already returned by next_action()
};

}  // namespace marblewharf::transaction
