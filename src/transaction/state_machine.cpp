#include "transaction/state_machine.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace marblewharf::transaction {

transaction::transaction(std::vector<part_kind> participants) {
  if (participants.empty()) throw std::invalid_argument("a write over no participant");
  if (std::count(participants.begin(), participants.end(), part_kind::one_phase) > 1)
    throw std::invalid_argument("more than one participant that cannot prepare");
  for (const part_kind k : participants) all_.push_back({.kind = k});
}

std::optional<std::size_t> transaction::last_agent() const {
  for (std::size_t i = 0; i < all_.size(); ++i) {
    if (all_[i].kind == part_kind::one_phase) return i;
  }
  return std::nullopt;
}

std::optional<tx_action> transaction::pick() {
  if (taken_ == actions_.size()) {
    actions_.clear();
    taken_ = 0;
    return std::nullopt;
  }
  return actions_[taken_++];
}

void transaction::answer(tx_answer how) {
  if (std::exchange(answered_, true)) return;
  act(answer_now{how});
}

// The write is on record before anybody is asked: after a crash its participants are told to let go.
void transaction::begin() {
  stage_ = stage::marking;
  marking_ = log_mark::begun;
  act(write_mark{log_mark::begun});
}

void transaction::resume(log_mark last) {
  answered_ = true;  // whoever asked has gone with the process
  for (participant& p : all_) p.touched = true;
  switch (last) {
    case log_mark::begun:
    case log_mark::aborted:
      refused_ = true;
      stage_ = stage::aborting;
      drive(step_kind::abort);
      break;
    case log_mark::asked_last:
      for (participant& p : all_) p.prepared = p.kind == part_kind::two_phase;
      stage_ = stage::asking_last;
      drive(step_kind::commit);
      break;
    case log_mark::decided:
      decided_ = true;
      for (participant& p : all_) p.ended = p.kind == part_kind::one_phase;  // its yes was the decision
      stage_ = stage::committing;
      drive(step_kind::commit);
      break;
    case log_mark::over: stage_ = stage::over; break;
  }
}

void transaction::on_logged(log_mark what, bool durable) {
  if (stage_ != stage::marking || what != marking_) return;
  switch (what) {
    case log_mark::begun:
      if (!durable) {  // nobody was asked
        answer(tx_answer::failed);
        stage_ = stage::over;
        return;
      }
      if (refused_) {
        decide(false);
        return;
      }
      stage_ = stage::preparing;
      for (std::size_t i = 0; i < all_.size(); ++i) {
        if (all_[i].kind != part_kind::two_phase) continue;
        all_[i].out = all_[i].touched = true;
        act(take_step{i, step_kind::prepare});
      }
      after_prepare();
      break;
    case log_mark::asked_last:
      if (!durable) {  // it was not asked: all can still be undone
        decide(false);
        return;
      }
      stage_ = stage::asking_last;
      drive(step_kind::commit);
      break;
    case log_mark::decided:
      // Without the mark nothing may be committed; where the last agent has said yes, nothing may be undone
      // either: it is written again.
      if (!durable) {
        if (last_agent()) {
          rewrite_ = true;
        } else {
          decide(false);
        }
        return;
      }
      decided_ = true;
      stage_ = stage::committing;
      drive(step_kind::commit);
      break;
    case log_mark::aborted:
      if (!durable && mark_tried_) {  // a mark before it may yet turn up after a crash
        rewrite_ = true;
        return;
      }
      // Else presumed abort: where this mark is missing, so is every later one.
      answer(tx_answer::failed);
      stage_ = stage::aborting;
      drive(step_kind::abort);
      break;
    case log_mark::over:
      // Without it a start would take it up again, and nobody could be told its result.
      if (durable) {
        stage_ = stage::over;
      } else {
        rewrite_ = true;
      }
      break;
  }
}

void transaction::after_prepare() {
  if (stage_ != stage::preparing) return;
  if (refused_) {
    decide(false);
    return;
  }
  const bool all = std::all_of(all_.begin(), all_.end(), [](const participant& p) {
    return p.kind == part_kind::one_phase || p.prepared;
  });
  if (!all) return;
  stage_ = stage::marking;
  marking_ = last_agent() ? log_mark::asked_last : log_mark::decided;
  mark_tried_ = true;
  act(write_mark{marking_});
}

void transaction::decide(bool commit) {
  stage_ = stage::marking;
  if (!commit) {
    if (!mark_tried_) answer(tx_answer::failed);
    marking_ = log_mark::aborted;
  } else {
    marking_ = log_mark::decided;
  }
  act(write_mark{marking_});
}

// Takes a step with each that has not answered it yet. The last agent alone while it is asked.
void transaction::drive(step_kind what) {
  bool open = false;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    participant& p = all_[i];
    const bool wanted = stage_ == stage::asking_last ? p.kind == part_kind::one_phase
                        : what == step_kind::abort   ? p.touched && p.kind == part_kind::two_phase
                                                     : true;
    if (!wanted || p.ended) continue;
    open = true;
    if (p.out || p.failed_once) continue;
    p.out = p.touched = true;
    act(take_step{i, what});
  }
  if (open) return;
  if (stage_ == stage::committing) answer(tx_answer::committed);
  stage_ = stage::marking;
  marking_ = log_mark::over;
  act(write_mark{log_mark::over});
}

void transaction::on_step(std::size_t which, step_kind what, step_end how) {
  participant& p = all_.at(which);
  p.out = false;
  if (what == step_kind::prepare) {
    if (stage_ != stage::preparing) {
      // It came after all was called off: an abort may have overtaken it, so it is told once more.
      if (stage_ == stage::aborting) {
        p.ended = false;
        drive(step_kind::abort);
      }
      return;
    }
    if (how == step_end::yes) {
      p.prepared = true;
    } else {
      refused_ = true;  // also where it is unknown: it is told to let go
    }
    after_prepare();
    return;
  }
  if (stage_ == stage::asking_last) {
    if (how == step_end::yes) {
      p.ended = true;
      decide(true);
    } else if (how == step_end::no) {
      p.ended = true;
      decide(false);
    } else {
      p.failed_once = true;  // nobody knows: asked again until it says
    }
    return;
  }
  if (stage_ != stage::committing && stage_ != stage::aborting) return;
  // One that has prepared has promised: a 'no' to its commit or abort is one that is taken again.
  if (how == step_end::yes) {
    p.ended = true;
  } else {
    p.failed_once = true;
  }
  drive(stage_ == stage::committing ? step_kind::commit : step_kind::abort);
}

void transaction::again() {
  if (stage_ == stage::marking && std::exchange(rewrite_, false)) act(write_mark{marking_});
  for (participant& p : all_) p.failed_once = false;
  if (stage_ == stage::committing || stage_ == stage::asking_last) drive(step_kind::commit);
  if (stage_ == stage::aborting) drive(step_kind::abort);
}

void transaction::on_deadline() {
  switch (stage_) {
    case stage::preparing:
      refused_ = true;
      after_prepare();
      break;
    case stage::marking:
      if (marking_ == log_mark::begun) {
        refused_ = true;
        answer(tx_answer::failed);
      } else if (marking_ != log_mark::over) {
        // Whether the mark is on disk is not known yet: neither 'served' nor 'failed' would be sure.
        answer(tx_answer::under_way);
      }
      break;
    case stage::asking_last:
    case stage::committing: answer(tx_answer::under_way); break;
    case stage::idle:
    case stage::aborting:
    case stage::over: break;
  }
}

}  // namespace marblewharf::transaction
