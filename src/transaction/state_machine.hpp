// The state machine of one distributed transaction: two-phase commit with presumed abort (Mohan, Lindsay and
// Obermarck, 1986), and at most one participant that cannot prepare. That one is asked last, and its yes is
// the decision (the last agent of Gray and Reuter, 1993). Free of I/O and clocks: events go in, actions come
// out in their order. One thread at a time.
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
// | preparing         | all prepared, a last agent is left       | logging           | log last_agent      |
// | preparing         | a no, no answer, or the deadline         | logging           | log abort           |
// | logging last_agent| durable                                  | asking_last_agent | send commit to it   |
// | logging last_agent| not durable: it was not asked            | logging           | log abort           |
// | asking_last_agent | yes                                      | logging           | log commit          |
// | asking_last_agent | no                                       | logging           | log abort           |
// | logging commit    | durable                                  | committing        | send commit         |
// | logging commit    | not durable, without a last agent        | logging           | log abort           |
// | logging commit    | not durable, the last agent has committed| logging           | log commit on retry |
// | logging abort     | durable, or no earlier decision record   | aborting          | send abort          |
// | logging abort     | not durable, else                        | logging           | log abort on retry  |
// | committing        | all have committed                       | logging           | log end             |
// | aborting          | all have aborted                         | logging           | log end             |
// | logging end       | durable                                  | ended             |                     |
// | logging end       | not durable                              | logging           | log end on retry    |
//
// The last record on disk says where recovery goes on. None: the transaction never began, and all
// participants presume abort. A request is repeated until it is answered: participants know the transaction
// by its id, so a repeated request is harmless.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace marblewharf::transaction {

// What a participant can do.
enum class participant_kind {
  two_phase,  // prepares, then commits or aborts
  one_phase,  // the last agent: only commits; at most one, and it is asked last
};

// What a participant is asked for.
enum class participant_request { prepare, commit, abort };

// A participant's vote on a prepare, or its acknowledgement of a commit or abort. `unknown`: no answer, or
// one that does not tell; the request may have been carried out.
enum class participant_reply { yes, no, unknown };

// A record of the transaction's log; the numbers stand on disk.
enum class log_record : std::uint8_t {
  begin = 1,       // participants may be asked to prepare
  last_agent = 2,  // the last agent may be asked to commit
  commit = 3,      // the decision; with a last agent: it has committed
  abort = 4,       // the decision
  end = 5,         // all participants have acknowledged the decision
};

// What the client is told, once.
enum class client_outcome {
  committed,  // at all participants
  aborted,    // at none with certainty, or will be
  in_doubt,   // the decision is not known yet: the client learns it later by the transaction's key
};

// Actions.
struct send_request {
  std::size_t participant = 0;
  participant_request request{};
};
// The record must be on disk before anything that follows; on_logged() reports it.
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

  // Throws std::invalid_argument where there is no participant, or more than one has one phase.
  explicit state_machine(std::vector<participant_kind> participants);

  void begin();
  // After a crash, in place of begin(). `last`: the last record on disk.
  void recover(log_record last);

  // A request ended, with an answer or without.
  void on_reply(std::size_t participant, participant_request request, participant_reply reply);
  // A record that was to be written is on disk, or may not be (`durable` false).
  void on_logged(log_record record, bool durable);
  // The time for a decision has passed: what is not decided yet is aborted, and the client is told now.
  void on_deadline();
  // Requests that were not acknowledged are sent again, and a record that did not get on disk is written
  // again.
  void retry();

  // The next action; none: an event has to happen first.
  std::optional<action> next_action();

  state current_state() const { return state_; }

 private:
  struct participant {
    participant_kind kind{};
    bool prepared = false;
    bool contacted = false;       // may have prepared
    bool acknowledged = false;    // the decision
    bool request_sent = false;    // and not ended
    bool awaiting_retry = false;  // the last request was not acknowledged
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
  bool must_abort_ = false;  // a participant voted no, or the deadline has passed
  // A record that leads to commits may be on disk: 'aborted' is certain only behind the abort record.
  bool decision_record_tried_ = false;
  bool rewrite_record_ = false;  // the pending record did not get on disk, and has to
  std::vector<action> actions_;
  std::size_t actions_taken_ = 0;
};

}  // namespace marblewharf::transaction
