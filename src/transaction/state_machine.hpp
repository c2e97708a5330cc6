// A write that touches several participants: whole at all or at none. The state machine of one, free of I/O
// and clocks: two-phase commit with presumed abort (Mohan, Lindsay and Obermarck, 1986), and at most one
// participant that cannot prepare, which goes last and whose yes is the decision (the last agent of Gray and
// Reuter, 1993).
//
//   preparing -> (asking the last ->) committing -> committed
//        \-> aborting -> aborted
//
// What is on disk says where it goes on after a crash: nothing: it never began, all is presumed aborted;
// begun: aborted, or where there is a last agent that was asked, asked again; decided: committed to the end.
// A step is repeated until it is answered; participants know it by the id of the write, so that a repeated
// one is harmless.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace marblewharf::transaction {

// What a participant can do.
enum class part_kind {
  two_phase,  // prepares, then commits or aborts
  one_phase,  // only commits: at most one, and it goes last
};

enum class step_kind { prepare, commit, abort };
// `unknown`: no answer, or none that says which; the step may have been taken.
enum class step_end { yes, no, unknown };

// Actions.
struct take_step {
  std::size_t participant = 0;
  step_kind what{};
};
// Has this on disk before anything that follows; told by on_logged().
enum class log_mark : std::uint8_t { begun = 1, asked_last = 2, decided = 3, aborted = 4, over = 5 };
struct write_mark {
  log_mark what{};
};
enum class tx_answer {
  committed,  // whole at all
  failed,     // with certainty at none, or will be
  under_way,  // decided, or the last agent was asked: the outcome comes, and is learned by the write's key
};
struct answer_now {
  tx_answer how{};
};
using tx_action = std::variant<take_step, write_mark, answer_now>;

class transaction {
 public:
  enum class stage { idle, marking, preparing, asking_last, committing, aborting, over };

  // Throws std::invalid_argument where more than one participant has one phase, or there is none.
  explicit transaction(std::vector<part_kind> participants);

  void begin();
  // After a crash: the last mark that is on disk.
  void resume(log_mark last);

  void on_step(std::size_t participant, step_kind what, step_end how);
  void on_logged(log_mark what, bool durable);
  // Its time for a decision is over: nothing that is not decided yet goes on.
  void on_deadline();
  // A step that brought nothing may be taken again, and a mark that the disk did not take be written again.
  void again();

  // The next action; none: something has to happen first.
  std::optional<tx_action> pick();

  stage where() const { return stage_; }
  bool decided() const { return decided_; }

 private:
  struct participant {
    part_kind kind{};
    bool prepared = false;
    bool touched = false;      // may have prepared
    bool ended = false;        // said yes to its commit or abort
    bool out = false;          // a step is under way
    bool failed_once = false;  // waits for again()
  };

  void act(tx_action a) { actions_.push_back(a); }
  void answer(tx_answer how);
  void after_prepare();
  void decide(bool commit);
  void drive(step_kind what);
  std::optional<std::size_t> last_agent() const;

  std::vector<participant> all_;
  stage stage_ = stage::idle;
  log_mark marking_{};
  bool answered_ = false;
  bool decided_ = false;
  bool refused_ = false;  // somebody said no, or time is over: to be aborted
  bool mark_tried_ =
      false;  // a mark that leads to commits may be on disk: 'failed' is sure only behind 'aborted'
  bool rewrite_ = false;  // the mark of this stage did not get on disk, and has to
  std::vector<tx_action> actions_;
  std::size_t taken_ = 0;
};

}  // namespace marblewharf::transaction
